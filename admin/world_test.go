package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/preset"
	"sardinespar.example/spar/table"
)

var errDown = errors.New("table service is down")

// world simulates a table with faults and a network with partitions. Its oracle is the history of
// generations, which grows when a transaction takes effect.
type world struct {
	table   *table.Memory
	vms     []*vm
	delayed sync.WaitGroup

	mu             sync.Mutex
	outage         bool
	lostReplies    int
	delayedCommits int
	partitioned    map[[2]int]bool
	conns          map[[2]int][]net.Conn
	history        []preset.Activation
	zoneAChanges   []admin.WithdrawalRow
	problems       []string
}

func newWorld() *world {
	return &world{table: table.NewMemory(), partitioned: map[[2]int]bool{}, conns: map[[2]int][]net.Conn{}}
}

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// lastGeneration returns the generation in force according to the oracle.
func (w *world) lastGeneration() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return int64(len(w.history))
}

func (w *world) generation(g int64) (preset.Activation, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if g < 1 || g > int64(len(w.history)) {
		return preset.Activation{}, false
	}

	return w.history[g-1], true
}

// generationOf returns the generation that an operation put in force, or 0 if there is none.
func (w *world) generationOf(op string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, a := range w.history {
		if a.Op == op {
			return a.Generation
		}
	}

	return 0
}

// apply commits a transaction and appends its preset in force and its change of zone a to the oracle.
func (w *world) apply(ctx context.Context, txn spar.Txn) spar.Commit {
	w.mu.Lock()
	defer w.mu.Unlock()

	c := w.table.Commit(ctx, txn)
	if c.Verdict != spar.VerdictApplied {
		return c
	}

	for _, write := range txn.Writes {
		if write.Key == fleet.ZoneKey("a") {
			var row admin.WithdrawalRow
			if json.Unmarshal(write.Value, &row) == nil {
				w.zoneAChanges = append(w.zoneAChanges, row)
			}
		}

		if write.Key != fleet.PrefixActivation {
			continue
		}

		var a preset.Activation
		if err := json.Unmarshal(write.Value, &a); err != nil {
			w.problems = append(w.problems, err.Error())
		}

		if a.Generation != int64(len(w.history))+1 {
			w.problems = append(w.problems, fmt.Sprintf("generation %d was written after %d", a.Generation, len(w.history)))
		}

		w.history = append(w.history, a)
	}

	return c
}

// settleTime is longer than the longest interval between two scans in a small fleet, after which all nodes
// know each other.
const settleTime = 3 * time.Second

const (
	outageDelay = 50 * time.Millisecond
	commitDelay = 1500 * time.Millisecond
)

// store is the table as seen by one VM. While it is lagging, it answers full scans from a snapshot.
type store struct {
	*world

	index int

	lag      sync.Mutex
	lagging  bool
	snapshot []spar.Row
	revision spar.Revision
}

func (s *store) setLag(lagging bool) {
	rows, revision, _ := s.table.Scan(context.Background(), "", 0)

	s.lag.Lock()
	defer s.lag.Unlock()

	s.lagging, s.snapshot, s.revision = lagging, rows, revision
}

// nextFault reports whether the table answers this VM, and whether a commit loses its reply or takes
// effect late. It uses up one of the requested faults.
func (s *store) nextFault(commit bool) (answers, lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.outage || s.partitioned[[2]int{s.index, tableIndex}] {
		return false, false, false
	}

	switch {
	case commit && s.delayedCommits > 0:
		s.delayedCommits--

		return true, false, true
	case commit && s.lostReplies > 0:
		s.lostReplies--

		return true, true, false
	default:
		return true, false, false
	}
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if answers, _, _ := s.nextFault(false); !answers {
		time.Sleep(outageDelay)

		return spar.Row{}, false, errDown
	}

	return s.table.Get(ctx, key)
}

func (s *store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	if answers, _, _ := s.nextFault(false); !answers {
		time.Sleep(outageDelay)

		return nil, 0, errDown
	}

	s.lag.Lock()
	defer s.lag.Unlock()

	if !s.lagging || prefix != "" {
		return s.table.Scan(ctx, prefix, since)
	}

	var rows []spar.Row

	for _, r := range s.snapshot {
		if r.Revision > since {
			rows = append(rows, r)
		}
	}

	return rows, s.revision, nil
}

// Commit may lose the reply after the transaction took effect, or apply the transaction after the sender
// has given up.
func (s *store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	answers, lost, late := s.nextFault(true)

	switch {
	case !answers:
		time.Sleep(outageDelay)

		return spar.Commit{Verdict: spar.VerdictUnknown}
	case late:
		ctx = context.WithoutCancel(ctx)
		s.delayed.Go(func() {
			time.Sleep(commitDelay)
			s.apply(ctx, txn)
		})

		return spar.Commit{Verdict: spar.VerdictUnknown}
	case lost:
		s.apply(ctx, txn)

		return spar.Commit{Verdict: spar.VerdictUnknown}
	default:
		return s.apply(ctx, txn)
	}
}

// tableIndex and operatorIndex stand for the table and the operators in partitions.
const (
	tableIndex    = -1
	operatorIndex = -2
)

// setPartitioned partitions or heals the network between two endpoints and closes the connections between them.
func (w *world) setPartitioned(a, b int, partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, direction := range [][2]int{{a, b}, {b, a}} {
		w.partitioned[direction] = partitioned

		for _, c := range w.conns[direction] {
			_ = c.Close()
		}

		w.conns[direction] = nil
	}
}

// dialer returns a dial function for one endpoint. If the network to the address is partitioned, it blocks
// until the context ends.
func (w *world) dialer(from int) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var to int
		if _, err := fmt.Sscanf(addr, "vm%d", &to); err != nil {
			return nil, err
		}

		w.mu.Lock()
		partitioned, ln := w.partitioned[[2]int{from, to}], w.vms[to].listener
		w.mu.Unlock()

		if partitioned {
			<-ctx.Done()

			return nil, ctx.Err()
		}

		client, server := net.Pipe()

		select {
		case ln.conns <- server:
		case <-ln.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}

		w.mu.Lock()
		w.conns[[2]int{from, to}] = append(w.conns[[2]int{from, to}], client)
		w.mu.Unlock()

		return client, nil
	}
}

// listener is a net.Listener that accepts in-memory pipes.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newListener() *listener {
	return &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

func (l *listener) Addr() net.Addr {
	return &net.UnixAddr{Name: "pipe"}
}
