package route_test

import (
	"context"
	"io"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/guard"
)

// gate stands for the one that holds a slot during a planned move: each call takes one of the slot's
// passes, a move takes all.
type gate struct {
	guard  *guard.Guard
	passes [4]chan struct{}
	moving [4]chan struct{}
}

const passCount = 256

func newGate(g *guard.Guard) *gate {
	t := &gate{guard: g}
	for slot := range t.passes {
		t.passes[slot], t.moving[slot] = make(chan struct{}, passCount), make(chan struct{}, 1)
	}

	return t
}

func (g *gate) Serve(ctx context.Context, c spar.Call) spar.Answer {
	g.passes[c.Slot] <- struct{}{}
	leave := sync.OnceFunc(func() { <-g.passes[c.Slot] })

	a := g.guard.Serve(ctx, c)
	if a.Response == nil {
		leave()
	} else {
		a.Response.Body = closing{a.Response.Body, leave}
	}

	return a
}

type closing struct {
	io.ReadCloser
	f func()
}

func (c closing) Close() error {
	defer c.f()

	return c.ReadCloser.Close()
}

// hold stops calls of a slot and waits until none is in flight. The function returned ends that.
func (g *gate) hold(slot spar.Slot) func() {
	g.moving[slot] <- struct{}{}

	for range passCount {
		g.passes[slot] <- struct{}{}
	}

	return func() {
		for range passCount {
			<-g.passes[slot]
		}

		<-g.moving[slot]
	}
}
