package route

import (
	"context"
	"errors"

	spar "sardinespar.example/spar"
)

// lossGrace is the delay between the loss of a node and the cancellation of an attempt there. It lets an answer
// arrive that a leaving node sent just before its row was marked as lost.
const lossGrace spar.Millis = 100

// errNodeLost cancels an attempt at a node whose row was marked as lost. A frozen node keeps its
// connections open, so the attempt would otherwise wait until the call's deadline.
var errNodeLost = errors.New("node was lost")

// nodeWatch cancels an attempt when the node's row is marked as lost.
type nodeWatch struct {
	handler *Handler
	node    spar.NodeID
	cancel  context.CancelCauseFunc
}

func (w *nodeWatch) loop(ctx context.Context) {
	for {
		changed := w.handler.replica.Changed()

		n, ok := w.handler.replica.View().Node(w.node)
		if ok && n.Value.State == spar.NodeLost {
			if w.handler.clock.Sleep(ctx, lossGrace) {
				w.cancel(errNodeLost)
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
