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

// sharer lets identical reads of one key that wait for a permit share one run. A read joins a run only before it has
// started, so that the answer is never older than the read.
type sharer struct {
	clock    spar.Clock
	maxBytes int

	mu     sync.Mutex
	groups map[string]*group
}

// group is the set of reads that share one run. The sharer's mutex guards its fields; answer, body and buffered no
// longer change once done is closed.
type group struct {
	sharer   *sharer
	id       string
	deadline spar.Millis
	cancel   context.CancelFunc
	done     chan struct{}

	members  int
	shared   bool
	started  bool
	finished bool
	// orphaned is true if the first caller, who would get a body that is not buffered, has left.
	orphaned bool

	answer spar.Answer
	// body is the complete body if buffered is true.
	body     []byte
	buffered bool
}

// runner waits for a permit, calls started, and runs a call.
type runner func(ctx context.Context, started func() bool) spar.Answer

func newSharer(clock spar.Clock, maxBytes int) *sharer {
	return &sharer{clock: clock, maxBytes: maxBytes, groups: map[string]*group{}}
}

// notShared is the started function of a call that does not share a run.
func notShared() bool { return false }

// canShare reports whether the call is a read that may share a run.
func (s *sharer) canShare(c spar.Call) bool {
	return s.maxBytes > 0 && c.Idempotent && c.Token == "" && len(c.Body) == 0 &&
		(c.Method == http.MethodGet || c.Method == http.MethodHead)
}

// identityOf returns a string that is equal for identical reads: service, method, URI, key and all headers that are
// forwarded to the backend server.
func identityOf(c spar.Call) string {
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

// do joins a waiting run of an identical read or starts a new group. A call that joined runs on its own if the body
// is too large to share. It also does so if the shared run failed and the call has a later deadline than the first
// call, whose deadline limits the shared run.
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
	case first || g.buffered:
		return g.answerFor(c)
	case g.answer.Outcome == spar.OutcomeCompleted || c.Deadline > g.deadline:
		return run(ctx, notShared)
	default:
		return g.answer
	}
}

// join adds the call to the group of its identity, or creates the group and reports that the call is its first.
func (s *sharer) join(
	ctx context.Context, c spar.Call, run runner,
) (*group, bool) {
	id := identityOf(c)

	s.mu.Lock()
	defer s.mu.Unlock()

	if g, ok := s.groups[id]; ok {
		g.members++
		g.shared = true

		return g, false
	}

	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g := &group{sharer: s, id: id, deadline: c.Deadline, members: 1, cancel: cancel, done: make(chan struct{})}
	s.groups[id] = g

	go g.run(ctx, run)

	return g, true
}

// run runs the call for all members. It is canceled when all members have left.
func (g *group) run(ctx context.Context, run runner) {
	defer close(g.done)

	a := run(ctx, g.start)

	switch {
	case a.Response == nil:
		g.cancel()
	case g.start():
		a = g.buffer(a)
	default:
		a.Response.Body = onClose(a.Response.Body, g.cancel)
	}

	if g.finish(a) {
		a.Close()
	}
}

// start closes the group to further calls and reports whether any call has joined.
func (g *group) start() bool {
	g.sharer.mu.Lock()
	defer g.sharer.mu.Unlock()

	g.started = true
	g.remove()

	return g.shared
}

// finish sets the answer and reports whether the group must close its body because the first caller has left.
func (g *group) finish(a spar.Answer) bool {
	g.sharer.mu.Lock()
	defer g.sharer.mu.Unlock()

	g.answer, g.finished = a, true
	g.started = true
	g.remove()

	return g.orphaned && !g.buffered
}

// remove removes the group from the sharer, so that no further call joins.
func (g *group) remove() {
	if g.sharer.groups[g.id] == g {
		delete(g.sharer.groups, g.id)
	}
}

// buffer reads the body into memory. A body that is too large to share is left to the first caller.
func (g *group) buffer(a spar.Answer) spar.Answer {
	stream := a.Response.Body

	body, err := io.ReadAll(io.LimitReader(stream, int64(g.sharer.maxBytes)+1))
	if err != nil {
		a.Close()
		g.cancel()

		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "answer of backend server: %v", err)
	}

	if len(body) > g.sharer.maxBytes {
		a.Response.Body = onClose(struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(body), stream), stream}, g.cancel)

		return a
	}

	a.Close()
	g.cancel()
	g.body, g.buffered = body, true

	return a
}

// answerFor returns the group's answer with the request id of the call.
func (g *group) answerFor(c spar.Call) spar.Answer {
	a := g.answer
	if !g.buffered {
		return a
	}

	resp := *a.Response
	resp.Header = resp.Header.Clone()
	resp.Header.Set(spar.HeaderRequest, c.ID)
	resp.Body = io.NopCloser(bytes.NewReader(g.body))
	a.Response = &resp

	return a
}

// leave removes a call from the group. The last one to leave cancels the run.
func (s *sharer) leave(g *group, first bool) spar.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()

	g.members--
	g.orphaned = g.orphaned || first

	if g.members == 0 {
		g.remove()
		g.cancel()
	}

	if g.finished && first && !g.buffered {
		g.answer.Close()
	}

	if g.started {
		return spar.UnknownOutcome(http.StatusGatewayTimeout, spar.ReasonBroken, "deadline passed during the run")
	}

	return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed while waiting for a slot")
}
