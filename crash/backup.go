package crash

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
)

const (
	// backupTable has one row for each node with entries. All rows are in one partition, so that one call reads them.
	backupTable = "crashes"
	// maxBackupBytes is the maximum size of a row. The table allows 64 KiB.
	maxBackupBytes = 48 << 10
	// backupInterval is the time between two checks whether entries in the row have changed on other nodes.
	backupInterval spar.Millis = 5000
	// minBackupBackoff and maxBackupBackoff bound the delay after a failed call of the table.
	minBackupBackoff spar.Millis = 150
	maxBackupBackoff spar.Millis = 1000
	// maxExpiredRows is the number of rows that one transaction deletes; each takes two of the 100 entries that the table
	// allows.
	maxExpiredRows = 50
)

// BackupSettings configure a Backup.
type BackupSettings struct {
	Node string
	// FirstStart is set if no process of the deployment has run before, so that there is nothing to read.
	FirstStart bool
	// Timeout is the timeout of a call of the table.
	Timeout spar.Millis
}

// Backup keeps the entries of the crashes that a node has seen in the node's row of the table, and reads the rows of
// all nodes at the start. So a restart of all nodes at the same time forgets none of them.
type Backup struct {
	cfg      BackupSettings
	detector *Detector
	table    spar.Table
	clock    spar.Clock
	log      *log.Logger
	wake     chan struct{}

	// revision is that of the node's row, or 0 without a row, and written its value. Only loop uses them.
	revision spar.Revision
	written  json.RawMessage

	mu sync.Mutex
	// own has the fingerprints of the entries that belong into the node's row.
	own map[string]bool
	// stale is set while the row in the table may differ from written.
	stale bool
}

// NewBackup returns a backup of a detector's entries. Run must be started.
func NewBackup(cfg BackupSettings, d *Detector, t spar.Table, clock spar.Clock, l *log.Logger) *Backup {
	return &Backup{
		cfg: cfg, detector: d, table: t, clock: clock, log: l, wake: make(chan struct{}, 1), own: map[string]bool{},
	}
}

// Add adds entries to the node's row. It does not wait for the table.
func (b *Backup) Add(entries []Record) {
	b.mu.Lock()
	for _, e := range entries {
		b.own[e.Fingerprint] = true
	}
	b.mu.Unlock()

	b.wakeLoop()
}

// Restored makes the node write its row again, since the table was restored from a snapshot that may not have it.
func (b *Backup) Restored() {
	b.setStale(true)
	b.wakeLoop()
}

func (b *Backup) setStale(stale bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.stale = stale
}

func (b *Backup) wakeLoop() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run reads the rows of all nodes, and then keeps the node's row up to date until ctx ends.
func (b *Backup) Run(ctx context.Context) {
	b.loop(ctx)
}

func (b *Backup) loop(ctx context.Context) {
	backoff := spar.Backoff{Initial: minBackupBackoff, Max: maxBackupBackoff}
	restored := b.cfg.FirstStart

	for ctx.Err() == nil {
		restored = restored || b.readAll(ctx)

		if restored && b.writeRow(ctx) {
			backoff = backoff.WithSuccess()
			b.wait(ctx, backupInterval, b.wake)

			continue
		}

		backoff = backoff.WithFailure()
		b.wait(ctx, backoff.Delay(), nil)
	}
}

// wait returns after a time, or earlier if ctx ends or wake has a value.
func (b *Backup) wait(ctx context.Context, d spar.Millis, wake <-chan struct{}) {
	t := b.clock.Timer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// readAll merges the entries of all rows and reports success. It deletes the rows whose entries have all expired, since
// their nodes may be gone.
func (b *Backup) readAll(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, b.cfg.Timeout.Duration())
	defer cancel()

	rows, _, err := b.table.Scan(callCtx, backupTable+"//", 0)
	if err != nil {
		b.log.Warn("reading entries of crashes failed", "cause", err)

		return false
	}

	var expired spar.Txn

	for _, row := range rows {
		if row.Key == b.key() {
			b.adopt(row)
		} else if entries := b.merge(row); entries != nil && b.allExpired(entries) && len(expired.Writes) < maxExpiredRows {
			expired.Conditions = append(expired.Conditions, spar.Condition{Key: row.Key, Revision: row.Revision})
			expired.Writes = append(expired.Writes, spar.Write{Key: row.Key, Value: json.RawMessage("null")})
		}
	}

	if n := len(expired.Writes); n > 0 {
		b.log.Info("deleting rows of expired crashes", "rows", n, "verdict", b.commit(ctx, expired).Verdict)
	}

	b.log.Info("entries of crashes read", "rows", len(rows), "entries", len(b.detector.Entries()))

	return true
}

// merge merges the entries of a row into those of the detector, and returns them. It returns nil for a row that can't
// be decoded, which another writer may have written.
func (b *Backup) merge(row spar.Row) []Record {
	entries := []Record{}

	err := json.Unmarshal(row.Value, &entries)
	if err == nil {
		err = b.detector.Merge(entries)
	}

	if err != nil {
		b.log.Error("invalid row of crashes", "key", row.Key, "revision", row.Revision, "cause", err)

		return nil
	}

	return entries
}

func (b *Backup) allExpired(entries []Record) bool {
	now := b.detector.unixMillis()

	return !slices.ContainsFunc(entries, func(e Record) bool { return now < e.UntilMs })
}

// adopt takes over the node's row, which an earlier process has written.
func (b *Backup) adopt(row spar.Row) {
	b.revision, b.written = row.Revision, row.Value
	entries := b.merge(row)

	b.mu.Lock()
	defer b.mu.Unlock()

	for _, e := range entries {
		b.own[e.Fingerprint] = true
	}
}

// writeRow writes the node's row if it has changed, and reports whether it is up to date. The write is conditional on
// the row's revision, so that one of an earlier process can't replace it later.
func (b *Backup) writeRow(ctx context.Context) bool {
	if !b.refresh(ctx) {
		return false
	}

	value, n, err := b.encode()
	if err != nil {
		b.log.Error("entries of crashes can't be encoded", "cause", err)

		return true
	}

	if bytes.Equal(value, b.written) || n == 0 && b.revision == 0 {
		return true
	}

	result := b.commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: b.key(), Revision: b.revision}},
		Writes:     []spar.Write{{Key: b.key(), Value: value}},
	})
	if result.Verdict != spar.VerdictApplied {
		b.log.Warn("writing entries of crashes failed", "entries", n, "verdict", result.Verdict)
		b.setStale(true)

		return false
	}

	b.log.Info("entries of crashes written", "entries", n, "revision", result.Revision)

	if b.revision, b.written = result.Revision, value; n == 0 {
		b.revision, b.written = 0, nil
	}

	return true
}

// refresh reads the node's row again if it may differ from what this process has written, and reports whether it is
// known.
func (b *Backup) refresh(ctx context.Context) bool {
	b.mu.Lock()
	stale := b.stale
	b.stale = false
	b.mu.Unlock()

	if !stale {
		return true
	}

	callCtx, cancel := context.WithTimeout(ctx, b.cfg.Timeout.Duration())
	defer cancel()

	row, found, err := b.table.Get(callCtx, b.key())

	switch {
	case err != nil:
		b.setStale(true)
		b.log.Warn("reading the node's entries of crashes failed", "cause", err)

		return false
	case found:
		b.adopt(row)
	default:
		b.revision, b.written = 0, nil
	}

	return true
}

// encode returns the value of the node's row and its number of entries; without any, the value deletes the row. Entries
// of requests that have completed since, or that have expired, are left out. If there are too many, those with the
// fewest crashes and then the oldest are left out.
func (b *Backup) encode() (value json.RawMessage, n int, err error) {
	entries := b.ownEntries()

	for {
		if len(entries) == 0 {
			return json.RawMessage("null"), 0, nil
		}

		value, err := json.Marshal(entries)
		if err != nil {
			return nil, 0, fmt.Errorf("encoding %d entries: %w", len(entries), err)
		}

		if len(value) <= maxBackupBytes {
			return value, len(entries), nil
		}

		entries = entries[:len(entries)*maxBackupBytes/len(value)]
	}
}

// ownEntries returns the entries that belong into the node's row, those with the most crashes and then the newest
// first. It forgets those that don't belong there any more.
func (b *Backup) ownEntries() []Record {
	var list []Record

	b.mu.Lock()
	defer b.mu.Unlock()

	kept := map[string]bool{}

	for _, e := range b.detector.Entries() {
		if b.own[e.Fingerprint] && !e.Lifted {
			list = append(list, e)
			kept[e.Fingerprint] = true
		}
	}

	b.own = kept

	slices.SortStableFunc(list, func(x, y Record) int {
		return cmp.Or(cmp.Compare(len(y.Victims), len(x.Victims)), cmp.Compare(y.ChangedMs, x.ChangedMs))
	})

	return list
}

func (b *Backup) key() string {
	return backupTable + "//" + b.cfg.Node
}

func (b *Backup) commit(ctx context.Context, txn spar.Txn) spar.Commit {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.Timeout.Duration())
	defer cancel()

	return b.table.Commit(ctx, txn)
}
