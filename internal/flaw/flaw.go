// Package flaw defines defects that tests inject into the ownership protocol to prove that their
// checks detect each of them. Programs only use the zero value, which has no defects.
package flaw

// Set is a set of injected defects.
type Set struct {
	// NoMargin makes lease holders and takeover coordinators assume that all clocks run at the same rate.
	NoMargin bool
	// AnyIncarnation makes a witness answer requests that are meant for an earlier incarnation of it.
	AnyIncarnation bool
	// NoJointSets makes a holder ignore the witness set of an update whose outcome is unknown.
	NoJointSets bool
	// Unconditional omits the lost node's row from the conditions of a takeover.
	Unconditional bool
	// NoWait makes a takeover ignore the remaining time of the lease.
	NoWait bool
	// FromReceipt counts the duration of a lease grant from the arrival of the answer, not from the sending
	// of the request.
	FromReceipt bool
	// ForgetLeaves makes a process use a backend server that departed before the process started.
	ForgetLeaves bool
	// LateIgnored makes a node give keys away while an unanswered grant may still take effect.
	LateIgnored bool
	// ReleaseAssumed treats an unanswered release as done.
	ReleaseAssumed bool
	// NoRelease makes a node give keys away that its backend server still holds.
	NoRelease bool
	// SameEpoch makes a new incarnation of a backend server keep the epochs of the previous one.
	SameEpoch bool
}
