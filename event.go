package spar

// Timestamp is a timestamp of a hybrid logical clock: wall-clock milliseconds and a counter that orders events
// within one millisecond.
type Timestamp struct {
	Wall    int64  `json:"wall_ms"`
	Counter uint32 `json:"counter"`
}

// Less reports whether s is before o.
func (t Timestamp) Less(o Timestamp) bool {
	if t.Wall != o.Wall {
		return t.Wall < o.Wall
	}

	return t.Counter < o.Counter
}

// EventKind is the type of an event.
type EventKind string

// The kinds of events.
const (
	EventStarted     EventKind = "started"
	EventRegistered  EventKind = "registered"
	EventAnnounced   EventKind = "announced"
	EventLeaseHeld   EventKind = "lease_held"
	EventLeaseLost   EventKind = "lease_lost"
	EventSuspected   EventKind = "suspected"
	EventFenced      EventKind = "fenced"
	EventTakeover    EventKind = "takeover"
	EventAssigned    EventKind = "assigned"
	EventMoveBegun   EventKind = "move_begun"
	EventMoved       EventKind = "moved"
	EventMoveFailed  EventKind = "move_failed"
	EventWitnesses   EventKind = "witnesses"
	EventLeaving     EventKind = "leaving"
	EventStopped     EventKind = "stopped"
	EventPreset      EventKind = "preset"
	EventZone        EventKind = "zone"
	EventServer      EventKind = "server"
	EventEjected     EventKind = "ejected"
	EventReturned    EventKind = "returned"
	EventLimit       EventKind = "limit"
	EventShed        EventKind = "shed"
	EventQuarantined EventKind = "quarantined"
	EventStoreDown   EventKind = "store_down"
	EventStoreUp     EventKind = "store_up"
	EventResumed     EventKind = "resumed"
)

// Event is one entry of the time line of events.
type Event struct {
	Timestamp Timestamp `json:"stamp"`
	Node      NodeID    `json:"node"`
	Kind      EventKind `json:"kind"`
	Service   string    `json:"service,omitempty"`
	Slot      *Slot     `json:"slot,omitempty"`
	Epoch     Epoch     `json:"epoch,omitempty"`
	Revision  Revision  `json:"revision,omitempty"`
	Peer      NodeID    `json:"peer,omitempty"`
	Request   string    `json:"request,omitempty"`
	Detail    string    `json:"detail,omitempty"`
}

// WithSlot returns a copy of e that refers to a slot of a service at an epoch.
func (e Event) WithSlot(service string, s Slot, epoch Epoch) Event {
	e.Service, e.Slot, e.Epoch = service, &s, epoch

	return e
}

// Recorder records events in the time line. It fills in the timestamp and the node.
type Recorder interface {
	Record(e Event)
}
