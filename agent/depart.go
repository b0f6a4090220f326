package agent

import (
	"context"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/plan"
)

// publishedRest is how long a node of a service of mode any takes work after its leaving was sent to
// all peers.
const publishedRest spar.Millis = 200

// depart makes the node leave: its slots are moved away, then the registration ends.
func (t *registration) depart(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.departing != "" {
		return
	}

	t.departing = reason
	t.agent.ring.Record(spar.Event{Kind: spar.EventLeaving, Detail: reason})
	t.agent.deps.Log.Info("leaving", "node", t.member.ID(), "reason", reason)
}

// reason returns why the node leaves, empty if it does not.
func (t *registration) reason() string {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.departing
}

// announced notes the time of an announcement.
func (t *registration) announced() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.heard = t.agent.deps.Clock.Now()
}

// vacated reports whether the backend server gets no more work.
func (t *registration) vacated() bool {
	select {
	case <-t.gone:
		return true
	default:
		return false
	}
}

// count returns the number of slots that the node owns in its replica.
func (t *registration) count() int {
	v, owned := t.agent.replica.View(), 0
	self, _ := t.member.Self()

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

// loop watches the backend server and operators' withdrawals until ctx ends.
func (t *registration) loop(ctx context.Context) {
	defer t.stop()

	a := t.agent
	gate := a.guard.Gate()

	for a.deps.Clock.Sleep(ctx, watchInterval) {
		row, ok := a.replica.View().Node(t.member.ID())
		if ok && row.Value.State == spar.NodeLost && !t.vacated() {
			a.deps.Log.Warn("node is marked lost", "node", t.member.ID())

			return
		}

		down := t.down()
		if down != "" {
			t.depart(down)
		}

		refuse := t.refuses(a.replica.View().Withdrawn(row.Value))
		gate.Refuse(refuse || down != "")

		if t.reason() != "" && refuse && gate.Quiet() && !t.vacated() {
			close(t.gone)
		}
	}
}

// down tells why the backend server counts as gone, from connections and announcements: what it
// reports about itself may be late or wrong.
func (t *registration) down() string {
	t.mu.Lock()
	heard := t.heard
	t.mu.Unlock()

	switch {
	case t.agent.guard.Unreachable():
		return "backend server can't be reached"
	case t.agent.deps.Clock.Now()-heard > silenceMost:
		return "backend server does not announce itself"
	default:
		return ""
	}
}

// refuses reports whether the node, if it is to own nothing, has come to take no more work: all its
// slots are gone, none has moved for too long, or the whole takes too long.
func (t *registration) refuses(withdrawn bool) bool {
	if t.reason() == "" && !withdrawn {
		t.idleSince = 0

		return false
	}

	owned, now := t.count(), t.agent.deps.Clock.Now()

	switch {
	case t.idleSince == 0:
		t.idleSince, t.stillFrom, t.owned = now, now, owned
	case owned < t.owned:
		t.stillFrom, t.owned = now, owned
	}

	if owned == 0 && t.published.Load() && now-t.stillFrom >= publishedRest {
		return true
	}

	return now-t.stillFrom >= stillMost || now-t.idleSince >= leaveMost
}

// register adds the methods of planned moves, served by the current registration.
func (a *Agent) register(m *peers.Mux) {
	peers.Handle(m, plan.MethodMove, func(ctx context.Context, p plan.MoveParams) (plan.MoveResult, error) {
		if t := a.current(); t != nil {
			return t.mover.Move(ctx, p)
		}

		return plan.MoveResult{Reason: http.StatusText(http.StatusGone)}, nil
	})
	peers.Handle(m, plan.MethodReceive, func(ctx context.Context, p plan.ReceiveParams) (plan.ReceiveResult, error) {
		if t := a.current(); t != nil {
			return t.mover.Receive(ctx, p)
		}

		return plan.ReceiveResult{}, nil
	})
}

func (a *Agent) current() *registration {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.registration
}
