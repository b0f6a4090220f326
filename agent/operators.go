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

// operatorAPI is the part of an agent that serves operators: the metrics, the preset in force and the methods
// that sparctl calls.
type operatorAPI struct {
	metrics          *meter.Set
	outcomes         *meter.Counters
	refusals         *meter.Counters
	forwardsReceived *expvar.Int
	forwardsSent     *expvar.Int
	follower         *preset.Follower
	service          *admin.Service
}

// withMetrics creates the metrics that do not read other parts of the agent. It returns deps with a table that
// counts its calls.
func (a *Agent) withMetrics(deps Deps) Deps {
	m := meter.NewSet()
	a.ops = operatorAPI{
		metrics: m, outcomes: m.NewLabeledCounters(meter.CallsByOutcome),
		refusals:         m.NewLabeledCounters(meter.RefusalsByReason),
		forwardsReceived: m.NewCounter(meter.ForwardsReceived), forwardsSent: m.NewCounter(meter.ForwardsSent),
	}
	deps.Table = meter.NewCountingTable(deps.Table, m.NewLabeledCounters(meter.TableCalls))
	a.deps.Table = deps.Table

	return deps
}

// countSends returns a round tripper that counts the requests forwarded to other nodes.
func (o *operatorAPI) countSends(inner http.RoundTripper) http.RoundTripper {
	return meter.CountingTransport{Inner: inner, ForwardsSent: o.forwardsSent}
}

// countRequests returns a handler that counts requests by outcome and refusals by reason.
func (o *operatorAPI) countRequests(inner http.Handler) http.Handler {
	return meter.CountingHandler{
		Inner: inner, Outcomes: o.outcomes, Refusals: o.refusals, ForwardsReceived: o.forwardsReceived,
	}
}

// attach creates the parts that read other parts of the agent, which must exist already.
func (o *operatorAPI) attach(a *Agent) {
	o.follower = preset.NewFollower(a.replica, a.registrar.ID, a.deps.Clock, a.ring, a.applyPreset)
	o.service = admin.New(admin.Deps{
		Self: a.registrar.ID, Replica: a.replica, Sync: a.rowSync, Table: a.deps.Table, Caller: a.pool, Ring: a.ring,
		Clock: a.deps.Clock, UnixMillis: a.deps.UnixMillis, Report: a.report,
	})

	m := o.metrics
	m.Func(meter.InFlight, func() any { return a.limiter.Load().InFlight })
	m.Func(meter.Limit, func() any { return a.limiter.Load().Limit })
	m.Func(meter.Queued, func() any { return a.limiter.Load().Queued })
	m.Func(meter.LeaseRemaining, func() any { return int64(a.leaseRemaining()) })
	m.Func(meter.LeaseRenewals, func() any { return a.renewals() })
	m.Func(meter.ReplicaRevision, func() any { return a.replica.View().CompleteRevision() })
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

// leaseRemaining returns the time until the lease of this node expires.
func (a *Agent) leaseRemaining() spar.Millis {
	return max(0, a.registrar.Until()-a.deps.Clock.Now())
}

// renewals returns the numbers of lease renewals sent to witnesses by result.
func (a *Agent) renewals() map[string]int64 {
	counts := map[string]int64{}

	for label, n := range a.traffic.Calls() {
		if result, ok := strings.CutPrefix(label, "lease.renew "); ok {
			counts[result] = n
		}
	}

	return counts
}

// report returns the state that this node reports to operators.
func (a *Agent) report() admin.NodeReport {
	load := a.limiter.Load()

	return admin.NodeReport{
		Generation: a.ops.follower.Generation(), LeaseRemaining: a.leaseRemaining(),
		InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued, Refusals: admin.Counts(a.ops.refusals.All()),
	}
}
