package guard

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
)

// probeTimeout limits the check whether a backend server still accepts connections. A crashed server refuses them
// at once; a server that does not respond at all is frozen and has not crashed.
const probeTimeout spar.Millis = 300

// checkQuarantine refuses a call that is quarantined or suspected of a crash.
func (g *Guard) checkQuarantine(c spar.Call) (spar.Answer, bool) {
	if g.crashes == nil {
		return spar.Answer{}, true
	}

	switch g.crashes.State(c) {
	case crash.StateQuarantined:
		return spar.NotRun(http.StatusUnprocessableEntity, spar.ReasonQuarantined,
			"the request crashed backend servers and is held back"), false
	case crash.StateSuspected:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonSuspected,
			"the request may have crashed a backend server and is being tried on another"), false
	default:
		return spar.Answer{}, true
	}
}

// reportCrash reports a call whose connection broke to the quarantine if the backend server now refuses connections.
// It returns whether the entry node may send the call once more.
func (g *Guard) reportCrash(ctx context.Context, b Backend, c spar.Call) bool {
	ctx = context.WithoutCancel(ctx)

	return g.crashes != nil && g.refusesConnections(ctx, b) && g.crashes.RecordCrash(ctx, c)
}

// refusesConnections reports whether the backend server refuses a new connection within probeTimeout.
func (g *Guard) refusesConnections(ctx context.Context, b Backend) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()

	var connected atomic.Bool

	// A reused idle connection may have been broken by the crash and does not count; the transport then opens a
	// new one.
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { connected.Store(!i.Reused) },
	})

	req, err := http.NewRequestWithContext(tracedCtx, http.MethodGet, "http://"+b.Addr+"/health", nil)
	if err != nil {
		panic("guard: invalid address of backend server: " + err.Error())
	}

	resp, err := g.client.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()

		return false
	}

	return !connected.Load() && ctx.Err() == nil
}
