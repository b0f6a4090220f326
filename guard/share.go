package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	spar "sardinespar.example/spar"
)

// sharer lets identical reads of one key that wait for a permit share one run. A read joins only a
// run that has not started, so that its answer is never older than the read.
type sharer struct {
	clock    spar.Clock
	maxBytes int

	mu     sync.Mutex
	groups map[string]*group
}

// group is the reads that share one run. Its fields are guarded by the sharer; answer, body and whole
// no longer change once done is closed.
type group struct {
	owner    *sharer
	id       string
	deadline spar.Millis
	cancel   context.CancelFunc
	done     chan struct{}

	members  int
	shared   bool
	started  bool
	finished bool
	// orphaned tells that the first caller, to whom a body that is not whole belongs, has left.
	orphaned bool

	answer spar.Answer
	body   []byte
	whole  bool
}

// runner waits for a permit, calls started, and runs a call.
type runner func(ctx context.Context, started func() bool) spar.Answer

func newSharer(clock spar.Clock, maxBytes int) *sharer {
	return &sharer{clock: clock, maxBytes: maxBytes, groups: map[string]*group{}}
}

// alone is the started function of a call that shares no run.
func alone() bool { return false }

// fits reports whether the call is a read that may share a run.
func (s *sharer) fits(c spar.Call) bool {
	return s.maxBytes > 0 && c.Idempotent && c.Token == "" && len(c.Body) == 0 &&
		(c.Method == http.MethodGet || c.Method == http.MethodHead)
}

// identity returns what identical reads have in common: method, URI, key and all headers that go
// to the backend server.
func identity(c spar.Call) string {
	var b strings.Builder

	part := func(text string) {
		b.WriteString(text)
		b.WriteByte(0)
	}

	part(c.Service.Name)
	part(c.Method)
	part(c.URI)
	part(c.Key)

	names := make([]string, 0, len(c.Header))
	for name := range c.Header {
		names = append(names, name)
	}

	slices.Sort(names)

	for _, name := range names {
		part(name)

		for _, v := range c.Header[name] {
			part(v)
		}

		b.WriteByte(0)
	}

	return b.String()
}

// do joins a waiting run of an identical read, or begins one. A call that joined runs alone if the
// body is too large to share, or if the run failed and this call's deadline is later than the first
// caller's, which bounds the shared run.
func (s *sharer) do(
	ctx context.Context, c spar.Call, run runner,
) spar.Answer {
	g, first := s.join(ctx, c, run)

	t := s.clock.Timer(c.Deadline - s.clock.Now())
	defer t.Stop()

	select {
	case <-g.done:
	case <-t.C:
		return s.leave(g, first)
	case <-ctx.Done():
		return s.leave(g, first)
	}

	switch {
	case first || g.whole:
		return g.give(c)
	case g.answer.Outcome == spar.OutcomeCompleted || c.Deadline > g.deadline:
		return run(ctx, alone)
	default:
		return g.answer
	}
}

func (s *sharer) join(
	ctx context.Context, c spar.Call, run runner,
) (*group, bool) {
	id := identity(c)

	s.mu.Lock()
	defer s.mu.Unlock()

	if g, ok := s.groups[id]; ok {
		g.members++
		g.shared = true

		return g, false
	}

	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g := &group{owner: s, id: id, deadline: c.Deadline, members: 1, cancel: cancel, done: make(chan struct{})}
	s.groups[id] = g

	go g.run(ctx, run)

	return g, true
}

// run runs the call for all members; it ends early when all have left.
func (g *group) run(ctx context.Context, run runner) {
	defer close(g.done)

	a := run(ctx, g.start)

	switch {
	case a.Response == nil:
		g.cancel()
	case g.start():
		a = g.read(a)
	default:
		a.Response.Body = onClose(a.Response.Body, g.cancel)
	}

	if g.finish(a) {
		a.Close()
	}
}

// start lets no more calls join and reports whether any did.
func (g *group) start() bool {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()

	g.started = true
	g.remove()

	return g.shared
}

// finish sets the answer and reports whether nobody is left to close its body.
func (g *group) finish(a spar.Answer) bool {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()

	g.answer, g.finished = a, true
	g.started = true
	g.remove()

	return g.orphaned && !g.whole
}

func (g *group) remove() {
	if g.owner.groups[g.id] == g {
		delete(g.owner.groups, g.id)
	}
}

// read takes the body into memory. A larger body stays with the first caller.
func (g *group) read(a spar.Answer) spar.Answer {
	stream := a.Response.Body

	body, err := io.ReadAll(io.LimitReader(stream, int64(g.owner.maxBytes)+1))
	if err != nil {
		a.Close()
		g.cancel()

		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "answer of backend server: %v", err)
	}

	if len(body) > g.owner.maxBytes {
		a.Response.Body = onClose(struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), stream), stream}, g.cancel)

		return a
	}

	a.Close()
	g.cancel()
	g.body, g.whole = body, true

	return a
}

// give returns the group's answer for one of its calls.
func (g *group) give(c spar.Call) spar.Answer {
	a := g.answer
	if !g.whole {
		return a
	}

	resp := *a.Response
	resp.Header = resp.Header.Clone()
	resp.Header.Set(spar.HeaderRequest, c.ID)
	resp.Body = io.NopCloser(bytes.NewReader(g.body))
	a.Response = &resp

	return a
}

// leave takes a call out of the group; the last one cancels the run.
func (s *sharer) leave(g *group, first bool) spar.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()

	g.members--
	g.orphaned = g.orphaned || first

	if g.members == 0 {
		g.remove()
		g.cancel()
	}

	if g.finished && first && !g.whole {
		g.answer.Close()
	}

	if g.started {
		return spar.Uncertain(http.StatusGatewayTimeout, spar.ReasonBroken, "deadline passed during the run")
	}

	return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed while waiting for a slot")
}
