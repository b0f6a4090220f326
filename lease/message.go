package lease

import (
	spar "sardinespar.example/spar"
)

// Methods of leases.
const (
	MethodRenew = "lease.renew"
	MethodFence = "lease.fence"
)

// Verdict is a witness's answer to a renewal.
type Verdict string

// Verdicts of a witness. WrongWitness means that the node that answers does not have the addressed node id.
const (
	Granted      Verdict = "granted"
	Fenced       Verdict = "fenced"
	Lost         Verdict = "lost"
	WrongWitness Verdict = "stranger"
)

// RenewParams are the parameters of lease.renew, which asks a witness for a grant for one revision of the
// node's row.
type RenewParams struct {
	Node     spar.NodeID   `json:"node"`
	Revision spar.Revision `json:"revision"`
	Witness  spar.NodeID   `json:"witness"`
	Complete spar.Revision `json:"complete"`
}

// RenewResult is the answer to a renewal. Fenced is the highest fenced revision. Row is the node's row if
// the node is lost.
type RenewResult struct {
	Verdict  Verdict       `json:"verdict"`
	TTL      spar.Millis   `json:"ttl_ms,omitempty"`
	Fenced   spar.Revision `json:"fenced,omitempty"`
	Row      *spar.Row     `json:"row,omitempty"`
	Complete spar.Revision `json:"complete"`
}

// FenceParams are the parameters of lease.fence, which asks a witness to grant no more renewals for a
// revision of a node's row and all earlier ones.
type FenceParams struct {
	Node     spar.NodeID   `json:"node"`
	Revision spar.Revision `json:"revision"`
	Witness  spar.NodeID   `json:"witness"`
}

// FenceResult is the answer to a fence: whether the witness promises it, the remaining time of its last
// grant, and the highest revision that it has seen.
type FenceResult struct {
	Promised    bool          `json:"promised"`
	Remaining   spar.Millis   `json:"left_ms"`
	HighestSeen spar.Revision `json:"seen"`
}
