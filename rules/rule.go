// Package rules holds the routing rules in force: which service serves a request, and on what terms.
package rules

import spar "sardinespar.example/spar"

// Kind says what may be repeated.
type Kind string

// The kinds of requests.
const (
	Safe     Kind = "safe"
	Unsafe   Kind = "unsafe"
	Download Kind = "download"
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool {
	return k != Unsafe
}

// Known reports whether k is one of the kinds.
func (k Kind) Known() bool {
	return k == Safe || k == Unsafe || k == Download
}

// Part is one destination of a rule with its share of the requests.
type Part struct {
	Service string
	Weight  int
}

// Rule routes the requests of one host under one path prefix.
type Rule struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Parts     []Part
	Timeout   spar.Millis
	Objective spar.Millis
	// Attempts is the largest number of backend servers that one caller's attempt may reach.
	Attempts int
	// Priority is the rank of a request; 0 is the highest.
	Priority int
}

// Part returns the service for a request with hash h, which spreads over the parts by weight.
func (r Rule) Part(h uint64) string {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}

	if total <= 0 {
		return r.Parts[0].Service
	}

	at := int(h % uint64(total))
	for _, p := range r.Parts {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}

	return r.Parts[len(r.Parts)-1].Service
}

// Service describes one service of backend servers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdPerSecond is the number of requests a second that a cold backend server bears.
	ColdPerSecond float64
	// Keyed says that each backend server runs only requests on keys that it holds.
	Keyed bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout spar.Millis
	IdleTimeout   spar.Millis
}
