package agent

import (
	"context"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/plan"
)

// publishDelay is the minimum time for which a leaving node that owns no slots, such as one of a service of mode
// any, accepts requests. Peers forward requests to it until they know that it is leaving.
const publishDelay spar.Millis = 200

// startLeaving starts taking the node out of service: its slots are moved away, and then the registration ends.
func (r *registration) startLeaving(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.leaveReason != "" {
		return
	}

	r.leaveReason = reason
	r.agent.ring.Record(spar.Event{Kind: spar.EventLeaving, Detail: reason})
	r.agent.deps.Log.Info("leaving", "node", r.member.ID(), "reason", reason)
}

// reason returns why the node is leaving, or an empty string if it is not.
func (r *registration) reason() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.leaveReason
}

// recordAnnouncement records the time of an announcement.
func (r *registration) recordAnnouncement() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lastAnnounced = r.agent.deps.Clock.Now()
}

// isDrained reports whether the backend server gets no more requests.
func (r *registration) isDrained() bool {
	select {
	case <-r.drained:
		return true
	default:
		return false
	}
}

// countOwned returns the number of slots that the node owns according to its replica.
func (r *registration) countOwned() int {
	v, owned := r.agent.replica.View(), 0
	self, _ := r.member.Self()

	s, ok := v.Service(self.Service)
	if !ok || s.Mode != spar.ModeKeyed {
		return 0
	}

	for i := range s.SegmentCount() {
		for _, a := range v.Segment(s, i).Value.Slots {
			if a.Owner == self.ID {
				owned++
			}
		}
	}

	return owned
}

// loop watches the backend server and the node's row until ctx ends or another node marks this one lost. It stops
// the admission of requests when the node leaves or operators withdraw it.
func (r *registration) loop(ctx context.Context) {
	defer r.stop()

	a := r.agent
	gate := a.guard.Gate()

	for a.deps.Clock.Sleep(ctx, watchInterval) {
		row, ok := a.replica.View().Node(r.member.ID())
		if ok && row.Value.State == spar.NodeLost && !r.isDrained() {
			a.deps.Log.Warn("another node marked this node lost", "node", r.member.ID())

			return
		}

		down := r.downReason()
		if down != "" {
			r.startLeaving(down)
		}

		refuse := r.mustRefuse(a.replica.View().Withdrawn(row.Value))
		gate.SetRefusing(refuse || down != "")

		if r.reason() != "" && refuse && gate.Idle() && !r.isDrained() {
			close(r.drained)
		}
	}
}

// downReason returns why the backend server counts as unavailable, or an empty string if it is available. It
// uses only connections and the arrival of announcements, because what a server reports about itself may be late
// or wrong.
func (r *registration) downReason() string {
	r.mu.Lock()
	lastAnnounced := r.lastAnnounced
	r.mu.Unlock()

	switch {
	case r.agent.guard.BackendUnreachable():
		return "backend server can't be reached"
	case r.agent.deps.Clock.Now()-lastAnnounced > announceTimeout:
		return "backend server does not announce itself"
	default:
		return ""
	}
}

// mustRefuse reports whether a node that is leaving or withdrawn must stop accepting requests: no slot has moved for
// maxStallTime, or moving them all takes longer than maxLeaveTime. A leaving node stops earlier if all its slots have
// moved away and its state has been sent to its peers.
func (r *registration) mustRefuse(withdrawn bool) bool {
	if r.reason() == "" && !withdrawn {
		r.emptyingSince = 0

		return false
	}

	owned, now := r.countOwned(), r.agent.deps.Clock.Now()

	switch {
	case r.emptyingSince == 0:
		r.emptyingSince, r.lastProgress, r.lastOwned = now, now, owned
	case owned < r.lastOwned:
		r.lastProgress, r.lastOwned = now, owned
	}

	if owned == 0 && r.leavingPublished.Load() && now-r.lastProgress >= publishDelay {
		return true
	}

	return now-r.lastProgress >= maxStallTime || now-r.emptyingSince >= maxLeaveTime
}

// registerMoves adds the methods of planned moves to m. The current registration serves them.
func (a *Agent) registerMoves(m *peers.Mux) {
	peers.Handle(m, plan.MethodMove, func(ctx context.Context, p plan.MoveParams) (plan.MoveResult, error) {
		if r := a.current(); r != nil {
			return r.mover.Move(ctx, p)
		}

		return plan.MoveResult{Reason: http.StatusText(http.StatusGone)}, nil
	})
	peers.Handle(m, plan.MethodReceive, func(ctx context.Context, p plan.ReceiveParams) (plan.ReceiveResult, error) {
		if r := a.current(); r != nil {
			return r.mover.Receive(ctx, p)
		}

		return plan.ReceiveResult{}, nil
	})
}

// current returns the current registration, or nil if there is none.
func (a *Agent) current() *registration {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.registration
}
