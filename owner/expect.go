package owner

import (
	"context"

	spar "sardinespar.example/spar"
)

const (
	// expectWindow is how long after an announcement its keys are expected.
	expectWindow spar.Millis = 2500
	// maxResponseDelay is the maximum time that a heartbeat response waits for announced keys. The backend server
	// accepts a response within one second, and its next heartbeat follows soon after.
	maxResponseDelay spar.Millis = 800
)

// announce notifies the nodes that may receive keys that keys of this node are about to be moved.
func (o *Owner) announce(ctx context.Context) {
	for _, p := range o.candidates() {
		go o.runExpect(context.WithoutCancel(ctx), p.PeerAddr)
	}
}

func (o *Owner) runExpect(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()

	if err := o.deps.Peers.Call(ctx, addr, methodExpect, struct{}{}, nil); err != nil {
		o.deps.Log.Debug("announcing keys failed", "peer_addr", addr, "cause", err)
	}
}

// expectKeys makes heartbeat responses wait for announced keys.
func (o *Owner) expectKeys() {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.expectUntil = o.deps.Clock.Now() + expectWindow
}

// awaitKeys delays the response to a heartbeat until announced keys have arrived, so that the backend server receives
// them with this response instead of that to its next heartbeat.
func (o *Owner) awaitKeys(ctx context.Context, incarnation spar.Incarnation, received spar.Millis) {
	before := o.highestOwnEpoch(incarnation)

	for {
		changed := o.deps.Maps.Changed()

		o.mu.Lock()
		until := min(o.expectUntil, received+maxResponseDelay)
		o.mu.Unlock()

		if o.highestOwnEpoch(incarnation) > before {
			o.mu.Lock()
			o.expectUntil = 0
			o.mu.Unlock()

			return
		}

		remaining := until - o.deps.Clock.Now()
		if remaining <= 0 || !o.awaitChange(ctx, changed, remaining) {
			return
		}
	}
}

// awaitChange waits for a change of any map, and returns false if ctx or the duration ended first.
func (o *Owner) awaitChange(ctx context.Context, changed <-chan struct{}, d spar.Millis) bool {
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

// highestOwnEpoch returns the highest epoch of this node's keys for an incarnation of its backend server.
func (o *Owner) highestOwnEpoch(incarnation spar.Incarnation) int64 {
	var highest int64

	for _, r := range o.deps.Maps.get(o.cfg.Service).Map.OwnedBy(o.cfg.Node) {
		if r.Incarnation == incarnation {
			highest = max(highest, r.Epoch)
		}
	}

	return highest
}
