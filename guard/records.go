package guard

import (
	"encoding/json"

	spar "sardinespar.example/spar"
)

// Records are the ledger's records, which go along when a slot moves.
type Records interface {
	// Export returns the records of a slot that admits nothing.
	Export(service string, slot spar.Slot) json.RawMessage
	// Import takes over the records with which this node starts to own the slot at epoch.
	Import(service string, slot spar.Slot, epoch spar.Epoch, data json.RawMessage) error
	// Drop forgets the records of a slot that has another owner.
	Drop(service string, slot spar.Slot)
}

// NoRecords stands for a ledger that keeps nothing.
type NoRecords struct{}

// Export returns null.
func (NoRecords) Export(string, spar.Slot) json.RawMessage {
	return json.RawMessage("null")
}

// Import keeps nothing.
func (NoRecords) Import(string, spar.Slot, spar.Epoch, json.RawMessage) error {
	return nil
}

// Drop does nothing.
func (NoRecords) Drop(string, spar.Slot) {}

// Staged is the records of a slot as sent by its owner before the map shows the move. Attempt grows
// with each message of that owner, so that a delayed message never replaces a newer one.
type Staged struct {
	Service string
	Slot    spar.Slot
	Epoch   spar.Epoch
	From    spar.NodeID
	Attempt int64
	Data    json.RawMessage
}

// Stage keeps records until the map shows that the slot has moved here at their epoch.
func (g *Gate) Stage(s Staged) {
	g.mu.Lock()
	defer g.mu.Unlock()

	key := slotKey{s.Service, s.Slot}
	if old, ok := g.staged[key]; ok &&
		(old.Epoch > s.Epoch || old.Epoch == s.Epoch && old.From == s.From && old.Attempt > s.Attempt) {
		return
	}

	g.prune()

	if g.imported[key] < s.Epoch {
		g.staged[key] = s
	}
}

// prune forgets the staged records of moves that did not come about.
func (g *Gate) prune() {
	v := g.replica.View()

	for key, s := range g.staged {
		service, ok := v.Service(key.service)
		if !ok {
			continue
		}

		a := v.Assignment(service, key.slot)
		if a.Epoch > s.Epoch || a.Epoch == s.Epoch && a.Owner != g.self() {
			delete(g.staged, key)
		}
	}
}

// Export returns the records of a slot that this node owns as assigned by a.
func (g *Gate) Export(service string, slot spar.Slot, a spar.Assignment) (json.RawMessage, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !g.ready(slotKey{service, slot}, a) {
		return nil, false
	}

	return g.records.Export(service, slot), true
}

// Drop forgets the records of a slot that has moved away.
func (g *Gate) Drop(service string, slot spar.Slot) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.imported, slotKey{service, slot})
	g.records.Drop(service, slot)
}

// ready reports whether the records of a slot owned here are in place. A slot whose base is its
// epoch was taken over without records; any other came by a planned move with them.
func (g *Gate) ready(key slotKey, a spar.Assignment) bool {
	if a.Base == a.Epoch || g.imported[key] == a.Epoch {
		return true
	}

	s, ok := g.staged[key]
	if !ok || s.Epoch != a.Epoch || g.records.Import(key.service, key.slot, a.Epoch, s.Data) != nil {
		return false
	}

	g.imported[key] = a.Epoch
	delete(g.staged, key)

	return true
}
