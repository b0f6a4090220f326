package agent_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// history is a table that records every applied transaction.
type history struct {
	spar.Table

	mu      sync.Mutex
	commits map[spar.Revision]spar.Txn
}

func (h *history) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	c := h.Table.Commit(ctx, txn)

	h.mu.Lock()
	defer h.mu.Unlock()

	if c.Verdict == spar.VerdictApplied {
		h.commits[c.Revision] = txn
	}

	return c
}

func (h *history) at(r spar.Revision) spar.Txn {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.commits[r]
}

// oracle watches a cluster by the virtual time, which the nodes do not see because their clocks drift. It checks
// that no two nodes would admit requests for a slot at the same time, that no node sees the epoch of a slot
// decrease, that an epoch of a slot has the same owner at all nodes, and that acknowledged takeovers and
// assignments are in the table.
type oracle struct {
	cluster *cluster
	history *history

	mu         sync.Mutex
	instances  map[int]int
	violations []string
	events     []spar.Event
	// owners holds the owner that replicas showed for each slot and epoch.
	owners map[epochKey]spar.NodeID
	// views holds the view of each node that was checked last.
	views      map[*node]*fleet.View
	ownedSlots map[*node]ownedCache
}

type epochKey struct {
	slot  int
	epoch spar.Epoch
}

// ownedCache caches the slots that a node id owns in a view.
type ownedCache struct {
	view  *fleet.View
	id    spar.NodeID
	slots []int
}

func newOracle(c *cluster, h *history) *oracle {
	return &oracle{
		cluster: c, history: h, instances: map[int]int{}, owners: map[epochKey]spar.NodeID{},
		views: map[*node]*fleet.View{}, ownedSlots: map[*node]ownedCache{},
	}
}

// newInstanceID returns a new instance id for node i.
func (o *oracle) newInstanceID(i int) string {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.instances[i]++

	return strconv.Itoa(o.instances[i])
}

// loop checks the cluster each millisecond. With a planted flaw, a slot has two owners for far longer than that.
func (o *oracle) loop(ctx context.Context) {
	for ctx.Err() == nil {
		o.unheld()
		time.Sleep(time.Millisecond)
	}
}

// unheld checks the current state and returns the number of slots for which no node would admit requests.
func (o *oracle) unheld() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	holders := map[int]int{}

	for i, n := range o.cluster.nodes {
		if n == nil {
			continue
		}

		o.checkView(i, n)

		if n.vm.PeekClock() >= n.reg.Until() {
			continue
		}

		for _, slot := range o.owned(n) {
			if j, held := holders[slot]; held {
				o.addViolation("slot %d is held by nodes %d and %d", slot, j, i)
			}

			holders[slot] = i
		}
	}

	return testService.Slots - len(holders)
}

// owned returns the slots that a node owns according to its replica.
func (o *oracle) owned(n *node) []int {
	v, id := n.replica.View(), n.reg.ID()
	if last := o.ownedSlots[n]; last.view != v || last.id != id {
		o.ownedSlots[n] = ownedCache{view: v, id: id, slots: owned(v, id)}
	}

	return o.ownedSlots[n].slots
}

// owned returns the slots that a node id owns in a view.
func owned(v *fleet.View, id spar.NodeID) []int {
	var slots []int

	for i := range testService.Slots {
		if id != "" && v.Assignment(testService, spar.Slot(i)).Owner == id {
			slots = append(slots, i)
		}
	}

	return slots
}

// checkView checks the assignments in the replica of a node if it has changed.
func (o *oracle) checkView(i int, n *node) {
	v, before := n.replica.View(), o.views[n]
	if v == before {
		return
	}

	o.views[n] = v

	for slot := range testService.Slots {
		a := v.Assignment(testService, spar.Slot(slot))
		key := epochKey{slot, a.Epoch}

		if owner, ok := o.owners[key]; ok && owner != a.Owner {
			o.addViolation("slot %d has owners %s and %s at epoch %d", slot, owner, a.Owner, a.Epoch)
		}

		o.owners[key] = a.Owner

		if before != nil && a.Epoch < before.Assignment(testService, spar.Slot(slot)).Epoch {
			o.addViolation("epoch of slot %d decreases to %d at node %d", slot, a.Epoch, i)
		}
	}
}

// Record records an event of any node. A takeover or an assignment that it acknowledges must be in the table.
func (o *oracle) Record(e spar.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()

	e.Timestamp.Wall = time.Now().UnixMilli()
	o.events = append(o.events, e)

	if e.Kind != spar.EventTakeover && e.Kind != spar.EventAssigned {
		return
	}

	prefix := fleet.PrefixMap
	if e.Kind == spar.EventTakeover {
		prefix = fleet.NodeKey(e.Peer)
	}

	for _, w := range o.history.at(e.Revision).Writes {
		if strings.HasPrefix(w.Key, prefix) {
			return
		}
	}

	o.addViolation("%s of %s at revision %d is not in the table", e.Kind, e.Peer, e.Revision)
}

func (o *oracle) count(kind spar.EventKind) int {
	o.mu.Lock()
	defer o.mu.Unlock()

	count := 0

	for _, e := range o.events {
		if e.Kind == kind {
			count++
		}
	}

	return count
}

// revisions returns the set of revisions of the events of a kind.
func (o *oracle) revisions(kind spar.EventKind) map[spar.Revision]bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	revisions := map[spar.Revision]bool{}

	for _, e := range o.events {
		if e.Kind == kind {
			revisions[e.Revision] = true
		}
	}

	return revisions
}

// fenced reports whether a takeover coordinator has fenced a node.
func (o *oracle) fenced(id spar.NodeID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return slices.ContainsFunc(o.events, func(e spar.Event) bool { return e.Kind == spar.EventFenced && e.Peer == id })
}

func (o *oracle) addViolation(format string, args ...any) {
	if len(o.violations) < 10 {
		o.violations = append(o.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (o *oracle) result() []string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.violations
}

// tail returns the latest 40 events for messages of failed tests.
func (o *oracle) tail() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	var b strings.Builder

	for _, e := range o.events[max(0, len(o.events)-40):] {
		at := time.UnixMilli(e.Timestamp.Wall).Format("05.000")
		fmt.Fprintf(&b, "%s %s %s %s %d %s\n", at, e.Kind, e.Node, e.Peer, e.Revision, e.Detail)
	}

	return b.String()
}
