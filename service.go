package spar

import "github.com/cespare/xxhash/v2"

// Mode determines which upstreams of a service may serve a request.
type Mode string

// Service modes.
const (
	// ModeKeyed sends a request to the owner of the slot that its key hashes to.
	ModeKeyed Mode = "keyed"
	// ModeAny sends a request to any upstream.
	ModeAny Mode = "any"
)

// Service describes a service. It never changes once it is in the table.
type Service struct {
	Name  string `json:"name"`
	Mode  Mode   `json:"mode"`
	Slots int    `json:"slots"`
}

// Slot is the number of a slot within its service.
type Slot int

// Epoch counts the successive owners of a slot.
type Epoch int64

// SlotOf returns the slot that key hashes to.
func (s Service) SlotOf(key string) Slot {
	return Slot(xxhash.Sum64String(key) % uint64(s.Slots))
}
