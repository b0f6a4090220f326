package relay

import (
	"context"
	"strconv"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
)

const (
	// methodCrashed sends changed entries to a peer, and methodCrashes requests all entries of a peer.
	methodCrashed = "relay.crashed"
	methodCrashes = "relay.crashes"
	// crashPullDelay is how long a notification of changed entries may take before all entries are pulled from a
	// peer instead, and crashPullInterval the minimum time between two pulls.
	crashPullDelay    spar.Millis = 250
	crashPullInterval spar.Millis = 1000
	// crashPullTimeout bounds the call to a peer.
	crashPullTimeout spar.Millis = 800
)

// crashEntries are the entries of requests that crashed backend servers.
type crashEntries struct {
	Entries []crash.Record `json:"entries"`
}

// crashLog finds requests that crash backend servers and exchanges its findings with the other nodes. Changed
// entries are sent to all peers at once. A node that missed them learns it from the digest in its peers' states. A
// backup in the store survives a restart of all nodes.
type crashLog struct {
	relay    *Relay
	detector *crash.Detector
	backup   *crash.Backup
	// pulling is set while entries are pulled from a peer.
	pulling atomic.Bool
}

var _ gate.CrashLog = (*crashLog)(nil)

func newCrashLog(r *Relay) *crashLog {
	d := crash.NewDetector(r.deps.UnixMillis)
	cfg := crash.BackupSettings{Node: r.cfg.Node, FirstStart: r.cfg.FirstStart, Timeout: r.cfg.StoreTimeout}

	return &crashLog{relay: r, detector: d, backup: crash.NewBackup(cfg, d, r.deps.Table, r.deps.Clock, r.deps.Log)}
}

// register lets peers send and request entries.
func (c *crashLog) register(m *peers.Mux) {
	peers.Handle(m, methodCrashed, func(_ context.Context, received crashEntries) (struct{}, error) {
		return struct{}{}, c.detector.Merge(received.Entries)
	})
	peers.Handle(m, methodCrashes, func(context.Context, struct{}) (crashEntries, error) {
		return crashEntries{Entries: c.detector.Entries()}, nil
	})
}

// Quarantined reports whether a request must not run now, and the time until it may.
func (c *crashLog) Quarantined(req gate.Request) (spar.Millis, bool) {
	return c.detector.Quarantined(requestIdentity(req))
}

// Crashed records a crash of the backend server and notifies all peers.
func (c *crashLog) Crashed(server spar.Incarnation, requests []gate.Request) {
	victim := spar.NodeID(c.relay.cfg.Node + "." + server.ID + "." + strconv.FormatInt(server.StartedMs, 10))
	identities := make([]crash.Request, 0, len(requests))

	for _, r := range requests {
		identities = append(identities, requestIdentity(r))
	}

	changed := c.detector.RecordCrash(victim, identities)

	for i, e := range changed {
		c.relay.deps.Log.Warn("request was in flight when the backend server crashed", "id", requests[i].ID,
			"instance", server.ID, "born", server.StartedMs, "service", e.Service, "method", e.Method, "path", e.Path,
			"fingerprint", e.Fingerprint, "crashes", len(e.Victims))
	}

	c.relay.mesh.Broadcast(c.relay.work, methodCrashed, crashEntries{Entries: changed})
	c.backup.Add(changed)
}

// Completed ends the suspicion of a request that the backend server completed.
func (c *crashLog) Completed(req gate.Request) {
	if c.detector.RecordCompletion(requestIdentity(req)) {
		c.relay.deps.Log.Info("request did not crash the backend server", "id", req.ID, "service", req.Service)
	}
}

// requestIdentity returns what identifies a request when its caller sends it again.
func requestIdentity(req gate.Request) crash.Request {
	return crash.Request{Service: req.Service, Host: req.Host, Method: req.Method, URI: req.URI, Body: req.Body}
}

// check compares a peer's entries with this node's, and pulls them if they differ.
func (c *crashLog) check(s mesh.State) {
	if c.differs(s) && c.pulling.CompareAndSwap(false, true) {
		go c.runPull(s)
	}
}

// differs reports whether a peer has entries that this node may lack.
func (c *crashLog) differs(s mesh.State) bool {
	return s.CrashDigest != 0 && s.CrashDigest != c.detector.Digest()
}

// runPull pulls a peer's entries, unless a notification delivers them first.
func (c *crashLog) runPull(s mesh.State) {
	defer c.pulling.Store(false)

	if !c.relay.deps.Clock.Sleep(c.relay.work, crashPullDelay) || !c.differs(s) {
		return
	}

	c.pull(s)
	c.relay.deps.Clock.Sleep(c.relay.work, crashPullInterval)
}

// pull requests all entries of a peer and merges them.
func (c *crashLog) pull(s mesh.State) {
	ctx, cancel := context.WithTimeout(c.relay.work, crashPullTimeout.Duration())
	defer cancel()

	var reply crashEntries

	err := c.relay.peerPool.Call(ctx, s.PeerAddr, methodCrashes, struct{}{}, &reply)
	if err == nil {
		err = c.detector.Merge(reply.Entries)
	}

	if err != nil {
		c.relay.deps.Log.Warn("cannot pull entries of crashes from peer", "peer", s.Node, "cause", err)
	}
}
