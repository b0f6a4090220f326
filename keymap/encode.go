package keymap

import (
	"encoding/json"
	"fmt"

	spar "sardinespar.example/spar"
)

// encoded is the stored and transmitted form of a map. It lists each owner once and ranges as short arrays,
// since a row of the table holds at most 64 KiB.
type encoded struct {
	Last   int64          `json:"last"`
	Owners []encodedOwner `json:"owners"`
	Ranges []encodedRange `json:"ranges"`
	Era    int64          `json:"era,omitempty"`
	Base   int64          `json:"base,omitempty"`
	Known  spar.Revision  `json:"known,omitempty"`
}

type encodedOwner struct {
	Node        string           `json:"node"`
	Incarnation spar.Incarnation `json:"life"`
}

// encodedRange is encoded as an array of first key, last key, epoch, index of the owner and handover text.
type encodedRange struct {
	Span

	epoch    int64
	owner    int
	handover string
}

// MarshalJSON implements json.Marshaler.
func (r encodedRange) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.From, r.To, r.epoch, r.owner, r.handover})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *encodedRange) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&r.From, &r.To, &r.epoch, &r.owner, &r.handover})
}

// MarshalJSON implements json.Marshaler.
func (m Map) MarshalJSON() ([]byte, error) {
	e := encoded{
		Last: m.LastEpoch, Owners: []encodedOwner{}, Ranges: make([]encodedRange, 0, len(m.Ranges)),
		Era: m.Era, Base: m.Base, Known: m.Known,
	}
	index := map[encodedOwner]int{}

	for _, r := range m.Ranges {
		o := encodedOwner{Node: r.Node, Incarnation: r.Incarnation}

		i, ok := index[o]
		if !ok {
			i = len(e.Owners)
			index[o] = i
			e.Owners = append(e.Owners, o)
		}

		e.Ranges = append(e.Ranges, encodedRange{Span: r.Span, epoch: r.Epoch, owner: i, handover: r.Handover})
	}

	return json.Marshal(e)
}

// UnmarshalJSON implements json.Unmarshaler. It checks that the ranges are in order and have owners.
func (m *Map) UnmarshalJSON(data []byte) error {
	var e encoded
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}

	next := Map{LastEpoch: e.Last, Era: e.Era, Base: e.Base, Known: e.Known}
	free := 0

	for _, r := range e.Ranges {
		if r.From < free || r.To < r.From || r.To >= Keys || r.owner < 0 || r.owner >= len(e.Owners) {
			return fmt.Errorf("range %d to %d is out of order or has no owner", r.From, r.To)
		}

		free = r.To + 1
		o := e.Owners[r.owner]
		next.Ranges = append(next.Ranges, Range{
			Span: r.Span, Epoch: r.epoch, Node: o.Node, Incarnation: o.Incarnation, Handover: r.handover,
		})
	}

	*m = next

	return nil
}
