package spar

// Quarantine is the row of a request that crashed backend servers. Until it is lifted or expires, nodes forward the
// request to none of them, except for the one further attempt of an idempotent request that crashed only one. An
// operator lifts it by changing the row, since replicas are not notified of deleted rows. Times are wall-clock
// milliseconds.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Idempotent  bool   `json:"idempotent"`
	// Victims are the nodes whose backend servers the request crashed.
	Victims   []NodeID `json:"victims"`
	ChangedMs int64    `json:"changed_ms"`
	UntilMs   int64    `json:"until_ms"`
	Lifted    bool     `json:"lifted"`
	LiftedBy  string   `json:"lifted_by,omitempty"`
	Op        string   `json:"op,omitempty"`
}

// Active reports whether the row is neither lifted nor expired at the given wall-clock time.
func (q Quarantine) Active(wallMs int64) bool {
	return !q.Lifted && wallMs < q.UntilMs
}

// WithLift returns a copy of q that the operator's operation op has lifted. ChangedMs always increases, because
// nodes keep the row with the newest change.
func (q Quarantine) WithLift(wallMs int64, by, op string) Quarantine {
	q.ChangedMs, q.Lifted, q.Victims = max(wallMs, q.ChangedMs+1), true, nil
	q.LiftedBy, q.Op = by, op

	return q
}
