package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
)

// Methods of dissemination.
const (
	MethodPull = "fleet.pull"
	MethodPush = "fleet.push"
)

const (
	// scanIntervalPerNode limits the scans of the whole fleet to five a second at any size.
	scanIntervalPerNode spar.Millis = 200
	// minScanInterval limits the nodes of small fleets to one scan a second each.
	minScanInterval spar.Millis = 1000
	// initialScanInterval is the interval between scans until the first one has succeeded.
	initialScanInterval spar.Millis = 200
	pushTimeout         spar.Millis = 500
	pullTimeout         spar.Millis = 1000
	// maxParallelPushes bounds the pushes in flight from one node.
	maxParallelPushes = 32
)

// PullParams are the parameters of fleet.pull, which returns the rows written after a revision.
type PullParams struct {
	Since spar.Revision `json:"since"`
}

// PullResult holds rows and the revision up to which the sender has all rows.
type PullResult struct {
	Rows     []spar.Row    `json:"rows"`
	Complete spar.Revision `json:"complete"`
}

// PushParams holds rows that the sender committed or received.
type PushParams struct {
	From spar.NodeID `json:"from"`
	Rows []spar.Row  `json:"rows"`
}

// Empty is the result of a call that returns nothing.
type Empty struct{}

// Sync distributes rows between the table, the replica and the peers.
type Sync struct {
	replica *Replica
	table   spar.Table
	caller  peers.Caller
	clock   spar.Clock
	record  spar.Recorder

	mu        sync.Mutex
	pulling   map[string]bool
	storeDown bool
}

// NewSync returns the Sync of one node.
func NewSync(r *Replica, t spar.Table, caller peers.Caller, clock spar.Clock, record spar.Recorder) *Sync {
	return &Sync{replica: r, table: t, caller: caller, clock: clock, record: record, pulling: map[string]bool{}}
}

// Register adds the methods that peers call.
func (s *Sync) Register(m *peers.Mux) {
	peers.Handle(m, MethodPull, s.servePull)
	peers.Handle(m, MethodPush, s.servePush)
}

func (s *Sync) servePull(_ context.Context, p PullParams) (PullResult, error) {
	v := s.replica.View()

	return PullResult{Rows: v.RowsSince(p.Since), Complete: v.CompleteRevision()}, nil
}

func (s *Sync) servePush(_ context.Context, p PushParams) (Empty, error) {
	s.replica.Merge(p.Rows, 0)

	return Empty{}, nil
}

// Run scans the table for changes until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	s.loop(ctx)
}

func (s *Sync) loop(ctx context.Context) {
	for {
		wait := initialScanInterval
		if s.Scan(ctx) {
			wait = max(minScanInterval, scanIntervalPerNode*spar.Millis(len(s.replica.View().Nodes())))
		}

		if !s.clock.Sleep(ctx, wait/2+spar.Millis(rand.Float64())*wait) {
			return
		}
	}
}

// Scan reads the rows changed since the last scan from the table. It reports whether the table answered.
func (s *Sync) Scan(ctx context.Context) bool {
	rows, revision, err := s.table.Scan(ctx, "", s.replica.View().CompleteRevision())

	s.recordStoreState(err)

	if err != nil {
		return false
	}

	s.replica.Merge(rows, revision)

	return true
}

func (s *Sync) recordStoreState(err error) {
	s.mu.Lock()
	changed := s.storeDown != (err != nil)
	s.storeDown = err != nil
	s.mu.Unlock()

	switch {
	case changed && err != nil:
		s.record.Record(spar.Event{Kind: spar.EventStoreDown, Detail: err.Error()})
	case changed:
		s.record.Record(spar.Event{Kind: spar.EventStoreUp})
	}
}

// CatchUp pulls rows from a peer that has a higher complete revision. It returns at once if a pull from
// that peer is in progress.
func (s *Sync) CatchUp(ctx context.Context, addr string, complete spar.Revision) {
	if complete <= s.replica.View().CompleteRevision() || !s.beginPull(addr) {
		return
	}
	defer s.endPull(addr)

	ctx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()

	var result PullResult

	since := s.replica.View().CompleteRevision()
	if err := s.caller.Call(ctx, addr, MethodPull, PullParams{Since: since}, &result); err != nil {
		return
	}

	s.replica.Merge(result.Rows, result.Complete)
}

func (s *Sync) beginPull(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.pulling[addr] {
		return false
	}

	s.pulling[addr] = true

	return true
}

func (s *Sync) endPull(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.pulling, addr)
}

// Push merges rows into the replica and sends them to all peers. It waits for each answer at most for the
// push timeout.
func (s *Sync) Push(ctx context.Context, self spar.NodeID, rows []spar.Row) {
	s.replica.Merge(rows, 0)

	nodes := slices.DeleteFunc(s.replica.View().Nodes(), func(n spar.Node) bool { return n.ID == self })
	sem := make(chan struct{}, maxParallelPushes)

	var wg sync.WaitGroup

	for _, n := range nodes {
		sem <- struct{}{}

		wg.Go(func() {
			defer func() { <-sem }()

			ctx, cancel := context.WithTimeout(ctx, pushTimeout.Duration())
			defer cancel()

			var result Empty

			_ = s.caller.Call(ctx, n.PeerAddr, MethodPush, PushParams{From: self, Rows: rows}, &result)
		})
	}

	wg.Wait()
}

// RowsOf returns the rows that an applied transaction wrote.
func RowsOf(txn spar.Txn, revision spar.Revision) []spar.Row {
	rows := make([]spar.Row, 0, len(txn.Writes))

	for _, w := range txn.Writes {
		rows = append(rows, spar.Row{Key: w.Key, Value: w.Value, Revision: revision})
	}

	return rows
}
