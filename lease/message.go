package lease

import (
	spar "sardinespar.example/spar"
)

// The methods of leases.
const (
	MethodRenew = "lease.renew"
	MethodFence = "lease.fence"
)

// Verdict is a witness's answer to a renewal.
type Verdict string

// The verdicts. Stranger means that the addressed node id is not the one that answers.
const (
	Granted  Verdict = "granted"
	Fenced   Verdict = "fenced"
	Lost     Verdict = "lost"
	Stranger Verdict = "stranger"
)

// RenewParams asks a witness for a grant for one revision of the node's row.
type RenewParams struct {
	Node     spar.NodeID   `json:"node"`
	Revision spar.Revision `json:"revision"`
	Witness  spar.NodeID   `json:"witness"`
	Complete spar.Revision `json:"complete"`
}

// RenewResult is the answer to a renewal. Fenced is the highest fenced revision; Row is the node's
// row if it is lost.
type RenewResult struct {
	Verdict  Verdict       `json:"verdict"`
	TTL      spar.Millis   `json:"ttl_ms,omitempty"`
	Fenced   spar.Revision `json:"fenced,omitempty"`
	Row      *spar.Row     `json:"row,omitempty"`
	Complete spar.Revision `json:"complete"`
}

// FenceParams asks a witness not to renew a revision of a node's row or an earlier one any more.
type FenceParams struct {
	Node     spar.NodeID   `json:"node"`
	Revision spar.Revision `json:"revision"`
	Witness  spar.NodeID   `json:"witness"`
}

// FenceResult is the answer to a fence: whether it is promised, the time left on the last grant,
// and the highest revision that the witness has seen.
type FenceResult struct {
	Promised bool          `json:"promised"`
	Left     spar.Millis   `json:"left_ms"`
	Seen     spar.Revision `json:"seen"`
}
