// Package rules defines routing rules, which select the service for a request and the timeout, objective,
// priority and number of attempts that apply to it.
package rules

import spar "sardinespar.example/spar"

// Kind is the kind of a request. It decides whether the request may be retried.
type Kind string

// The kinds of requests.
const (
	Safe     Kind = "safe"
	Unsafe   Kind = "unsafe"
	Download Kind = "download"
)

// Repeatable reports whether requests of kind k may run more than once.
func (k Kind) Repeatable() bool {
	return k != Unsafe
}

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool {
	return k == Safe || k == Unsafe || k == Download
}

// Destination is one destination of a rule. Its share of the requests is its weight divided by the sum of weights.
type Destination struct {
	Service string
	Weight  int
}

// Rule routes the requests for one host and path prefix.
type Rule struct {
	Name         string
	Host         string
	Prefix       string
	Kind         Kind
	Destinations []Destination
	Timeout      spar.Millis
	Objective    spar.Millis
	// Attempts is the maximum number of backend servers that one request of a caller may reach.
	Attempts int
	// Priority is the priority of a request; 0 is the highest.
	Priority int
	// Public reports whether requests need no API key if the rules contain tenants.
	Public bool
}

// Destination returns the service for a request with the hash h. Evenly distributed hashes spread over the destinations
// by weight.
func (r Rule) Destination(h uint64) string {
	total := 0
	for _, d := range r.Destinations {
		total += d.Weight
	}

	if total <= 0 {
		return r.Destinations[0].Service
	}

	at := int(h % uint64(total))
	for _, d := range r.Destinations {
		if at -= d.Weight; at < 0 {
			return d.Service
		}
	}

	return r.Destinations[len(r.Destinations)-1].Service
}

// Service describes a service, which is a group of backend servers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdPerSecond is the number of requests per second that a cold backend server can handle.
	ColdPerSecond float64
	// Keyed reports whether each backend server runs only requests for keys that it holds.
	Keyed bool
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout spar.Millis
	IdleTimeout   spar.Millis
}
