package guard

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
)

// probeTimeout bounds the question whether a backend server still takes connections. A refusal
// comes at once; a server that freezes answers nothing and has not crashed.
const probeTimeout spar.Millis = 300

// allowed refuses a call that the quarantine holds back.
func (g *Guard) allowed(c spar.Call) (spar.Answer, bool) {
	if g.crashes == nil {
		return spar.Answer{}, true
	}

	switch g.crashes.State(c) {
	case crash.Quarantined:
		return spar.NotRun(http.StatusUnprocessableEntity, spar.ReasonQuarantined,
			"the request crashed backend servers and is held back"), false
	case crash.Suspected:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonSuspected,
			"the request may have crashed a backend server and is being tried on another"), false
	default:
		return spar.Answer{}, true
	}
}

// crashed tells the quarantine of a call whose connection broke if the backend server then refuses
// connections, and reports whether the entry node may try the call once more.
func (g *Guard) crashed(ctx context.Context, b Backend, c spar.Call) bool {
	ctx = context.WithoutCancel(ctx)

	return g.crashes != nil && g.refuses(ctx, b) && g.crashes.Crashed(ctx, c)
}

func (g *Guard) refuses(ctx context.Context, b Backend) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()

	var connected atomic.Bool

	// An idle connection that the crash broke says nothing; the transport then opens a new one.
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { connected.Store(!i.Reused) },
	})

	req, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+b.Addr+"/health", nil)
	if err != nil {
		panic("guard: address of backend server can't be used: " + err.Error())
	}

	resp, err := g.client.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()

		return false
	}

	return !connected.Load() && ctx.Err() == nil
}
