package route

import (
	"context"
	"errors"

	spar "sardinespar.example/spar"
)

// lossGrace lets an answer arrive that a leaving node sent just before its row became lost.
const lossGrace spar.Millis = 100

// errNodeLost cancels an attempt at a node whose row became lost. A frozen node keeps its
// connections open, so the attempt would otherwise wait for the call's deadline.
var errNodeLost = errors.New("node was lost")

// lossWatch cancels an attempt when its node's row becomes lost.
type lossWatch struct {
	handler *Handler
	node    spar.NodeID
	abandon context.CancelCauseFunc
}

func (w *lossWatch) loop(ctx context.Context) {
	for {
		changed := w.handler.replica.Changed()

		n, ok := w.handler.replica.View().Node(w.node)
		if ok && n.Value.State == spar.NodeLost {
			if w.handler.clock.Sleep(ctx, lossGrace) {
				w.abandon(errNodeLost)
			}

			return
		}

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
