package owner

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Command is a command to this node's backend server: the grant of a span, or its release.
type Command struct {
	keymap.Span

	Epoch int64
	// TTL is how long a grant lasts from its arrival.
	TTL spar.Millis
	// Handover is the handover text of the previous holder, if a grant has one.
	Handover string
	// Incarnation is the incarnation of the backend server to which the command is addressed.
	Incarnation spar.Incarnation
}

// Reply is the result of a command.
type Reply string

// The replies. Only done, outdated and refused come from the backend server itself.
const (
	// ReplyDone means that the command was carried out.
	ReplyDone Reply = "done"
	// ReplyOutdated means that the backend server knows a higher epoch of one of the keys.
	ReplyOutdated Reply = "outdated"
	// ReplyRefused means that the backend server does not accept such a command.
	ReplyRefused Reply = "refused"
	// ReplyNotSent means that the command did not leave this node.
	ReplyNotSent Reply = "not_sent"
	// ReplyUnknown means that the command may have been carried out or may still be.
	ReplyUnknown Reply = "unknown"
)

// CommandSender sends commands to a backend server that receives its grants as commands. Other backend servers
// receive their grants in the responses to their heartbeats.
type CommandSender interface {
	// Grant grants a span or renews its grant. The error is the reason why the command was not carried out.
	Grant(ctx context.Context, cmd Command) (Reply, error)
	// Release revokes the grant of a span. It is done once no request for the span is in progress any more, and
	// returns the handover text for the next holder.
	Release(ctx context.Context, cmd Command) (handover string, reply Reply, err error)
}
