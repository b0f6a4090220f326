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

// history is a table that keeps every applied transaction.
type history struct {
	spar.Table

	mu      sync.Mutex
	commits map[spar.Revision]spar.Txn
}

func (h *history) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	c := h.Table.Commit(ctx, txn)

	h.mu.Lock()
	defer h.mu.Unlock()

	if c.Verdict == spar.Applied {
		h.commits[c.Revision] = txn
	}

	return c
}

func (h *history) at(r spar.Revision) spar.Txn {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.commits[r]
}

// oracle watches a cluster in the time of the bubble, which no node can read. It demands that
// never two nodes would admit for one slot, that no node ever sees a slot's epoch go back, that an
// epoch of a slot has one owner for all, and that what was acknowledged is in the table.
type oracle struct {
	cluster *cluster
	history *history

	mu         sync.Mutex
	starts     map[int]int
	violations []string
	events     []spar.Event
	owners     map[epochKey]spar.NodeID
	views      map[*node]*fleet.View
	mine       map[*node]ownedBy
}

type epochKey struct {
	slot  int
	epoch spar.Epoch
}

// ownedBy caches the slots that a view gives to an id.
type ownedBy struct {
	view  *fleet.View
	id    spar.NodeID
	slots []int
}

func newOracle(c *cluster, h *history) *oracle {
	return &oracle{
		cluster: c, history: h, starts: map[int]int{}, owners: map[epochKey]spar.NodeID{},
		views: map[*node]*fleet.View{}, mine: map[*node]ownedBy{},
	}
}

// incarnation returns a new one for the node at an index.
func (o *oracle) incarnation(i int) string {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.starts[i]++

	return strconv.Itoa(o.starts[i])
}

// loop looks each millisecond; what an overlap must reach to be found is far longer.
func (o *oracle) loop(ctx context.Context) {
	for ctx.Err() == nil {
		o.unheld()
		time.Sleep(time.Millisecond)
	}
}

// unheld checks this instant and returns the number of slots for which no node would admit.
func (o *oracle) unheld() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	holders := map[int]int{}

	for i, n := range o.cluster.nodes {
		if n == nil {
			continue
		}

		o.view(i, n)

		if n.vm.Peek() >= n.reg.Until() {
			continue
		}

		for _, slot := range o.owned(n) {
			if j, taken := holders[slot]; taken {
				o.violate("slot %d is held by nodes %d and %d", slot, j, i)
			}

			holders[slot] = i
		}
	}

	return shape.Slots - len(holders)
}

// owned returns the slots for which a node with a lease would admit.
func (o *oracle) owned(n *node) []int {
	v, id := n.replica.View(), n.reg.ID()
	if last := o.mine[n]; last.view != v || last.id != id {
		o.mine[n] = ownedBy{view: v, id: id, slots: owned(v, id)}
	}

	return o.mine[n].slots
}

func owned(v *fleet.View, id spar.NodeID) []int {
	var slots []int

	for i := range shape.Slots {
		if id != "" && v.Assignment(shape, spar.Slot(i)).Owner == id {
			slots = append(slots, i)
		}
	}

	return slots
}

// view checks the assignments that a node sees.
func (o *oracle) view(i int, n *node) {
	v, before := n.replica.View(), o.views[n]
	if v == before {
		return
	}

	o.views[n] = v

	for slot := range shape.Slots {
		a := v.Assignment(shape, spar.Slot(slot))
		key := epochKey{slot, a.Epoch}

		if owner, ok := o.owners[key]; ok && owner != a.Owner {
			o.violate("slot %d has owners %s and %s at epoch %d", slot, owner, a.Owner, a.Epoch)
		}

		o.owners[key] = a.Owner

		if before != nil && a.Epoch < before.Assignment(shape, spar.Slot(slot)).Epoch {
			o.violate("slot %d goes back to epoch %d at node %d", slot, a.Epoch, i)
		}
	}
}

// Record takes an event of any node. What it acknowledges must be in the table.
func (o *oracle) Record(e spar.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()

	e.Stamp.Wall = time.Now().UnixMilli()
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

	o.violate("%s of %s at revision %d is not in the table", e.Kind, e.Peer, e.Revision)
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

// revisions returns the different revisions of the events of a kind.
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

// fenced reports whether a takeover of a node has fenced it.
func (o *oracle) fenced(id spar.NodeID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return slices.ContainsFunc(o.events, func(e spar.Event) bool { return e.Kind == spar.EventFenced && e.Peer == id })
}

func (o *oracle) violate(format string, args ...any) {
	if len(o.violations) < 10 {
		o.violations = append(o.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (o *oracle) found() []string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.violations
}

// tail returns the newest events for the message of a failed test.
func (o *oracle) tail() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	var b strings.Builder

	for _, e := range o.events[max(0, len(o.events)-40):] {
		at := time.UnixMilli(e.Stamp.Wall).Format("05.000")
		fmt.Fprintf(&b, "%s %s %s %s %d %s\n", at, e.Kind, e.Node, e.Peer, e.Revision, e.Detail)
	}

	return b.String()
}
