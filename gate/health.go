package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
)

// healthCheckTimeout is the timeout of a health check.
const healthCheckTimeout spar.Millis = 300

// serverState is what a health check says of an incarnation of the backend server.
type serverState int

const (
	// serverUnknown means that the check got no usable response.
	serverUnknown serverState = iota
	// serverRunning means that the incarnation still runs.
	serverRunning
	// serverEnded means that the server refuses connections, or that another incarnation runs at its address.
	serverEnded
)

// suspect is a request whose connection broke or whose response was invalid, and the incarnation of the backend server
// that it was sent to.
type suspect struct {
	request     Request
	incarnation spar.Incarnation
	// broken reports whether the connection broke.
	broken bool
}

// connectionBroken handles the end of a connection before the response to req was complete. The server may have
// crashed, unless it had announced that it leaves.
func (g *Gate) connectionBroken(ctx context.Context, req Request, incarnation spar.Incarnation) {
	var suspects []suspect

	if g.expectedToRun(incarnation) {
		suspects = append(suspects, suspect{request: req, incarnation: incarnation, broken: true})
	}

	g.suspectRestart(context.WithoutCancel(ctx), req.Service, suspects...)
}

// responseInvalid handles a response with a complete header that is not valid. It is no sign of a restart, so the
// server is not treated as cold, but the request may have crashed it.
func (g *Gate) responseInvalid(ctx context.Context, req Request, incarnation spar.Incarnation) {
	if g.expectedToRun(incarnation) {
		g.startHealthChecks(context.WithoutCancel(ctx), req.Service, suspect{request: req, incarnation: incarnation})
	}
}

// expectedToRun reports whether an incarnation of the backend server is the present one and has not announced that it
// leaves.
func (g *Gate) expectedToRun(incarnation spar.Incarnation) bool {
	u := g.Upstream()

	return u.Ready && u.Incarnation == incarnation
}

// suspectRestart treats the backend server as cold until it sends a heartbeat or the known instance answers a
// health check. It is called after a connection broke, which may mean that the server has restarted, and also when
// the deadline passed or the caller closed the connection while the body was read.
func (g *Gate) suspectRestart(ctx context.Context, service string, suspects ...suspect) {
	g.markMaybeRestarted()
	g.startHealthChecks(ctx, service, suspects...)
}

// startHealthChecks starts the health checks unless they are running, and adds requests that may have crashed the
// backend server.
func (g *Gate) startHealthChecks(ctx context.Context, service string, suspects ...suspect) {
	g.mu.Lock()
	alreadyChecking := g.checkingHealth
	g.checkingHealth = true
	g.suspects = append(g.suspects, suspects...)
	g.mu.Unlock()

	if !alreadyChecking {
		go g.runHealthChecks(ctx, service)
	}
}

func (g *Gate) markMaybeRestarted() {
	g.Update(func(u Upstream) Upstream {
		u.MaybeRestarted = true

		return u
	})
}

// runHealthChecks checks the backend server, and again if further requests failed during a check. It reports the
// requests that were in flight at a server that crashed.
func (g *Gate) runHealthChecks(ctx context.Context, service string) {
	for {
		known := g.knownSuspects()

		incarnation := g.Upstream().Incarnation
		if len(known) > 0 {
			incarnation = known[0].incarnation
		}

		state := g.checkHealth(ctx, service, incarnation)
		if state == serverEnded {
			// After an invalid response nothing but the health check shows that the server has restarted.
			g.markMaybeRestarted()

			// Connections that broke during the check broke for the same reason.
			known = g.knownSuspects()
			g.reportCrash(incarnation, known)
		}

		g.removeSuspects(len(known))

		if g.endHealthCheck(state) {
			return
		}

		if slices.ContainsFunc(g.knownSuspects(), func(s suspect) bool { return s.broken }) {
			g.markMaybeRestarted()
		}
	}
}

// knownSuspects returns the suspects that are not yet removed.
func (g *Gate) knownSuspects() []suspect {
	g.mu.Lock()
	defer g.mu.Unlock()

	return slices.Clone(g.suspects)
}

// removeSuspects removes the first n suspects.
func (g *Gate) removeSuspects(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.suspects = slices.Delete(g.suspects, 0, n)
}

// endHealthCheck ends the health checks after one with a result, unless there are suspects left or a connection has
// broken since the server responded to it.
func (g *Gate) endHealthCheck(result serverState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	brokenSince := result == serverRunning && g.state.Load().MaybeRestarted
	g.checkingHealth = len(g.suspects) > 0 || brokenSince

	return !g.checkingHealth
}

// reportCrash reports the requests that were in flight at an incarnation of the server when it crashed.
func (g *Gate) reportCrash(incarnation spar.Incarnation, suspects []suspect) {
	if len(suspects) == 0 {
		return
	}

	requests := make([]Request, 0, len(suspects))
	for _, s := range suspects {
		requests = append(requests, s.request)
	}

	g.deps.Tally.Count("spar_gate_crashes_total")
	g.deps.Crashes.Crashed(incarnation, requests)
}

// checkHealth sends a health check to the backend server, to learn whether the incarnation still runs and whether it
// is cold.
func (g *Gate) checkHealth(ctx context.Context, service string, incarnation spar.Incarnation) serverState {
	set := g.deps.Rules()
	if set == nil {
		return serverUnknown
	}

	s, ok := set.Service(service)
	if !ok || s.HealthPath == "" {
		return serverUnknown
	}

	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout.Duration())
	defer cancel()

	resp, failure := g.deps.Pool.Send(ctx, g.cfg.Addr, conns.Request{
		Method: http.MethodGet, URI: s.HealthPath, Host: g.cfg.Addr, Header: http.Header{}, OwnConn: true,
	})
	if failure != nil {
		g.deps.Log.Warn("health check failed", "cause", failure)

		if !failure.Sent && errors.Is(failure, syscall.ECONNREFUSED) {
			return serverEnded
		}

		return serverUnknown
	}
	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.deps.Log.Warn("health check response truncated", "cause", err)

		return serverUnknown
	}

	switch id := g.applyHealthCheck(resp); id {
	case "":
		return serverUnknown
	case incarnation.ID:
		return serverRunning
	default:
		return serverEnded
	}
}

// applyHealthCheck updates the gate's view of the backend server from the response to a health check, and returns the
// id of the instance that responded. It ignores the state of another instance.
func (g *Gate) applyHealthCheck(resp *http.Response) string {
	coldFor, err := strconv.ParseFloat(resp.Header.Get(g.cfg.Names.Cold), 64)
	if err != nil {
		coldFor = 0
	}

	id := resp.Header.Get(g.cfg.Names.InstanceID)

	g.Update(func(u Upstream) Upstream {
		if id != u.Incarnation.ID {
			return u
		}

		if coldFor > 0 {
			u.ColdUntil = max(u.ColdUntil, g.deps.Clock.Now()+spar.Millis(coldFor))
		}

		u.MaybeRestarted = false

		return u
	})

	return id
}
