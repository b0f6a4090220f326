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

// mapsNode is a node that serves the peer methods of its maps.
type mapsNode struct {
	owner *owner.Owner
	maps  *owner.Maps
	addr  string
	// call calls a peer method of the node.
	call func(method string, params, reply any) error
}

// startMaps starts a node of the service cards.
func startMaps(c *qt.C, name string) *mapsNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)

	pool := peers.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}, &peers.Traffic{})

	n := &mapsNode{maps: owner.NewMaps(), addr: ln.Addr().String()}
	n.owner = owner.New(owner.Settings{Node: name, Service: "cards"}, owner.Deps{
		Clock: spar.RuntimeClock(), Maps: n.maps, Log: log.New(io.Discard), Peers: pool,
	})

	mux := peers.NewMux()
	n.owner.Register(mux)

	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)

	n.call = func(method string, params, reply any) error { return pool.Call(ctx, n.addr, method, params, reply) }

	go func() { _ = peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, ln) }()

	return n
}

// Guards against a change that is applied to a map other than its base, as when notifications overtake each other, and
// against a change that is lost because it arrived before its base.
func TestNotificationsApplyInOrder(t *testing.T) {
	c := qt.New(t)
	node := startMaps(c, "a")
	maps := node.maps
	notify := func(base, revision spar.Revision, before, after keymap.Map) {
		n := mapNotification{Service: "cards", Base: base, Revision: revision, Change: before.ChangeTo(after)}
		c.Assert(node.call("owner.map", n, nil), qt.IsNil)
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

// mapReply is the response to a request for a map.
type mapReply struct {
	Revision spar.Revision     `json:"revision"`
	Map      keymap.Map        `json:"map"`
	Changes  []mapNotification `json:"changes"`
}

// Guards against a complete map for each node that has missed one of many changes: at a fleet's size, the map of the
// node that has written the last change then fills its network link for seconds, and requests wait behind it.
func TestMissedChangesArePulled(t *testing.T) {
	const ranges = 200

	c := qt.New(t)
	writer, reader := startMaps(c, "a"), startMaps(c, "b")

	// maps has the map of each revision.
	var maps [ranges + 1]keymap.Map
	for i := range ranges {
		span := keymap.Span{From: 10 * i, To: 10*i + 9}
		maps[i+1] = maps[i].WithOwner(span, "n", spar.Incarnation{ID: "i-n"}, "")
	}

	notify := func(to *mapsNode, i int) {
		c.Assert(to.call("owner.map", mapNotification{
			Service: "cards", Base: spar.Revision(i - 1), Revision: spar.Revision(i), Change: maps[i-1].ChangeTo(maps[i]),
		}, nil), qt.IsNil)
	}

	const missedFrom = ranges - 5

	for i := 1; i <= ranges; i++ {
		notify(writer, i)

		if i < missedFrom {
			notify(reader, i)
		}
	}

	pull := func(known spar.Revision) (r mapReply) {
		c.Assert(writer.call("owner.pull", map[string]any{"service": "cards", "known": known}, &r), qt.IsNil)

		return r
	}

	// The changes are shorter than the map, and their order is that of the revisions.
	r := pull(missedFrom - 1)
	c.Check(r.Map.Ranges, qt.HasLen, 0)
	c.Assert(r.Changes, qt.HasLen, ranges-missedFrom+1)
	c.Check(r.Changes[0].Base, qt.Equals, spar.Revision(missedFrom-1))

	// A node that knows nothing, one of an earlier build, and one that has missed too much get the map.
	c.Check(pull(0).Map.Ranges, qt.DeepEquals, maps[ranges].Ranges)
	c.Check(pull(2).Map.Ranges, qt.DeepEquals, maps[ranges].Ranges)

	// A node with the newest map gets neither.
	newest := pull(ranges)
	c.Check(len(newest.Map.Ranges)+len(newest.Changes), qt.Equals, 0)

	reader.owner.Pull(t.Context(), writer.addr, "cards")
	c.Check(reader.maps.Revision("cards"), qt.Equals, spar.Revision(ranges))
	c.Check(reader.maps.Ranges("cards"), qt.DeepEquals, maps[ranges].Ranges)
}
