// Package store implements an in-memory table service and object store with fault injection, as a
// stand-in for the services of the platform.
package store

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sardinespar.example/spar/table"
)

const (
	maxObjectBytes = 64 << 20
	maxFaultBytes  = 64 << 10
)

// Fault is the set of faults to inject.
type Fault struct {
	// Outage closes the connection of every call without an answer.
	Outage bool `json:"outage"`
	// DelayMs delays every call by this number of milliseconds.
	DelayMs int `json:"delay_ms"`
	// LostReplyRate is the share of commits that take effect but whose reply is dropped.
	LostReplyRate float64 `json:"lose_replies"`
	// WriteRate and ReadRate limit the calls per second; 0 means no limit.
	WriteRate float64 `json:"write_rate"`
	ReadRate  float64 `json:"read_rate"`
}

// Stats counts the calls since the start of the process.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
	Dropped int64 `json:"dropped"`
}

// Store serves the table service, the object store and the admin endpoints over HTTP.
type Store struct {
	table http.Handler

	mu      sync.Mutex
	fault   Fault
	stats   Stats
	reads   *rate.Limiter
	writes  *rate.Limiter
	objects map[string][]byte
}

// New returns an empty store without faults.
func New() *Store {
	s := &Store{table: table.Handler(table.NewMemory()), objects: map[string][]byte{}}
	s.SetFault(Fault{})

	return s
}

// SetFault replaces the faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.fault = f
	s.reads = newLimiter(f.ReadRate)
	s.writes = newLimiter(f.WriteRate)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// ServeHTTP serves the table, the objects and the admin endpoints.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/fault":
		s.serveFault(w, r)

		return
	case "/admin/stats":
		s.mu.Lock()
		stats := s.stats
		s.mu.Unlock()

		_ = json.NewEncoder(w).Encode(stats)

		return
	}

	fault, admitted := s.admit(r)
	if fault.Outage {
		panic(http.ErrAbortHandler)
	}

	time.Sleep(time.Duration(fault.DelayMs) * time.Millisecond)

	if !admitted {
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)

		return
	}

	if strings.HasPrefix(r.URL.Path, "/object/") {
		s.serveObject(w, r)

		return
	}

	if r.Method == http.MethodPost && rand.Float64() < fault.LostReplyRate {
		s.table.ServeHTTP(discardResponse{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}

	s.table.ServeHTTP(w, r)
}

// admit counts a call and returns the faults, and whether the call is within the rate limit.
func (s *Store) admit(r *http.Request) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.fault.Outage {
		s.stats.Dropped++

		return s.fault, false
	}

	count, limit := &s.stats.Reads, s.reads
	if r.Method != http.MethodGet {
		count, limit = &s.stats.Writes, s.writes
	}

	if !limit.Allow() {
		s.stats.Refused++

		return s.fault, false
	}

	*count++

	return s.fault, true
}

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault

	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(&f); err != nil {
		http.Error(w, "fault can't be read: "+err.Error(), http.StatusBadRequest)

		return
	}

	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/object/")

	switch r.Method {
	case http.MethodGet:
		s.mu.Lock()
		data, ok := s.objects[name]
		s.mu.Unlock()

		if !ok {
			http.NotFound(w, r)

			return
		}

		_, _ = w.Write(data)
	case http.MethodPut:
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, "object can't be read: "+err.Error(), http.StatusBadRequest)

			return
		}

		s.mu.Lock()
		s.objects[name] = data
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		s.mu.Lock()
		delete(s.objects, name)
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// discardResponse is a response writer that discards the response.
type discardResponse struct {
	header http.Header
}

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}
