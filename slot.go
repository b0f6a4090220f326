package spar

import "slices"

// SegmentSize is the number of slots in one row of the table.
const SegmentSize = 256

// Assignment states the owner of a slot.
type Assignment struct {
	Owner NodeID `json:"owner,omitempty"`
	Epoch Epoch  `json:"epoch"`
	// Base is the base epoch: since then, each owner has handed its ledger records over to the next one.
	Base Epoch `json:"base"`
}

// Owned reports whether the slot has an owner.
func (a Assignment) Owned() bool {
	return a.Owner != ""
}

// WithMove returns the assignment after a planned move to id, which keeps the base epoch since the ledger records
// are handed over.
func (a Assignment) WithMove(id NodeID) Assignment {
	return Assignment{Owner: id, Epoch: a.Epoch + 1, Base: a.Base}
}

// WithTakeover returns the assignment after a takeover by id, which starts a new base epoch since the ledger records
// of the previous owner are lost.
func (a Assignment) WithTakeover(id NodeID) Assignment {
	return Assignment{Owner: id, Epoch: a.Epoch + 1, Base: a.Epoch + 1}
}

// Segment holds the assignments of up to SegmentSize consecutive slots of a service.
type Segment struct {
	Service string       `json:"service"`
	Index   int          `json:"index"`
	Slots   []Assignment `json:"slots"`
}

// NewSegment returns a segment of s whose slots have no owners yet.
func NewSegment(s Service, index int) Segment {
	n := min(SegmentSize, s.Slots-index*SegmentSize)

	return Segment{Service: s.Name, Index: index, Slots: make([]Assignment, n)}
}

// SegmentCount returns the number of segments of s.
func (s Service) SegmentCount() int {
	return (s.Slots + SegmentSize - 1) / SegmentSize
}

// FirstSlot returns the number of the first slot of g.
func (g Segment) FirstSlot() Slot {
	return Slot(g.Index * SegmentSize)
}

// At returns the assignment of slot s, which must be in g.
func (g Segment) At(s Slot) Assignment {
	return g.Slots[s-g.FirstSlot()]
}

// WithAssignment returns a copy of g in which slot s has the assignment a.
func (g Segment) WithAssignment(s Slot, a Assignment) Segment {
	g.Slots = slices.Clone(g.Slots)
	g.Slots[s-g.FirstSlot()] = a

	return g
}
