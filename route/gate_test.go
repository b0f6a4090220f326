package route_test

import (
	"context"
	"io"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/guard"
)

// slotGate replaces the gate that holds a slot during a planned move. Each call takes one of the slot's permits
// and a move takes all of them.
type slotGate struct {
	guard   *guard.Guard
	permits [4]chan struct{}
	// moves allows one move of each slot at a time. Two moves that each hold some permits would wait forever.
	moves [4]chan struct{}
}

const permitCount = 256

func newSlotGate(inner *guard.Guard) *slotGate {
	g := &slotGate{guard: inner}
	for slot := range g.permits {
		g.permits[slot], g.moves[slot] = make(chan struct{}, permitCount), make(chan struct{}, 1)
	}

	return g
}

func (g *slotGate) Serve(ctx context.Context, c spar.Call) spar.Answer {
	g.permits[c.Slot] <- struct{}{}
	leave := sync.OnceFunc(func() { <-g.permits[c.Slot] })

	a := g.guard.Serve(ctx, c)
	if a.Response == nil {
		leave()
	} else {
		a.Response.Body = hookedBody{a.Response.Body, leave}
	}

	return a
}

// hookedBody calls a function when it is closed.
type hookedBody struct {
	io.ReadCloser
	onClose func()
}

func (b hookedBody) Close() error {
	defer b.onClose()

	return b.ReadCloser.Close()
}

// hold blocks new calls for a slot and waits until none is in flight. The returned function ends the hold.
func (g *slotGate) hold(slot spar.Slot) func() {
	g.moves[slot] <- struct{}{}

	for range permitCount {
		g.permits[slot] <- struct{}{}
	}

	return func() {
		for range permitCount {
			<-g.permits[slot]
		}

		<-g.moves[slot]
	}
}
