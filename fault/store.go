package fault

import (
	"context"
	"sync"
	"time"

	spar "sardinespar.example/spar"
)

// storeTimeout is the time limit of a VM's calls of the table, as that of the real client. A call over a cut link
// ends after it.
const storeTimeout = time.Second

// StoreFaults are the faults of the table service. Delay passes before a call takes effect, and ReplyDelay between
// the effect and the reply. A commit takes effect even if its sender gave up during Delay. LostReplies is the number
// of further commits that take effect but whose reply is lost.
type StoreFaults struct {
	Outage      bool
	Delay       time.Duration
	ReplyDelay  time.Duration
	LostReplies int
}

// Store is a table with faults that counts its calls.
type Store struct {
	inner spar.Table

	mu     sync.Mutex
	faults StoreFaults
	reads  int
	writes int
}

// NewStore returns a store that passes calls on to inner, at first without faults.
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

// begin counts a call and returns the faults that apply to it. It returns false during an outage.
func (s *Store) begin(reads, writes int) (StoreFaults, bool) {
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
	f, ok := s.begin(1, 0)
	if !ok || !sleep(ctx, f.Delay) {
		return spar.Row{}, false, errRefused
	}

	row, found, err := s.inner.Get(ctx, key)
	if !sleep(ctx, f.ReplyDelay) {
		return spar.Row{}, false, errTimeout
	}

	return row, found, err
}

// Scan reads rows.
func (s *Store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	f, ok := s.begin(1, 0)
	if !ok || !sleep(ctx, f.Delay) {
		return nil, 0, errRefused
	}

	rows, revision, err := s.inner.Scan(ctx, prefix, since)
	if !sleep(ctx, f.ReplyDelay) {
		return nil, 0, errTimeout
	}

	return rows, revision, err
}

// Commit commits a transaction.
func (s *Store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	f, ok := s.begin(0, 1)
	if !ok {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	result := make(chan spar.Commit, 1)
	go pendingCommit{s, f, txn, result}.run(context.WithoutCancel(ctx))

	select {
	case c := <-result:
		if !s.takeLostReply() && sleep(ctx, f.ReplyDelay) {
			return c
		}
	case <-ctx.Done():
	}

	return spar.Commit{Verdict: spar.VerdictUnknown}
}

// takeLostReply reports whether the current reply is to be lost, and counts it.
func (s *Store) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.faults.LostReplies <= 0 {
		return false
	}

	s.faults.LostReplies--

	return true
}

// pendingCommit is a transaction in flight.
type pendingCommit struct {
	store  *Store
	faults StoreFaults
	txn    spar.Txn
	result chan<- spar.Commit
}

func (p pendingCommit) run(ctx context.Context) {
	sleep(ctx, p.faults.Delay)
	p.result <- p.store.inner.Commit(ctx, p.txn)
}

// Table returns t as the VM accesses it: over its links with StoreHost, and not while the VM is frozen.
func (v *VM) Table(t spar.Table) spar.Table {
	return remoteTable{vm: v, inner: t}
}

// remoteTable is a table that a VM accesses over the network.
type remoteTable struct {
	vm    *VM
	inner spar.Table
}

// sendRequest waits until a request has reached the store. It returns false if the request is lost.
func (r remoteTable) sendRequest(ctx context.Context) bool {
	return !r.vm.isKilled() && r.vm.net.awaitThaw(ctx, r.vm.host) &&
		r.vm.net.awaitLink(ctx, r.vm.host, StoreHost) && sleep(ctx, r.vm.net.delay(r.vm.host, StoreHost))
}

// receiveReply waits until a reply has come back from the store. It returns false if the reply is lost.
func (r remoteTable) receiveReply(ctx context.Context) bool {
	return !r.vm.isKilled() && sleep(ctx, r.vm.net.delay(StoreHost, r.vm.host)) &&
		r.vm.net.awaitLink(ctx, StoreHost, r.vm.host)
}

// Get reads a row over the links.
func (r remoteTable) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if !r.sendRequest(ctx) {
		return spar.Row{}, false, errTimeout
	}

	row, ok, err := r.inner.Get(ctx, key)
	if !r.receiveReply(ctx) {
		return spar.Row{}, false, errTimeout
	}

	return row, ok, err
}

// Scan reads rows over the links.
func (r remoteTable) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if !r.sendRequest(ctx) {
		return nil, 0, errTimeout
	}

	rows, revision, err := r.inner.Scan(ctx, prefix, since)
	if !r.receiveReply(ctx) {
		return nil, 0, errTimeout
	}

	return rows, revision, err
}

// Commit commits a transaction over the links.
func (r remoteTable) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if !r.sendRequest(ctx) {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	c := r.inner.Commit(ctx, txn)
	if !r.receiveReply(ctx) {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	return c
}
