package spar

import (
	"encoding/json"
	"fmt"
	"slices"
)

// segmentRow is the encoded form of a segment. It holds each owner's id once, and slots refer to it by index,
// which takes a sixth of the bytes of repeated ids. This matters since each change of a segment is sent to all
// nodes.
type segmentRow struct {
	Service string   `json:"service"`
	Index   int      `json:"index"`
	Owners  []NodeID `json:"owners"`
	// Slots holds three numbers for each slot: the owner's index in Owners (-1 for no owner), the epoch and
	// the base epoch.
	Slots [][3]int64 `json:"slots"`
}

// MarshalJSON encodes g as a row of the table.
func (g Segment) MarshalJSON() ([]byte, error) {
	row := segmentRow{Service: g.Service, Index: g.Index, Owners: []NodeID{}, Slots: make([][3]int64, len(g.Slots))}
	indices := map[NodeID]int64{"": -1}

	for i, a := range g.Slots {
		index, known := indices[a.Owner]
		if !known {
			index = int64(len(row.Owners))
			indices[a.Owner] = index
			row.Owners = append(row.Owners, a.Owner)
		}

		row.Slots[i] = [3]int64{index, int64(a.Epoch), int64(a.Base)}
	}

	return json.Marshal(row)
}

// UnmarshalJSON decodes a row of the table.
func (g *Segment) UnmarshalJSON(data []byte) error {
	var row segmentRow
	if err := json.Unmarshal(data, &row); err != nil {
		return fmt.Errorf("decode segment: %w", err)
	}

	if len(row.Slots) > SegmentSize {
		return fmt.Errorf("decode segment: %d slots, maximum is %d", len(row.Slots), SegmentSize)
	}

	slots := make([]Assignment, len(row.Slots))

	for i, s := range row.Slots {
		if s[0] < -1 || s[0] >= int64(len(row.Owners)) {
			return fmt.Errorf("decode segment: slot %d refers to owner %d, which does not exist", i, s[0])
		}

		slots[i] = Assignment{Epoch: Epoch(s[1]), Base: Epoch(s[2])}
		if s[0] >= 0 {
			slots[i].Owner = row.Owners[s[0]]
		}
	}

	g.Service, g.Index, g.Slots = row.Service, row.Index, slices.Clip(slots)

	return nil
}
