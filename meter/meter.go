// Package meter publishes one agent's metrics through expvar under the names of its catalog.
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

// Set is the metrics of one agent. Several agents may run in one process, so a set is not
// published in the process's registry.
type Set struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{vars: map[string]expvar.Var{}}
}

// Func publishes what f returns at each reading.
func (s *Set) Func(name string, f func() any) {
	s.publish(name, expvar.Func(f))
}

// Count publishes a new counter.
func (s *Set) Count(name string) *expvar.Int {
	v := new(expvar.Int)
	s.publish(name, v)

	return v
}

// Labeled publishes new counters by label.
func (s *Set) Labeled(name string) *Counters {
	c := &Counters{counts: map[string]int64{}}
	s.publish(name, expvar.Func(func() any { return c.All() }))

	return c
}

func (s *Set) publish(name string, v expvar.Var) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if _, taken := s.vars[name]; taken || !namePattern.MatchString(name) || !cataloged(name) {
		panic("meter: metric is published twice, badly named or not in the catalog: " + name)
	}

	s.vars[name] = v
}

// Values returns all metrics in their JSON form.
func (s *Set) Values() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()

	values := make(map[string]json.RawMessage, len(s.vars))
	for name, v := range s.vars {
		values[name] = json.RawMessage(v.String())
	}

	return values
}

// ServeHTTP writes the set's metrics and those of the process's registry as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	values := s.Values()

	expvar.Do(func(kv expvar.KeyValue) { values[kv.Key] = json.RawMessage(kv.Value.String()) })

	w.Header().Set("Content-Type", "application/json; charset=utf-8")

	if err := json.NewEncoder(w).Encode(values); err != nil {
		http.Error(w, fmt.Sprintf("metrics can't be encoded: %v", err), http.StatusInternalServerError)
	}
}

// Counters counts by label.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Add adds one to a label's count.
func (c *Counters) Add(label string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.counts[label]++
}

// All returns a copy of the counts.
func (c *Counters) All() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	all := make(map[string]int64, len(c.counts))
	for label, n := range c.counts {
		all[label] = n
	}

	return all
}
