package owner

import (
	"context"
	"encoding/json"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/mesh"
)

const (
	// planInterval is the interval between two checks of the complete map.
	planInterval spar.Millis = 300
	// settleTime is how long the set of live nodes must be unchanged before keys without an owner are assigned.
	settleTime spar.Millis = 1200
	// rereadInterval is the interval between two reads of the map by the leading node: a node that wrote a map may
	// have ended before it notified its peers.
	rereadInterval spar.Millis = 10_000
	// suspectReadInterval is the interval between two reads of the lease of an unresponsive node.
	suspectReadInterval spar.Millis = 1000
)

// suspect records when a lease row was first seen at its current revision, and when it was last read.
type suspect struct {
	revision spar.Revision
	since    spar.Millis
	read     spar.Millis
}

// loopPlan assigns keys without an owner, takes over those of lost nodes, and balances the load.
func (o *Owner) loopPlan(ctx context.Context) {
	var (
		members string
		since   spar.Millis
		reread  = o.deps.Clock.Now()
	)

	for o.deps.Clock.Sleep(ctx, planInterval) {
		if keyed, _ := o.deps.Keyed(o.cfg.Service); !keyed || !o.Leased() {
			continue
		}

		now := o.deps.Clock.Now()
		live := o.liveNodes()

		if names := joinNames(live); names != members {
			members, since = names, now
		}

		if !o.maintainEra(ctx, o.leads(live)) {
			continue
		}

		if o.leads(live) {
			if now-reread >= rereadInterval {
				reread = now
				o.readMap(ctx)
			}

			o.takeOverLost(ctx, live)

			if now-since >= settleTime {
				o.assignGaps(ctx, live)
			}
		}

		o.balance(ctx)
	}
}

// liveNodes returns the nodes of this node's service that may own keys, including this one, sorted by name.
func (o *Owner) liveNodes() []mesh.Peer {
	live := o.candidates()

	u := o.deps.Gate.Upstream()
	if u.Ready && !o.deps.ZoneWithdrawn(o.cfg.Zone) {
		live = append(live, mesh.Peer{State: mesh.State{
			Node: o.cfg.Node, Zone: o.cfg.Zone, Service: o.cfg.Service, ServerIncarnation: u.Incarnation, Ready: true,
		}})
	}

	slices.SortFunc(live, func(a, b mesh.Peer) int {
		if a.Node < b.Node {
			return -1
		}

		return 1
	})

	return live
}

func joinNames(live []mesh.Peer) string {
	names := ""
	for _, p := range live {
		names += p.Node + " "
	}

	return names
}

// leads reports whether this node has the lowest name of all live nodes. It does no harm if two nodes consider
// themselves leading, since each change is conditional on the map's revision.
func (o *Owner) leads(live []mesh.Peer) bool {
	return len(live) > 0 && live[0].Node == o.cfg.Node
}

// assignGaps assigns the keys without an owner to live nodes.
func (o *Owner) assignGaps(ctx context.Context, live []mesh.Peer) {
	if len(o.deps.Maps.get(o.cfg.Service).Map.Gaps()) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, mapChangeTimeout.Duration())
	defer cancel()

	o.change(ctx, func(m keymap.Map) (keymap.Map, bool) {
		gaps := m.Gaps()
		for _, gap := range gaps {
			m = distribute(m, gap, live)
		}

		return m, len(gaps) > 0
	}, o.leaseCondition)
}

// distribute assigns nearly equal parts of a span to nodes, first to those with the fewest keys.
func distribute(m keymap.Map, s keymap.Span, live []mesh.Peer) keymap.Map {
	byKeyCount := slices.Clone(live)
	slices.SortStableFunc(byKeyCount, func(a, b mesh.Peer) int { return keyCount(m, a.Node) - keyCount(m, b.Node) })

	n := max(1, min(len(byKeyCount), (s.To-s.From+1)*len(byKeyCount)/keymap.Keys+1))
	for i, part := range s.Split(n) {
		m = m.WithOwner(part, byKeyCount[i].Node, byKeyCount[i].ServerIncarnation, "")
	}

	return m
}

func keyCount(m keymap.Map, node string) int {
	n := 0
	for _, r := range m.OwnedBy(node) {
		n += r.To - r.From + 1
	}

	return n
}

// takeOverLost assigns the keys of nodes whose lease has expired to live nodes.
func (o *Owner) takeOverLost(ctx context.Context, live []mesh.Peer) {
	timeout := o.deps.Mesh.LivenessTimeout()
	now := o.deps.Clock.Now()
	lost := map[string]bool{}

	for _, r := range o.deps.Maps.get(o.cfg.Service).Map.Ranges {
		if r.Node == o.cfg.Node {
			continue
		}

		if p, ok := o.deps.Mesh.Peer(r.Node); ok && p.LastHeard > 0 && p.Alive(now, timeout) {
			continue
		}

		lost[r.Node] = true
	}

	for node := range lost {
		if o.leaseExpired(ctx, node) {
			o.takeOverNode(ctx, node, live)
		}
	}
}

// leaseExpired reports whether the lease of an unresponsive node has expired. It reads the lease row at most once per
// suspectReadInterval and reports false in between.
func (o *Owner) leaseExpired(ctx context.Context, node string) bool {
	key := leaseKey(o.cfg.Service, node)
	now := o.deps.Clock.Now()

	o.mu.Lock()
	s := o.suspects[key]
	o.mu.Unlock()

	if s.read != 0 && now-s.read < suspectReadInterval {
		return false
	}

	row, found, err := o.getRow(ctx, key)
	if err != nil {
		o.deps.Log.Warn("reading lease of an unresponsive node failed", "node", node, "cause", err)

		return false
	}

	if !found {
		o.mu.Lock()
		o.suspects[key] = suspect{read: now}
		o.mu.Unlock()

		return true
	}

	return o.rowExpired(row)
}

// rowExpired reports whether a lease has expired: by the table's clock, or because its row has been seen at the same
// revision for longer than the duration of a lease.
func (o *Owner) rowExpired(row spar.Row) bool {
	now := o.deps.Clock.Now()
	key, revision := row.Key, row.Revision

	var l leaseRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		o.deps.Log.Warn("decoding lease row failed; deciding its expiry by its age",
			"key", key, "revision", revision, "cause", err)
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	s, ok := o.suspects[key]
	if !ok || s.revision != revision {
		s = suspect{revision: revision, since: now}
	}

	s.read = now
	o.suspects[key] = s

	if l.Until > 0 && row.Now > l.Until+o.cfg.LeaseDuration*2*clockError {
		return true
	}

	return o.deps.Flaws.NoLeaseWait || now-s.since > o.cfg.LeaseDuration*(1+2*clockError)
}

// takeOverNode deletes a lost node's lease and distributes its keys in one transaction, which fails if the node has
// renewed its lease. After a restore of the table, which may have lost the lease or its renewals, change allows no
// takeover until all leases from before the restore have ended.
func (o *Owner) takeOverNode(ctx context.Context, node string, live []mesh.Peer) {
	o.mu.Lock()
	s := o.suspects[leaseKey(o.cfg.Service, node)]
	o.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, mapChangeTimeout.Duration())
	defer cancel()

	o.deps.Log.Warn("node is lost; taking over its keys", "node", node, "lease", s.revision)
	done := o.change(ctx, func(m keymap.Map) (keymap.Map, bool) {
		own := m.OwnedBy(node)
		for _, r := range own {
			m = distribute(m.Without(r.Span), r.Span, live)
		}

		return m, len(own) > 0
	}, func() ([]spar.Condition, []spar.Write) {
		null := json.RawMessage("null")

		return []spar.Condition{{Key: leaseKey(o.cfg.Service, node), Revision: s.revision}}, []spar.Write{
			{Key: leaseKey(o.cfg.Service, node), Value: null},
		}
	})

	if done {
		o.deleteNodeRow(ctx, node)
	}
}

// deleteNodeRow deletes the row of a lost node, unless the node has written it again.
func (o *Owner) deleteNodeRow(ctx context.Context, node string) {
	row, found, err := o.getRow(ctx, nodeKey(node))
	if err != nil || !found {
		o.deps.Log.Info("reading row of a lost node failed", "node", node, "found", found, "cause", err)

		return
	}

	result := o.commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: row.Key, Revision: row.Revision}},
		Writes:     []spar.Write{{Key: row.Key, Value: json.RawMessage("null")}},
	})
	if result.Verdict != spar.VerdictApplied {
		o.deps.Log.Info("deleting row of a lost node failed", "node", node, "verdict", result.Verdict)
	}
}
