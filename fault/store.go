package fault

import (
	"context"
	"sync"
	"time"

	spar "sardinespar.example/spar"
)

// storeTimeout is how long a call of the table over a cut link lasts, as the client's time limit.
const storeTimeout = time.Second

// StoreFaults are the faults of the table service. Delay is before a call takes effect, Late after.
// A commit takes effect even when its sender gave up during Delay. LoseReplies is the number of
// further commits whose reply is lost after the effect.
type StoreFaults struct {
	Outage      bool
	Delay       time.Duration
	Late        time.Duration
	LoseReplies int
}

// Store is a table with faults and counts of calls.
type Store struct {
	inner spar.Table

	mu     sync.Mutex
	faults StoreFaults
	reads  int
	writes int
}

// NewStore returns a store over inner without faults.
func NewStore(inner spar.Table) *Store {
	return &Store{inner: inner}
}

// Set sets the faults.
func (s *Store) Set(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Counts returns the numbers of reads and commits that reached the table.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.reads, s.writes
}

// enter counts a call and reports whether the table answers.
func (s *Store) enter(reads, writes int) (StoreFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f := s.faults
	if f.Outage {
		return f, false
	}

	s.reads += reads
	s.writes += writes

	return f, true
}

// Get reads a row.
func (s *Store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	f, ok := s.enter(1, 0)
	if !ok || !sleep(ctx, f.Delay) {
		return spar.Row{}, false, errRefused
	}

	row, found, err := s.inner.Get(ctx, key)
	if !sleep(ctx, f.Late) {
		return spar.Row{}, false, errTimeout
	}

	return row, found, err
}

// Scan reads rows.
func (s *Store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	f, ok := s.enter(1, 0)
	if !ok || !sleep(ctx, f.Delay) {
		return nil, 0, errRefused
	}

	rows, revision, err := s.inner.Scan(ctx, prefix, since)
	if !sleep(ctx, f.Late) {
		return nil, 0, errTimeout
	}

	return rows, revision, err
}

// Commit commits a transaction.
func (s *Store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	f, ok := s.enter(0, 1)
	if !ok {
		return spar.Commit{Verdict: spar.Unknown}
	}

	result := make(chan spar.Commit, 1)
	go delayed{s, f, txn, result}.run(context.WithoutCancel(ctx))

	select {
	case c := <-result:
		if !s.loses() && sleep(ctx, f.Late) {
			return c
		}
	case <-ctx.Done():
	}

	return spar.Commit{Verdict: spar.Unknown}
}

// loses reports whether the current reply is to be lost.
func (s *Store) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.faults.LoseReplies <= 0 {
		return false
	}

	s.faults.LoseReplies--

	return true
}

// delayed is a transaction under way.
type delayed struct {
	store  *Store
	faults StoreFaults
	txn    spar.Txn
	result chan<- spar.Commit
}

func (d delayed) run(ctx context.Context) {
	sleep(ctx, d.faults.Delay)
	d.result <- d.store.inner.Commit(ctx, d.txn)
}

// Table returns t as the VM reaches it: through its links with StoreHost, and not while frozen.
func (v *VM) Table(t spar.Table) spar.Table {
	return remote{vm: v, inner: t}
}

type remote struct {
	vm    *VM
	inner spar.Table
}

// reach passes a request on its way to the store, and reached a reply on its way back.
func (r remote) reach(ctx context.Context) bool {
	return !r.vm.dead() && r.vm.net.awaitThaw(ctx, r.vm.host) &&
		r.vm.net.awaitPath(ctx, r.vm.host, StoreHost) && sleep(ctx, r.vm.net.delay(r.vm.host, StoreHost))
}

func (r remote) reached(ctx context.Context) bool {
	return !r.vm.dead() && sleep(ctx, r.vm.net.delay(StoreHost, r.vm.host)) &&
		r.vm.net.awaitPath(ctx, StoreHost, r.vm.host)
}

// Get reads a row over the links.
func (r remote) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if !r.reach(ctx) {
		return spar.Row{}, false, errTimeout
	}

	row, ok, err := r.inner.Get(ctx, key)
	if !r.reached(ctx) {
		return spar.Row{}, false, errTimeout
	}

	return row, ok, err
}

// Scan reads rows over the links.
func (r remote) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if !r.reach(ctx) {
		return nil, 0, errTimeout
	}

	rows, revision, err := r.inner.Scan(ctx, prefix, since)
	if !r.reached(ctx) {
		return nil, 0, errTimeout
	}

	return rows, revision, err
}

// Commit commits a transaction over the links.
func (r remote) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if !r.reach(ctx) {
		return spar.Commit{Verdict: spar.Unknown}
	}

	c := r.inner.Commit(ctx, txn)
	if !r.reached(ctx) {
		return spar.Commit{Verdict: spar.Unknown}
	}

	return c
}
