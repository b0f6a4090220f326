package spar

// Quarantine is the row of a request that crashes backend servers and is kept away from all of them
// for a time. An operator lifts it by a change of the row, since replicas do not learn of deleted
// rows. Times are wall-clock milliseconds.
type Quarantine struct {
	Fingerprint string   `json:"fingerprint"`
	Service     string   `json:"service"`
	Method      string   `json:"method"`
	Path        string   `json:"path"`
	Idempotent  bool     `json:"idempotent"`
	Victims     []NodeID `json:"victims"`
	ChangedMs   int64    `json:"changed_ms"`
	UntilMs     int64    `json:"until_ms"`
	Lifted      bool     `json:"lifted"`
	LiftedBy    string   `json:"lifted_by,omitempty"`
	Op          string   `json:"op,omitempty"`
}

// Active reports whether the request is kept away at the given wall time.
func (q Quarantine) Active(wallMs int64) bool {
	return !q.Lifted && wallMs < q.UntilMs
}

// Lift returns q lifted by an operator's operation. The time of the change always grows, because
// nodes keep the newest change that they know.
func (q Quarantine) Lift(wallMs int64, by, op string) Quarantine {
	q.ChangedMs, q.Lifted, q.Victims = max(wallMs, q.ChangedMs+1), true, nil
	q.LiftedBy, q.Op = by, op

	return q
}
