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

// delayedTransport delays each HTTP request by the network delay. A delay in the connections themselves would stop
// virtual time, since jsonrpc2 and net/http write with a mutex held.
type delayedTransport struct{ *http.Transport }

func (t delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(networkDelay)

	return t.Transport.RoundTrip(r)
}

// store is a table with faults. It records the owner of each slot at each epoch.
type store struct {
	*table.Memory

	mu          sync.Mutex
	outage      bool
	lostReplies int
	// extraDelay is the additional time that each call takes.
	extraDelay time.Duration
	// owners holds the owners by service, slot and epoch.
	owners map[string]spar.NodeID
	moves  int
}

// waitFailed waits for the duration of a call and reports whether it fails because of an outage.
func (s *store) waitFailed() bool {
	s.mu.Lock()
	extraDelay := s.extraDelay
	s.mu.Unlock()

	time.Sleep(tableDelay + extraDelay)
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.outage
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if s.waitFailed() {
		return spar.Row{}, false, errRefused
	}

	return s.Memory.Get(ctx, key)
}

func (s *store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	if s.waitFailed() {
		return nil, 0, errRefused
	}

	return s.Memory.Scan(ctx, prefix, since)
}

func (s *store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if s.waitFailed() {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.Memory.Commit(ctx, txn)
	if c.Verdict != spar.VerdictApplied {
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

	if moved && s.lostReplies > 0 {
		s.lostReplies--

		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	return c
}

// set calls f, which reads or changes the faults, with the mutex held.
func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f()
}
