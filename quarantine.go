package spar

// Quarantine keeps a request that crashes backend servers away from all of them for a time.
// An operator lifts it by a change of the row, since replicas do not learn of deleted rows.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	By          NodeID `json:"by"`
	UntilMs     int64  `json:"until_ms"`
	Lifted      bool   `json:"lifted,omitempty"`
	LiftedBy    string `json:"lifted_by,omitempty"`
	Op          string `json:"op,omitempty"`
}

// Active reports whether the request is kept away at the given wall time.
func (q Quarantine) Active(wallMs int64) bool {
	return !q.Lifted && wallMs < q.UntilMs
}
