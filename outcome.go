package spar

// Outcome says what became of a request.
type Outcome string

// The outcomes. NotRun is said only if no backend server ran the request.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUnknown   Outcome = "unknown"
)

// The headers between callers, nodes and backend servers.
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
	// HeaderStatus is the status of an answer whose body was not kept for resends.
	HeaderStatus = "Spar-Status"
	// HeaderTrial marks the one further attempt of a call that crashed a backend server.
	HeaderTrial = "Spar-Trial"
)

// Reason says in one word why a request was not answered by a backend server.
type Reason string

// The reasons. Reasons that the entry node may act on by itself are marked by Retryable.
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
	// ReasonCrashed says that the backend server crashed on the call, which may have one further
	// attempt if it is idempotent.
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
