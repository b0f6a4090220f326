package owner

import (
	"context"

	spar "sardinespar.example/spar"
)

const (
	// expectFor is how long announced keys are expected.
	expectFor spar.Millis = 2500
	// answerWithin bounds how long a heartbeat's answer waits for announced keys. The backend server takes
	// an answer within a second, and its next heartbeat follows soon after.
	answerWithin spar.Millis = 800
)

// announce tells the nodes that may get keys that some will come.
func (o *Owner) announce(ctx context.Context) {
	for _, p := range o.targets() {
		go o.runExpect(context.WithoutCancel(ctx), p.PeerAddr)
	}
}

func (o *Owner) runExpect(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()

	if err := o.deps.Peers.Call(ctx, addr, methodExpect, struct{}{}, nil); err != nil {
		o.deps.Log.Debug("keys not announced", "peer_addr", addr, "cause", err)
	}
}

// expect makes the answers to heartbeats wait for keys.
func (o *Owner) expect() {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.expecting = o.deps.Clock.Now() + expectFor
}

// await holds the answer to a heartbeat until announced keys are here, so that the backend server gets
// them with this answer and not with that to its next heartbeat.
func (o *Owner) await(ctx context.Context, life spar.Life, received spar.Millis) {
	before := o.ownEpoch(life)

	for {
		changed := o.deps.Maps.Changed()

		o.mu.Lock()
		until := min(o.expecting, received+answerWithin)
		o.mu.Unlock()

		if o.ownEpoch(life) > before {
			o.mu.Lock()
			o.expecting = 0
			o.mu.Unlock()

			return
		}

		left := until - o.deps.Clock.Now()
		if left <= 0 || !o.waitFor(ctx, changed, left) {
			return
		}
	}
}

// waitFor waits for a change, and reports false if ctx ended first or the time is over.
func (o *Owner) waitFor(ctx context.Context, changed <-chan struct{}, d spar.Millis) bool {
	t := o.deps.Clock.Timer(d)
	defer t.Stop()

	select {
	case <-changed:
		return true
	case <-t.C:
	case <-ctx.Done():
	}

	return false
}

// ownEpoch returns the highest epoch of this node's keys for a life of its backend server.
func (o *Owner) ownEpoch(life spar.Life) int64 {
	var highest int64

	for _, r := range o.deps.Maps.get(o.cfg.Service).Map.Of(o.cfg.Node) {
		if r.Life == life {
			highest = max(highest, r.Epoch)
		}
	}

	return highest
}
