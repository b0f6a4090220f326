package agent

import (
	"expvar"
	"net/http"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/meter"
	"sardinespar.example/spar/preset"
)

// operators is the part of an agent that operators use: metrics, the preset in force, and the
// methods that sparctl calls.
type operators struct {
	metrics  *meter.Set
	outcomes *meter.Counters
	refusals *meter.Counters
	forwards *expvar.Int
	sent     *expvar.Int
	follower *preset.Follower
	service  *admin.Service
}

// metered publishes the metrics that need no other part and returns deps with a counted table.
func (a *Agent) metered(deps Deps) Deps {
	m := meter.NewSet()
	a.ops = operators{
		metrics: m, outcomes: m.Labeled(meter.CallsByOutcome), refusals: m.Labeled(meter.RefusalsByReason),
		forwards: m.Count(meter.ForwardsReceived), sent: m.Count(meter.ForwardsSent),
	}
	deps.Table = meter.NewTable(deps.Table, m.Labeled(meter.TableCalls))
	a.deps.Table = deps.Table

	return deps
}

func (o *operators) sender(inner http.RoundTripper) http.RoundTripper {
	return meter.Sender{Inner: inner, Sent: o.sent}
}

func (o *operators) entry(inner http.Handler) http.Handler {
	return meter.Entry{Inner: inner, Outcomes: o.outcomes, Refusals: o.refusals, Forwards: o.forwards}
}

// serve adds the parts that read the agent's others.
func (o *operators) serve(a *Agent) {
	o.follower = preset.NewFollower(a.replica, a.joined.ID, a.deps.Clock, a.ring, a.apply)
	o.service = admin.New(admin.Deps{
		Self: a.joined.ID, Replica: a.replica, Spread: a.spread, Table: a.deps.Table, Calls: a.pool, Ring: a.ring,
		Clock: a.deps.Clock, Wall: a.deps.Wall, Report: a.report,
	})

	m := o.metrics
	m.Func(meter.InFlight, func() any { return a.limiter.Load().InFlight })
	m.Func(meter.Limit, func() any { return a.limiter.Load().Limit })
	m.Func(meter.Queued, func() any { return a.limiter.Load().Queued })
	m.Func(meter.LeaseRemaining, func() any { return int64(a.leaseRemaining()) })
	m.Func(meter.LeaseRenewals, func() any { return a.renewals() })
	m.Func(meter.ReplicaRevision, func() any { return a.replica.View().Complete() })
	m.Func(meter.PresetInForce, func() any { return o.follower.Generation() })
	m.Func(meter.PeerCalls, func() any { return a.traffic.Calls() })
	m.Func(meter.ControlSent, func() any { return a.traffic.Sent() })
	m.Func(meter.ControlReceived, func() any { return a.traffic.Received() })
	m.Func(meter.PlannedMoves, func() any { return a.ring.Counts()[spar.EventMoved] })
	m.Func(meter.PlannedMovesFailed, func() any { return a.ring.Counts()[spar.EventMoveFailed] })
	m.Func(meter.Takeovers, func() any { return a.ring.Counts()[spar.EventTakeover] })
	m.Func(meter.EventsRecorded, func() any { return a.ring.Counts() })
	m.Func(meter.EventsDropped, func() any { return a.ring.Dropped() })
}

func (a *Agent) leaseRemaining() spar.Millis {
	return max(0, a.joined.Until()-a.deps.Clock.Now())
}

// renewals returns the calls to witnesses by result.
func (a *Agent) renewals() map[string]int64 {
	counts := map[string]int64{}

	for label, n := range a.traffic.Calls() {
		if result, ok := strings.CutPrefix(label, "lease.renew "); ok {
			counts[result] = n
		}
	}

	return counts
}

// report returns what this node says of itself.
func (a *Agent) report() admin.NodeReport {
	load := a.limiter.Load()

	return admin.NodeReport{
		Generation: a.ops.follower.Generation(), LeaseRemaining: a.leaseRemaining(),
		InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued, Refusals: admin.Counts(a.ops.refusals.All()),
	}
}
