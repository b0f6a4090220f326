package drain_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/table"
)

// wire delays each HTTP request by the time on the wire. A delay in the connections themselves would
// stop virtual time, since jsonrpc2 and net/http write with a mutex held.
type wire struct{ *http.Transport }

func (w wire) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(wireTime)

	return w.Transport.RoundTrip(r)
}

// store is a table with faults that remembers who owned which slot at which epoch.
type store struct {
	*table.Memory

	mu   sync.Mutex
	out  bool
	lose int
	// slow is how much longer each call takes.
	slow   time.Duration
	owners map[string]spar.NodeID
	moves  int
}

func (s *store) faulty() bool {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()

	time.Sleep(tableTime + slow)
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.out
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if s.faulty() {
		return spar.Row{}, false, errRefused
	}

	return s.Memory.Get(ctx, key)
}

func (s *store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	if s.faulty() {
		return nil, 0, errRefused
	}

	return s.Memory.Scan(ctx, prefix, since)
}

func (s *store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if s.faulty() {
		return spar.Commit{Verdict: spar.Unknown}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.Memory.Commit(ctx, txn)
	if c.Verdict != spar.Applied {
		return c
	}

	moved := false

	for _, w := range txn.Writes {
		if !strings.HasPrefix(w.Key, fleet.PrefixMap) {
			continue
		}

		var g spar.Segment

		_ = json.Unmarshal(w.Value, &g)

		for slot, a := range g.Slots {
			id := fmt.Sprintf("%s/%d/%d", g.Service, slot, a.Epoch)
			if s.owners[id] == "" && a.Epoch > 1 {
				s.moves++
				moved = true
			}

			s.owners[id] = a.Owner
		}
	}

	if moved && s.lose > 0 {
		s.lose--

		return spar.Commit{Verdict: spar.Unknown}
	}

	return c
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f()
}
