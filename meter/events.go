package meter

import (
	"fmt"
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// EventInfo describes one kind of event and what an operator should do when its events look wrong.
type EventInfo struct {
	Kind   spar.EventKind
	Help   string
	Action string
}

// EventCatalog returns all kinds of events in the order of the reference page.
func EventCatalog() []EventInfo {
	return slices.Concat(memberKinds(), ownerKinds(), operatorKinds(), loadKinds())
}

func memberKinds() []EventInfo {
	return []EventInfo{
		{spar.EventStarted, "the process started to serve", "often on one VM: look at its log for the cause of restarts"},
		{
			spar.EventRegistered, "the node's row was committed with a new id",
			"missing after started: the backend server does not announce itself, or the table does not answer",
		},
		{
			spar.EventAnnounced, "the backend server announced itself",
			"missing: check that it is set up with the address of listen.local",
		},
		{
			spar.EventLeaving, "the node hands over its slots and accepts no new work",
			"not requested: the backend server shut down",
		},
		{spar.EventStopped, "the process shut down gracefully", "none"},
		{spar.EventStoreDown, "the table service stopped answering this node", "see store-outage.md"},
		{spar.EventStoreUp, "the table service answers this node again", "none"},
	}
}

func ownerKinds() []EventInfo {
	return []EventInfo{
		{spar.EventLeaseHeld, "the node holds its lease", "none"},
		{
			spar.EventLeaseLost, "the node's lease ended",
			"many in one zone: its network is partitioned or its VMs were paused",
		},
		{spar.EventSuspected, "a witness received no renewal from a node", "often for one node: it is paused or overloaded"},
		{spar.EventFenced, "witnesses promised not to renew a node's lease", "not followed by takeover: the table is down"},
		{
			spar.EventTakeover, "a lost node's slots were assigned to others",
			"of a node that runs: look for a network partition with `sparctl timeline`",
		},
		{
			spar.EventAssigned, "slots without an owner were assigned",
			"often in the steady state: nodes start and stop repeatedly",
		},
		{
			spar.EventMoveBegun, "a planned move of a slot started",
			"not followed by moved: the receiver does not answer",
		},
		{
			spar.EventMoved, "a slot has a new owner",
			"not requested: see who withdrew what with `sparctl zone list`",
		},
		{
			spar.EventMoveFailed, "a planned move failed; the owner stays the same",
			"repeatedly: the receiver is at its limit or partitioned",
		},
		{spar.EventWitnesses, "the node changed its witnesses", "often: witnesses start and stop, look for restarts"},
	}
}

func operatorKinds() []EventInfo {
	return []EventInfo{
		{
			spar.EventPreset, "a generation came into force on this node",
			"missing on a node: `sparctl preset status` names it; check its connections to the table and its peers",
		},
		{spar.EventZone, "an operator's change of a zone was accepted", "unexpected: the detail names the operator"},
		{spar.EventServer, "an operator's change of a backend server was accepted", "as for zone"},
		{
			spar.EventQuarantined, "a request was put into quarantine, or an operator lifted it",
			"look at the request, repair the backend server, then `sparctl quarantine lift`",
		},
	}
}

func loadKinds() []EventInfo {
	return []EventInfo{
		{spar.EventEjected, "a straggler was excluded from selection", "the same node repeatedly: replace its VM"},
		{spar.EventReturned, "an ejected upstream can be selected again", "none"},
		{spar.EventLimit, "admission changed its limit", "falls far: the backend server is slow or cold"},
		{
			spar.EventShed, "requests were refused because the backend server is at its limit",
			"put the preset for peaks in force",
		},
		{
			spar.EventResumed, "an interrupted download continued at another upstream",
			"often: one upstream breaks off its responses",
		},
	}
}

// Reference returns the reference page of all metrics and events as Markdown.
func Reference() string {
	var b strings.Builder

	b.WriteString("## Metrics\n\n| metric | what it counts | when it looks wrong |\n|---|---|---|\n")

	for _, m := range Catalog() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, m.Help, m.Action)
	}

	b.WriteString("\n## Events\n\n| event | meaning | when it looks wrong |\n|---|---|---|\n")

	for _, k := range EventCatalog() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", k.Kind, k.Help, k.Action)
	}

	return b.String()
}
