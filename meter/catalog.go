package meter

import "slices"

// The names of the metrics.
const (
	CallsByOutcome     = "spar_route_calls_count"
	RefusalsByReason   = "spar_route_refusals_count"
	ForwardsSent       = "spar_route_forwards_sent_count"
	ForwardsReceived   = "spar_route_forwards_received_count"
	InFlight           = "spar_admit_in_flight_count"
	Limit              = "spar_admit_limit_count"
	Queued             = "spar_admit_queued_count"
	LeaseRemaining     = "spar_lease_remaining_ms"
	LeaseRenewals      = "spar_lease_renewals_count"
	ReplicaRevision    = "spar_fleet_replica_revision"
	PresetInForce      = "spar_preset_in_force_generation"
	TableCalls         = "spar_table_calls_count"
	PeerCalls          = "spar_peers_calls_count"
	ControlSent        = "spar_peers_sent_bytes"
	ControlReceived    = "spar_peers_received_bytes"
	PlannedMoves       = "spar_plan_moves_count"
	PlannedMovesFailed = "spar_plan_moves_failed_count"
	Takeovers          = "spar_plan_takeovers_count"
	EventsRecorded     = "spar_event_recorded_count"
	EventsDropped      = "spar_event_dropped_count"
)

// Metric describes one metric and what an operator should do when its value looks wrong.
type Metric struct {
	Name   string
	Help   string
	Action string
}

// Catalog returns all metrics in the order of the reference page.
func Catalog() []Metric {
	return slices.Concat(requestMetrics(), controlMetrics())
}

func requestMetrics() []Metric {
	return []Metric{
		{
			CallsByOutcome, "callers' requests answered by this entry node, by outcome",
			"unknown grows: look for lost nodes and broken backend servers in `sparctl timeline`",
		},
		{
			RefusalsByReason, "callers' requests answered without a backend server's response, by reason",
			"shed: the backend servers are at their limits, put the preset for peaks in force; " +
				"no_owner or no_lease: see `sparctl explain KEY`",
		},
		{
			ForwardsSent, "requests sent to another node", "far above the callers' requests: owners refuse, " +
				"look at the refusals of the other nodes",
		},
		{
			ForwardsReceived, "requests received from other nodes", "one node far above the others: a hot key, " +
				"see `sparctl explain KEY`",
		},
		{
			InFlight, "requests in flight at the backend server", "stays at the limit: see the queue and the limit",
		},
		{
			Limit, "requests that admission permits in flight at once", "stays low: the backend server is slow or cold; " +
				"withdraw it with `sparctl server out`",
		},
		{
			Queued, "requests that wait for a slot of the backend server", "keeps growing: " +
				"lower max_queue in the preset or add backend servers",
		},
	}
}

func controlMetrics() []Metric {
	return []Metric{
		{
			LeaseRemaining, "time left on the node's lease, 0 without one",
			"often 0: the node can't reach its witnesses, check the network of its zone",
		},
		{
			LeaseRenewals, "calls by which this node renewed its lease, by result",
			"failed grows: witnesses are unreachable or have fenced this node",
		},
		{
			ReplicaRevision, "revision up to which the node has all rows",
			"behind the other nodes for more than 8 s: the node can reach neither the table nor its peers",
		},
		{
			PresetInForce, "generation of the preset in force on this node, 0 for none",
			"behind the other nodes for more than 8 s: see `sparctl preset status`",
		},
		{
			TableCalls, "calls of the table service by verdict or result",
			"unknown or failed grows: see store-outage.md",
		},
		{
			PeerCalls, "calls to other nodes by method and result", "failed grows: peers are lost or partitioned",
		},
		{
			ControlSent, "bytes sent on control connections",
			"above 18 KB/s in the steady state: look for a node that restarts in a loop",
		},
		{
			ControlReceived, "bytes received on control connections",
			"above 18 KB/s in the steady state: look for a node that restarts in a loop",
		},
		{
			PlannedMoves, "planned moves of this node's slots that succeeded",
			"grows without a change by operators: see `sparctl timeline --kind moved`",
		},
		{
			PlannedMovesFailed, "planned moves that failed", "grows: the receiver is unreachable or at its limit",
		},
		{
			Takeovers, "takeovers of lost nodes by this node", "grows for nodes that still run: their zone is partitioned",
		},
		{
			EventsRecorded, "events recorded, by kind", "see the table of events",
		},
		{
			EventsDropped, "events dropped from the full ring to record newer ones",
			"grows within minutes: raise events in the section log of the settings",
		},
	}
}

func cataloged(name string) bool {
	return slices.ContainsFunc(Catalog(), func(m Metric) bool { return m.Name == name })
}
