// Package meter publishes the metrics of one agent through expvar, and holds the catalog of metrics and events.
package meter

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"regexp"
	"sync"
)

var namePattern = regexp.MustCompile(`^spar_[a-z]+(_[a-z]+)+_(count|ms|bytes|revision|generation)$`)

// Set holds the metrics of one agent. It is separate from the process's expvar registry, because
// several agents may run in one process.
type Set struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{vars: map[string]expvar.Var{}}
}

// Func publishes a metric whose value is the result of f at each read.
func (s *Set) Func(name string, f func() any) {
	s.publish(name, expvar.Func(f))
}

// NewCounter publishes and returns a new counter.
func (s *Set) NewCounter(name string) *expvar.Int {
	v := new(expvar.Int)
	s.publish(name, v)

	return v
}

// NewLabeledCounters publishes and returns a new set of counters by label.
func (s *Set) NewLabeledCounters(name string) *Counters {
	c := &Counters{counts: map[string]int64{}}
	s.publish(name, expvar.Func(func() any { return c.All() }))

	return c
}

// publish adds a variable to the set. It panics if the name is invalid, not in the catalog or already
// published, which can only be a programming error because names are constants.
func (s *Set) publish(name string, v expvar.Var) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if _, exists := s.vars[name]; exists || !namePattern.MatchString(name) || !cataloged(name) {
		panic("meter: metric is published twice, badly named or not in the catalog: " + name)
	}

	s.vars[name] = v
}

// Values returns the JSON encoding of each metric.
func (s *Set) Values() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()

	values := make(map[string]json.RawMessage, len(s.vars))
	for name, v := range s.vars {
		values[name] = json.RawMessage(v.String())
	}

	return values
}

// ServeHTTP writes the set's metrics and those of the process's expvar registry as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	values := s.Values()

	expvar.Do(func(kv expvar.KeyValue) { values[kv.Key] = json.RawMessage(kv.Value.String()) })

	w.Header().Set("Content-Type", "application/json; charset=utf-8")

	if err := json.NewEncoder(w).Encode(values); err != nil {
		http.Error(w, fmt.Sprintf("metrics can't be encoded: %v", err), http.StatusInternalServerError)
	}
}

// Counters is a set of counters by label.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Add increments the counter of a label.
func (c *Counters) Add(label string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.counts[label]++
}

// All returns a copy of all counters by label.
func (c *Counters) All() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	all := make(map[string]int64, len(c.counts))
	for label, n := range c.counts {
		all[label] = n
	}

	return all
}
