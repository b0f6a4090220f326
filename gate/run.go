package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
)

// probeTimeout bounds a health check.
const probeTimeout spar.Millis = 300

// run sends a request that has a slot.
func (g *Gate) run(ctx context.Context, e *Entrant, req Request) Result {
	life := g.Upstream().Life
	start := g.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (req.Deadline - start).Duration())

	resp, failure := g.deps.Pool.Send(ctx, g.cfg.Addr, conns.Request{
		Method: req.Method, URI: req.URI, Host: req.Host, Body: req.Body,
		Header: g.header(req, life, start),
		Mine:   g.mine(req.ID),
	})
	if failure != nil {
		defer cancel()
		defer g.queue.Leave(e)

		return g.failed(ctx, req, life, failure)
	}

	b := &slotBody{ReadCloser: resp.Body, gate: g, entrant: e, start: start, cancel: cancel}
	b.failed = resp.StatusCode >= http.StatusInternalServerError

	if g.refusedByServer(resp) {
		_ = b.Close()

		r := Refused(spar.ReasonShed, g.Load().Service)
		r.Arrived = true
		r.Detail = "backend server answered " + strconv.Itoa(resp.StatusCode)

		return r
	}

	return g.deliver(ctx, req, resp, b)
}

// mine tells answers to a request by the echoed identifier. An answer without one belongs to whatever
// was asked last.
func (g *Gate) mine(id string) func(http.Header) bool {
	return func(h http.Header) bool {
		echo := h.Get(g.cfg.Names.RequestID)

		return echo == "" || echo == id
	}
}

func (g *Gate) refusedByServer(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(g.cfg.Names.NotRun) != ""
}

// deliver reads short answers whole, so that a cut one can still be replaced.
func (g *Gate) deliver(ctx context.Context, req Request, resp *http.Response, b io.ReadCloser) Result {
	r := Result{
		Outcome: spar.OutcomeCompleted, Status: resp.StatusCode, Header: resp.Header, Body: b,
		Length: resp.ContentLength,
	}
	StripHop(r.Header)

	head := bytes.NewBuffer(make([]byte, 0, max(512, min(g.cfg.WholeBytes, resp.ContentLength))))
	if _, err := io.CopyN(head, b, g.cfg.WholeBytes); err == nil {
		r.Body = joined{Reader: io.MultiReader(head, b), Closer: b}

		return r
	} else if !errors.Is(err, io.EOF) {
		_ = b.Close()
		g.doubt(context.WithoutCancel(ctx), req.Service)

		return Doubtful(spar.ReasonBroken, "answer cut: "+cause(ctx, err))
	}

	_ = b.Close()
	r.Length = int64(head.Len())

	if req.Method == http.MethodHead {
		r.Length = resp.ContentLength
	}

	r.Body = io.NopCloser(head)

	return r
}

type joined struct {
	io.Reader
	io.Closer
}

func cause(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return ctx.Err().Error()
	}

	return err.Error()
}

// failed classifies a request without an answer.
func (g *Gate) failed(ctx context.Context, req Request, life spar.Life, f *conns.SendError) Result {
	ended := ctx.Err() != nil

	if !ended && !f.Sent {
		g.Update(func(u Upstream) Upstream {
			if u.Life == life {
				u.Down = true
			}

			return u
		})
		g.deps.Log.Warn("backend server refuses connections", "id", life.ID, "cause", f.Err)
	}

	switch {
	case !f.Sent:
		r := Refused(spar.ReasonUnreachable, retryLeast)
		r.Detail = f.Error()

		return r
	case ended:
		return Doubtful(spar.ReasonDeadline, f.Error())
	default:
		g.doubt(context.WithoutCancel(ctx), req.Service)

		return Doubtful(spar.ReasonBroken, f.Error())
	}
}

// header returns the header for the backend server.
func (g *Gate) header(req Request, life spar.Life, now spar.Millis) http.Header {
	h := req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}

	StripHop(h)

	left := max(1, int(req.Deadline-now))
	for _, f := range [][2]string{
		{g.cfg.Names.RequestID, req.ID},
		{g.cfg.Names.Deadline, strconv.Itoa(left)},
		{g.cfg.Names.Caller, req.Caller},
		{g.cfg.Names.Instance, life.ID},
	} {
		if f[0] != "" {
			h.Set(f[0], f[1])
		}
	}

	return h
}

// StripHop removes the fields that concern one connection only.
func StripHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range [...]string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect",
	} {
		delete(h, name)
	}
}

// slotBody gives the slot back at the end of the answer.
type slotBody struct {
	io.ReadCloser

	gate    *Gate
	entrant *Entrant
	start   spar.Millis
	cancel  func()
	// failed says that the backend server answered with a failure, whose time tells nothing of its speed.
	failed bool
	over   bool
}

// Close ends the answer.
func (b *slotBody) Close() error {
	if b.over {
		return nil
	}

	b.over = true
	err := b.ReadCloser.Close()
	b.cancel()
	took := b.gate.deps.Clock.Now() - b.start
	b.gate.deps.Tally.Observe("spar_gate_run_ms", took)

	if !b.failed {
		b.gate.queue.Served(b.entrant.class(), took)
	}

	b.gate.queue.Leave(b.entrant)

	return err
}

// doubt treats the backend server as cold until it reports or answers a health check: a broken
// connection may mean that it has started anew.
func (g *Gate) doubt(ctx context.Context, service string) {
	g.mu.Lock()
	busy := g.probing
	g.probing = true
	g.mu.Unlock()

	if busy {
		return
	}

	g.Update(func(u Upstream) Upstream {
		u.Unsure = true

		return u
	})

	go g.runProbe(ctx, service)
}

// runProbe asks the backend server itself what it is.
func (g *Gate) runProbe(ctx context.Context, service string) {
	defer func() {
		g.mu.Lock()
		g.probing = false
		g.mu.Unlock()
	}()

	set := g.deps.Rules()
	if set == nil {
		return
	}

	s, ok := set.Service(service)
	if !ok || s.HealthPath == "" {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()

	resp, failure := g.deps.Pool.Send(ctx, g.cfg.Addr, conns.Request{
		Method: http.MethodGet, URI: s.HealthPath, Host: g.cfg.Addr, Header: http.Header{},
	})
	if failure != nil {
		g.deps.Log.Warn("health check failed", "cause", failure)

		return
	}
	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.deps.Log.Warn("health check cut", "cause", err)

		return
	}

	g.probed(resp)
}

func (g *Gate) probed(resp *http.Response) {
	cold, err := strconv.ParseFloat(resp.Header.Get(g.cfg.Names.Cold), 64)
	if err != nil {
		cold = 0
	}

	id := resp.Header.Get(g.cfg.Names.Self)

	g.Update(func(u Upstream) Upstream {
		if id != u.Life.ID {
			return u
		}

		if cold > 0 {
			u.ColdUntil = max(u.ColdUntil, g.deps.Clock.Now()+spar.Millis(cold))
		}

		u.Unsure = false

		return u
	})
}
