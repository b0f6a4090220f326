package guard

import (
	"encoding/json"

	spar "sardinespar.example/spar"
)

// Records is the part of the ledger that moves a slot's records together with the slot.
type Records interface {
	// Export returns the records of a held slot.
	Export(service string, slot spar.Slot) json.RawMessage
	// Import stores the records of a slot that this node owns from epoch on.
	Import(service string, slot spar.Slot, epoch spar.Epoch, data json.RawMessage) error
	// Drop deletes the records of a slot that another node owns.
	Drop(service string, slot spar.Slot)
}

// NoRecords implements Records without a ledger.
type NoRecords struct{}

// Export returns null.
func (NoRecords) Export(string, spar.Slot) json.RawMessage {
	return json.RawMessage("null")
}

// Import does nothing.
func (NoRecords) Import(string, spar.Slot, spar.Epoch, json.RawMessage) error {
	return nil
}

// Drop does nothing.
func (NoRecords) Drop(string, spar.Slot) {}

// StagedRecords holds the records of a slot that its owner has sent to this node before the slot map shows the move.
// Attempt increases with each message of that owner, so that a delayed message never replaces a newer one.
type StagedRecords struct {
	Service string
	Slot    spar.Slot
	Epoch   spar.Epoch
	From    spar.NodeID
	Attempt int64
	Data    json.RawMessage
}

// Stage keeps records until the slot map shows that the slot has moved to this node at their epoch.
func (g *Gate) Stage(s StagedRecords) {
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

// prune deletes the staged records of moves that were not completed.
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

// Export returns the records of a slot that this node owns under assignment a. It returns false if the records are
// not in place yet.
func (g *Gate) Export(service string, slot spar.Slot, a spar.Assignment) (json.RawMessage, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !g.recordsReady(slotKey{service, slot}, a) {
		return nil, false
	}

	return g.records.Export(service, slot), true
}

// Drop deletes the records of a slot that has moved to another node.
func (g *Gate) Drop(service string, slot spar.Slot) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.imported, slotKey{service, slot})
	g.records.Drop(service, slot)
}

// recordsReady reports whether the records of a slot that this node owns are in place, and imports them if they are
// staged. A slot whose base epoch equals its epoch was taken over without records. The records of any other slot
// were sent here in a planned move.
func (g *Gate) recordsReady(key slotKey, a spar.Assignment) bool {
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
