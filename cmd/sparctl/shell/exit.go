package shell

import (
	"errors"
	"fmt"

	"sardinespar.example/spar/change"
)

// The exit statuses. exitHelp describes them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitLagging     = 5
	ExitUnavailable = 6
)

const exitHelp = `Exit statuses:
  0  done
  1  failed: no node answered, or the query failed
  2  usage: the arguments are wrong, or the change was refused as invalid
  3  conflict: another operator's change came first; the message names it
  4  unknown: the result is not known yet; run the command again with the same --op
  5  timeout: the nodes that the message names are lagging
  6  unavailable: the change was not accepted, because the table service did not answer`

// statusError is an error with an exit status.
type statusError struct {
	status int
	text   string
}

// Error returns the message.
func (e *statusError) Error() string {
	return e.text
}

func fail(status int, format string, args ...any) error {
	return &statusError{status: status, text: fmt.Sprintf(format, args...)}
}

// statusOf returns the exit status of an error, ExitFailed if the error carries none.
func statusOf(err error) int {
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}

	return ExitFailed
}

// resultError returns the error for the result of a change, nil if the change was accepted.
func resultError(r change.Result) error {
	switch r.Verdict {
	case change.Accepted:
		return nil
	case change.Conflict:
		return fail(ExitConflict, "conflict: %s; check the current state before you try again", r.Detail)
	case change.Refused:
		text := "refused: " + r.Detail
		for _, f := range r.Faults {
			text += "\n  " + f
		}

		return fail(ExitUsage, "%s", text)
	case change.Unavailable:
		return fail(ExitUnavailable, "not accepted: %s", r.Detail)
	default:
		return fail(ExitUnknown, "result is unknown: %s\nrun the same command again with --op %s to read it",
			r.Detail, r.Op)
	}
}
