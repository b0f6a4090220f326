package spar

import "fmt"

// Load is what the admission beside one backend server counts at one moment. It is exact, unlike
// the load that backend servers report about themselves.
type Load struct {
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
}

// String returns the value of the header Spar-Load: in flight, limit and queued.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d", l.InFlight, l.Limit, l.Queued)
}

// ParseLoad reads a value of the header Spar-Load.
func ParseLoad(text string) (Load, bool) {
	var l Load

	_, err := fmt.Sscanf(text, "%d/%d/%d", &l.InFlight, &l.Limit, &l.Queued)

	return l, err == nil && l.InFlight >= 0 && l.Limit >= 0 && l.Queued >= 0
}
