// Package flaw defines defects that tests inject into the ownership protocol to prove that their
// checks detect each of them. Programs only use the zero value, which has no defects.
package flaw

// Set is a set of injected defects.
type Set struct {
	// NoClockMargin makes lease holders and takeover coordinators assume that all clocks run at the same rate.
	NoClockMargin bool
	// IgnoreIncarnation makes a witness answer requests that are meant for an earlier incarnation of it.
	IgnoreIncarnation bool
	// IgnorePendingWitnesses makes a holder ignore the witness set of an update whose outcome is unknown.
	IgnorePendingWitnesses bool
	// Unconditional omits the lost node's row from the conditions of a takeover, and a node's own lease row from
	// the conditions of its changes of the map of owners.
	Unconditional bool
	// NoLeaseWait makes a takeover ignore the remaining time of the lease.
	NoLeaseWait bool
	// CountFromReceipt counts the duration of a lease grant from the arrival of the response, not from the sending
	// of the request.
	CountFromReceipt bool
	// ForgetDepartures makes a process use a backend server that departed before the process started.
	ForgetDepartures bool
	// IgnorePendingGrants makes a node let other nodes own keys while an unanswered grant may still take effect.
	IgnorePendingGrants bool
	// AssumeReleased treats an unanswered release as done.
	AssumeReleased bool
	// NoReleaseWait makes a node let other nodes own keys that its backend server still holds.
	NoReleaseWait bool
	// KeepEpochs makes a new incarnation of a backend server keep the epochs of the previous one.
	KeepEpochs bool
	// IgnoreEra makes a client of the table drop the era from revisions, so that only versions are compared.
	IgnoreEra bool
	// NoEraWait makes a node assume that no grant from before a restore of the table is in force.
	NoEraWait bool
	// ReuseEpochs makes the epochs after a restore follow those of the restored map, not those that were lost.
	ReuseEpochs bool
	// ForgetLostMoves makes nodes treat moves that a restore of the table has lost as never made: the restored map is in
	// force at once.
	ForgetLostMoves bool
}
