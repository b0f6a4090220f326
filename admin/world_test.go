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

// world is a table with faults, a network with cuts, and an oracle: the register of generations,
// filled at the moment at which a transaction takes effect.
type world struct {
	table *table.Memory
	vms   []*vm
	late  sync.WaitGroup

	mu       sync.Mutex
	outage   bool
	lose     int
	delay    int
	cut      map[[2]int]bool
	conns    map[[2]int][]net.Conn
	register []preset.Force
	zoneA    []admin.WithdrawalRow
	problems []string
}

func newWorld() *world {
	return &world{table: table.NewMemory(), cut: map[[2]int]bool{}, conns: map[[2]int][]net.Conn{}}
}

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// last returns the generation in force by the oracle.
func (w *world) last() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return int64(len(w.register))
}

func (w *world) generation(g int64) (preset.Force, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if g < 1 || g > int64(len(w.register)) {
		return preset.Force{}, false
	}

	return w.register[g-1], true
}

// of returns the generation that an operation brought into force, 0 for none.
func (w *world) of(op string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, f := range w.register {
		if f.Op == op {
			return f.Generation
		}
	}

	return 0
}

// apply commits a transaction and takes its pointer into the register.
func (w *world) apply(ctx context.Context, txn spar.Txn) spar.Commit {
	w.mu.Lock()
	defer w.mu.Unlock()

	c := w.table.Commit(ctx, txn)
	if c.Verdict != spar.Applied {
		return c
	}

	for _, write := range txn.Writes {
		if write.Key == fleet.ZoneKey("a") {
			var row admin.WithdrawalRow
			if json.Unmarshal(write.Value, &row) == nil {
				w.zoneA = append(w.zoneA, row)
			}
		}

		if write.Key != fleet.PrefixForce {
			continue
		}

		var f preset.Force
		if err := json.Unmarshal(write.Value, &f); err != nil {
			w.problems = append(w.problems, err.Error())
		}

		if f.Generation != int64(len(w.register))+1 {
			w.problems = append(w.problems, fmt.Sprintf("generation %d was written after %d", f.Generation, len(w.register)))
		}

		w.register = append(w.register, f)
	}

	return c
}

// settled is above the longest pause between two scans of a small fleet, after which every node
// knows all others.
const settled = 3 * time.Second

const (
	outageDelay = 50 * time.Millisecond
	lateDelay   = 1500 * time.Millisecond
)

// store is the table as one VM reaches it. A lagging one answers scans from a snapshot.
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

// enter reports whether the table answers this VM, and takes one of the faults of commits.
func (s *store) enter(commit bool) (answers, lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.outage || s.cut[[2]int{s.index, tableIndex}] {
		return false, false, false
	}

	switch {
	case commit && s.delay > 0:
		s.delay--

		return true, false, true
	case commit && s.lose > 0:
		s.lose--

		return true, true, false
	default:
		return true, false, false
	}
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if answers, _, _ := s.enter(false); !answers {
		time.Sleep(outageDelay)

		return spar.Row{}, false, errDown
	}

	return s.table.Get(ctx, key)
}

func (s *store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	if answers, _, _ := s.enter(false); !answers {
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

// Commit may lose the reply after the effect, or let the effect come after the sender gave up.
func (s *store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	answers, lost, late := s.enter(true)

	switch {
	case !answers:
		time.Sleep(outageDelay)

		return spar.Commit{Verdict: spar.Unknown}
	case late:
		ctx = context.WithoutCancel(ctx)
		s.late.Go(func() {
			time.Sleep(lateDelay)
			s.apply(ctx, txn)
		})

		return spar.Commit{Verdict: spar.Unknown}
	case lost:
		s.apply(ctx, txn)

		return spar.Commit{Verdict: spar.Unknown}
	default:
		return s.apply(ctx, txn)
	}
}

// tableIndex and operatorIndex are the table and the operators in cuts.
const (
	tableIndex    = -1
	operatorIndex = -2
)

// setCut cuts or heals the way between two places; connections on it close.
func (w *world) setCut(a, b int, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, way := range [][2]int{{a, b}, {b, a}} {
		w.cut[way] = cut

		for _, c := range w.conns[way] {
			_ = c.Close()
		}

		w.conns[way] = nil
	}
}

// dialer returns a dialer from one place; a cut way answers nothing until the caller gives up.
func (w *world) dialer(from int) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var to int
		if _, err := fmt.Sscanf(addr, "vm%d", &to); err != nil {
			return nil, err
		}

		w.mu.Lock()
		cut, ln := w.cut[[2]int{from, to}], w.vms[to].listener
		w.mu.Unlock()

		if cut {
			<-ctx.Done()

			return nil, ctx.Err()
		}

		near, far := net.Pipe()

		select {
		case ln.conns <- far:
		case <-ln.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}

		w.mu.Lock()
		w.conns[[2]int{from, to}] = append(w.conns[[2]int{from, to}], near)
		w.mu.Unlock()

		return near, nil
	}
}

// listener accepts pipes.
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
