package spar

// Outcome states whether a request was run.
type Outcome string

// Outcomes. OutcomeNotRun is reported only if it is certain that no backend server ran the request.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUnknown   Outcome = "unknown"
)

// Headers between callers, nodes and backend servers.
const (
	HeaderKey      = "Spar-Key"
	HeaderToken    = "Spar-Token"
	HeaderOutcome  = "Spar-Outcome"
	HeaderReason   = "Spar-Reason"
	HeaderAttempts = "Spar-Attempts"
	HeaderOwner    = "Spar-Owner"
	HeaderOwnerURL = "Spar-Owner-Url"
	HeaderRequest  = "Spar-Request"
	HeaderDeadline = "Spar-Deadline-Ms"
	HeaderHop      = "Spar-Hop"
	HeaderSlot     = "Spar-Slot"
	HeaderEpoch    = "Spar-Epoch"
	HeaderLoad     = "Spar-Load"
	// HeaderStatus holds the status of a completed request whose response body was not kept for resending.
	HeaderStatus = "Spar-Status"
	// HeaderTrial marks the one further attempt at a call that crashed a backend server.
	HeaderTrial = "Spar-Trial"
)

// Reason is a machine-readable cause for a request that got no response from a backend server.
type Reason string

// Reasons. Retryable reports on which of them the entry node may retry by itself.
const (
	ReasonNone         Reason = ""
	ReasonBadRequest   Reason = "bad_request"
	ReasonNoService    Reason = "no_service"
	ReasonTooLarge     Reason = "too_large"
	ReasonNoToken      Reason = "no_token"
	ReasonNoOwner      Reason = "no_owner"
	ReasonNotOwner     Reason = "not_owner"
	ReasonMoved        Reason = "moved"
	ReasonNoLease      Reason = "no_lease"
	ReasonShed         Reason = "shed"
	ReasonLeaving      Reason = "leaving"
	ReasonOldRules     Reason = "old_rules"
	ReasonDeadline     Reason = "deadline"
	ReasonBroken       Reason = "broken"
	ReasonUnreachable  Reason = "unreachable"
	ReasonTokenExpired Reason = "token_expired"
	ReasonQuarantined  Reason = "quarantined"
	ReasonSuspected    Reason = "suspected"
	ReasonMethod       Reason = "method"
	ReasonNotKept      Reason = "not_kept"
	// ReasonMemory means that there was no memory for the request.
	ReasonMemory Reason = "memory"
	// ReasonQuota means that the tenant has used up its quota.
	ReasonQuota Reason = "quota"
	// ReasonCrashed means that the backend server crashed while it ran the call. An idempotent call may have
	// one further attempt.
	ReasonCrashed Reason = "crashed"
)

// Retryable reports whether the entry node may send the request again by itself.
func (r Reason) Retryable() bool {
	switch r {
	case ReasonNotOwner, ReasonMoved, ReasonNoLease, ReasonLeaving, ReasonUnreachable, ReasonSuspected:
		return true
	default:
		return false
	}
}
