package spar

import "github.com/cespare/xxhash/v2"

// Mode tells which upstreams of a service may serve a request.
type Mode string

// The modes of a service.
const (
	ModeKeyed Mode = "keyed"
	ModeAny   Mode = "any"
)

// Service is the fixed shape of a service. It never changes once it is in the table.
type Service struct {
	Name  string `json:"name"`
	Mode  Mode   `json:"mode"`
	Slots int    `json:"slots"`
}

// Slot is the number of a slot within its service.
type Slot int

// Epoch counts the owners of a slot.
type Epoch int64

// SlotOf returns the slot that key hashes to.
func (s Service) SlotOf(key string) Slot {
	return Slot(xxhash.Sum64String(key) % uint64(s.Slots))
}
