package spar

import (
	"context"
	"errors"
)

// ErrHistoryLost says that a feed no longer has the changes asked for; the rows must be read anew.
var ErrHistoryLost = errors.New("history of changes is no longer kept")

// Feed tells changes of rows as they happen.
type Feed interface {
	// Changes returns the rows of a table written after since, as soon as there is one, and the revision
	// to go on from. It returns none after wait. A row without a value was deleted.
	Changes(ctx context.Context, table string, since Revision, wait Millis) ([]Row, Revision, error)
}
