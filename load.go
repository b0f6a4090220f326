package spar

import "fmt"

// Load is a snapshot of the counters of the admission queue in front of one backend server. It is exact,
// unlike the load that backend servers report about themselves.
type Load struct {
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
}

// String returns l as a value of the header Spar-Load: IN-FLIGHT/LIMIT/QUEUED.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d", l.InFlight, l.Limit, l.Queued)
}

// ParseLoad parses a value of the header Spar-Load. It reports false if the value is malformed or holds a
// negative number.
func ParseLoad(text string) (Load, bool) {
	var l Load

	_, err := fmt.Sscanf(text, "%d/%d/%d", &l.InFlight, &l.Limit, &l.Queued)

	return l, err == nil && l.InFlight >= 0 && l.Limit >= 0 && l.Queued >= 0
}
