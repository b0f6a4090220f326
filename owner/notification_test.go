package owner_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/peers"
)

// mapNotification is the message that notifies a peer of a change of a map.
type mapNotification struct {
	Service  string        `json:"service"`
	Base     spar.Revision `json:"base"`
	Revision spar.Revision `json:"revision"`
	Change   keymap.Change `json:"change"`
}

// Guards against a change that is applied to a map other than its base, as when notifications overtake each other, and
// against a change that is lost because it arrived before its base.
func TestNotificationsApplyInOrder(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)

	maps, mux := owner.NewMaps(), peers.NewMux()
	owner.New(owner.Settings{Node: "a", Service: "cards"}, owner.Deps{
		Clock: spar.RuntimeClock(), Maps: maps, Log: log.New(io.Discard),
	}).Register(mux)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	go func() { _ = peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, ln) }()

	pool := peers.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}, &peers.Traffic{})
	notify := func(base, revision spar.Revision, before, after keymap.Map) {
		n := mapNotification{Service: "cards", Base: base, Revision: revision, Change: before.ChangeTo(after)}
		c.Assert(pool.Call(ctx, ln.Addr().String(), "owner.map", n, nil), qt.IsNil)
	}
	ownerOf := func(key int) string {
		r, _ := maps.Find("cards", key)

		return r.Node
	}

	all := keymap.Span{From: 0, To: keymap.Keys - 1}
	first := keymap.Map{}.WithOwner(all, "a", spar.Incarnation{ID: "i-a"}, "")
	second := first.WithOwner(keymap.Span{From: 100, To: 200}, "b", spar.Incarnation{ID: "i-b"}, "text")
	third := second.WithOwner(keymap.Span{From: 150, To: 300}, "c", spar.Incarnation{ID: "i-c"}, "")

	notify(0, 3, keymap.Map{}, first)
	c.Assert(ownerOf(150), qt.Equals, "a")

	notify(7, 9, second, third)
	c.Assert(maps.Revision("cards"), qt.Equals, spar.Revision(3))
	c.Assert(ownerOf(150), qt.Equals, "a")

	notify(3, 7, first, second)
	c.Assert(maps.Revision("cards"), qt.Equals, spar.Revision(9))
	c.Assert(maps.Ranges("cards"), qt.DeepEquals, third.Ranges)

	notify(3, 7, first, second)
	c.Assert(maps.Revision("cards"), qt.Equals, spar.Revision(9))
}
