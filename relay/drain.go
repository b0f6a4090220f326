package relay

import (
	"time"

	spar "sardinespar.example/spar"
)

const (
	// noticePeriod is how long requests are still accepted after SIGTERM, since callers may still be directed here.
	noticePeriod      spar.Millis = 2600
	drainPollInterval spar.Millis = 50
)

// endsAt returns when the process ends, and false if it is not leaving.
func (r *Relay) endsAt() (spar.Millis, bool) {
	if end := r.end.Load(); end != nil {
		return *end, true
	}

	return 0, false
}

// drain stops in two steps: it announces that the node is leaving while requests are still accepted, and then
// waits for those in flight. Both steps together take at most ShutdownTime, and the first one half of it.
func (r *Relay) drain(servers []server) {
	start := r.deps.Clock.Now()
	end := start + r.cfg.ShutdownTime()
	notice := min(noticePeriod, r.cfg.ShutdownTime()/2)
	r.end.Store(&end)
	r.leaving.Store(true)
	r.deps.Log.Info("leaving", "active", r.active.Load())
	r.mesh.Announce()
	r.quota.Leave(r.work)

	for {
		now := r.deps.Clock.Now()
		if now >= start+notice {
			r.closed.Store(true)
		}

		if now >= end || now >= start+notice && r.active.Load() == 0 {
			break
		}

		time.Sleep(drainPollInterval.Duration())
	}

	for _, s := range servers {
		_ = s.Close()
	}

	r.deps.Log.Info("stopped", "active", r.active.Load(), "after_ms", int(r.deps.Clock.Now()-start))
}
