package owner_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/owner"
)

// server is a simulated backend server that sends heartbeats to its node's process.
type server struct {
	machine     *machine
	incarnation spar.Incarnation
	oracle      *oracle

	seq int64

	// mu guards the state that both commands and heartbeats use. rand decides which responses are lost.
	mu   sync.Mutex
	rand *rand.Rand
	rows []held
	// grantsSeen are the grants that were received as commands.
	grantsSeen  []keymap.Range
	released    []owner.Released
	draining    atomic.Bool
	releasedAny atomic.Bool
	ctx         context.Context //nolint:containedctx // The life of a test's server.
	stop        func()
}

func (s *server) run() {
	for s.ctx.Err() == nil {
		delay := heartbeatInterval
		if s.heartbeat() {
			delay = releaseInterval
		}

		select {
		case <-s.ctx.Done():
		case <-time.After(delay):
		}
	}
}

// heartbeat sends one heartbeat. It returns true if keys were released, so that the next heartbeat should follow soon.
func (s *server) heartbeat() bool {
	p := s.machine.process()
	if p == nil {
		return false
	}

	s.seq++
	sent := time.Now()

	rows := s.held()
	b := owner.Heartbeat{
		Incarnation: s.incarnation, Service: service, Addr: s.machine.appAddr(), Slots: 9, Draining: s.draining.Load(),
		Seq:      s.seq,
		Released: s.released,
	}

	if !s.machine.c.commands {
		for _, r := range rows {
			b.Holds = append(b.Holds, r.Span)
		}
	}

	s.recordLoad(p, rows)

	g, err := p.owner.Heartbeat(s.ctx, b)
	if s.losesReply() {
		return false
	}

	if err != nil || s.ctx.Err() != nil || time.Since(sent) > time.Second || p.ctx.Err() != nil {
		return false
	}

	s.released = nil

	if g.TTL <= 0 {
		return false
	}

	s.applyGrant(g, sent)

	return len(s.released) > 0
}

// losesReply decides at random whether the response to a heartbeat is lost.
func (s *server) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rand.IntN(12) == 0
}

// held returns the ranges that the server holds now.
func (s *server) held() []held {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	s.rows = slices.DeleteFunc(s.rows, func(r held) bool { return !now.Before(r.until) })

	return slices.Clone(s.rows)
}

// recordLoad records requests on a hot part of the keys, so that nodes move some of them to each other.
func (s *server) recordLoad(p *process, rows []held) {
	const requests, first, last = 260, 3000, 16_000

	for _, r := range rows {
		if !s.machine.c.hot.Load() {
			return
		}

		from, to := max(r.From, first), min(r.To, last)

		n := requests * (to - from + 1) / (last - first)
		for i := range n {
			p.gate.Keys().Record(from + (to-from)*i/n)
		}
	}
}

func (s *server) applyGrant(g owner.Grant, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, r := range s.rows {
		kept := slices.ContainsFunc(g.Ranges, func(n keymap.Range) bool { return n.Covers(r.Span) })
		if !kept {
			s.releasedAny.Store(true)
			s.released = append(s.released, owner.Released{Span: r.Span, Handover: "from " + s.incarnation.ID})
		}
	}

	until := sent.Add(time.Duration(float64(g.TTL.Duration()) * holdFactor))

	s.rows = nil
	for _, r := range g.Ranges {
		s.rows = append(s.rows, held{Range: r, until: until})
	}

	s.oracle.record(s.incarnation, s.rows)
}
