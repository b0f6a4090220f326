package spar

import (
	"context"
	"errors"
)

// ErrHistoryLost is returned by a feed that no longer has the requested changes. The caller must re-read the
// rows.
var ErrHistoryLost = errors.New("change history no longer available")

// Feed returns changes of rows as they happen.
type Feed interface {
	// Changes is a long poll. It returns the rows of a table that were written after since, as soon as there
	// are any, and the revision to pass as since to the next call. If none is written within wait, it returns
	// no rows. A row without a value was deleted.
	Changes(ctx context.Context, table string, since Revision, wait Millis) ([]Row, Revision, error)
}
