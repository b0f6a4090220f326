// Package server is a stand-in for a backend server that owns its keys exclusively.
package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	spar "sardinespar.example/spar"
)

const (
	// headerWork names the work time in milliseconds that a caller asks for.
	headerWork    = "Spar-Work-Ms"
	maxFaultBytes = 64 << 10
	maxBodyBytes  = 2 << 20
	// overload is the multiple of its slots at which the server sheds, and while it is cold the
	// multiple at which it fails.
	overload = 4
	// coldFactor slows work in the first moments after a cold start.
	coldFactor   = 5
	exitCrashed  = 3
	freezeMost   = 60 * time.Second
	chunkBytes   = 32 << 10
	runsKept     = 200_000
	coldDuration = 5 * time.Second
)

// Config is the fixed shape of a backend server.
type Config struct {
	Name         string
	Slots        int
	WorkMs       float64
	ChecksGrants bool
	// ChunkDelay is the pause between two chunks of a template download.
	ChunkDelay time.Duration
	// Records takes a JSON line when a run begins and one when it ends. It may be nil.
	Records io.Writer
}

// Fault is the set of faults in force.
type Fault struct {
	SlowFactor  float64 `json:"slow_factor"`
	FreezeMs    int     `json:"freeze_ms"`
	Cold        bool    `json:"cold"`
	Shed        bool    `json:"shed"`
	ReportLagMs int     `json:"report_lag_ms"`
	Mislead     bool    `json:"mislead"`
	// CrashMarker ends the process when a request's path contains it.
	CrashMarker string `json:"crash_marker"`
}

// Run is one run of a request.
type Run struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Token   string `json:"token"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Slot    string `json:"slot"`
	Epoch   int64  `json:"epoch"`
	StartMs int64  `json:"start_ms"`
	EndMs   int64  `json:"end_ms"`
	// InFlight is the number of requests in flight when this one began, Slots what the server bears.
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Cold     bool `json:"cold"`
}

// Server is the stand-in.
type Server struct {
	cfg   Config
	slots chan struct{}

	mu        sync.Mutex
	fault     Fault
	coldUntil time.Time
	frozen    time.Time
	inFlight  int
	epochs    map[string]int64
	runs      []Run
	reported  report
}

// report is the load that the server reports, which may lag.
type report struct {
	InFlight int       `json:"in_flight"`
	Slots    int       `json:"slots"`
	At       time.Time `json:"at"`
}

// New returns a backend server that starts cold.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots), epochs: map[string]int64{},
		coldUntil: time.Now().Add(coldDuration), fault: Fault{SlowFactor: 1},
	}
}

// ServeHTTP serves requests, reports and switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/fault":
		s.serveFault(w, r)
	case "/admin/runs":
		s.mu.Lock()
		defer s.mu.Unlock()

		_ = json.NewEncoder(w).Encode(s.runs)
	case "/health":
		s.waitFrozen()

		_, _ = w.Write([]byte("ok\n"))
	case "/load":
		_ = json.NewEncoder(w).Encode(s.load())
	default:
		s.serveWork(w, r)
	}
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	f := Fault{SlowFactor: 1}

	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(&f); err != nil || f.SlowFactor <= 0 {
		http.Error(w, "fault can't be read, or slow_factor is not above 0", http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.fault = f
	if f.Cold {
		s.coldUntil = time.Now().Add(coldDuration)
	}

	if f.FreezeMs > 0 {
		s.frozen = time.Now().Add(min(freezeMost, time.Duration(f.FreezeMs)*time.Millisecond))
	}

	w.WriteHeader(http.StatusNoContent)
}

// load returns the reported load: late by the lag, and half of the truth when it misleads.
func (s *Server) load() report {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	if now.Sub(s.reported.At) >= time.Duration(s.fault.ReportLagMs)*time.Millisecond {
		s.reported = report{InFlight: s.inFlight, Slots: s.cfg.Slots, At: now}
	}

	out := s.reported
	if s.fault.Mislead {
		out.InFlight /= 2
	}

	return out
}

func (s *Server) waitFrozen() {
	s.mu.Lock()
	until := s.frozen
	s.mu.Unlock()

	time.Sleep(time.Until(until))
}

// serveWork runs one request unless the server sheds it, its grant is stale or its time is over.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()

	s.waitFrozen()

	w.Header().Set(spar.HeaderRequest, r.Header.Get(spar.HeaderRequest))

	if ms, err := strconv.ParseInt(r.Header.Get(spar.HeaderDeadline), 10, 64); err == nil &&
		time.Since(arrived) >= time.Duration(ms)*time.Millisecond {
		refuse(w, http.StatusGatewayTimeout, "deadline is over")

		return
	}

	fault, cold, status := s.enter(r)
	if status != 0 {
		refuse(w, status, "not run")

		return
	}
	defer s.exit()

	if fault.CrashMarker != "" && strings.Contains(r.URL.Path, fault.CrashMarker) {
		crash()
	}

	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}

	run := s.begin(r)
	defer s.end(run)

	if !s.work(r, fault, cold) {
		panic(http.ErrAbortHandler)
	}

	s.answer(w, r)
}

// crash ends the process at once, as a request that the server can't bear does.
func crash() {
	os.Exit(exitCrashed)
}

func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(spar.HeaderOutcome, string(spar.OutcomeNotRun))
	http.Error(w, detail, status)
}

// enter counts the request in, or returns the status that refuses it.
func (s *Server) enter(r *http.Request) (Fault, bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	cold := time.Now().Before(s.coldUntil)

	if s.fault.Shed || s.inFlight >= overload*s.cfg.Slots {
		return s.fault, cold, http.StatusServiceUnavailable
	}

	if s.cfg.ChecksGrants && !s.checkEpoch(r) {
		return s.fault, cold, http.StatusConflict
	}

	s.inFlight++

	return s.fault, cold, 0
}

// checkEpoch refuses an epoch lower than the highest seen for the slot.
func (s *Server) checkEpoch(r *http.Request) bool {
	epoch, err := strconv.ParseInt(r.Header.Get(spar.HeaderEpoch), 10, 64)
	if err != nil {
		return true
	}

	slot := r.Header.Get(spar.HeaderSlot)
	if epoch < s.epochs[slot] {
		return false
	}

	s.epochs[slot] = epoch

	return true
}

func (s *Server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.inFlight--
}

func (s *Server) begin(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	epoch, _ := strconv.ParseInt(r.Header.Get(spar.HeaderEpoch), 10, 64)
	run := Run{
		Request: r.Header.Get(spar.HeaderRequest), Key: r.Header.Get(spar.HeaderKey),
		Token: r.Header.Get(spar.HeaderToken), Method: r.Method, Path: r.URL.Path,
		Slot: r.Header.Get(spar.HeaderSlot), Epoch: epoch, StartMs: time.Now().UnixMilli(),
		InFlight: s.inFlight, Slots: s.cfg.Slots, Cold: time.Now().Before(s.coldUntil),
	}

	if len(s.runs) >= runsKept {
		s.runs = s.runs[:0]
	}

	s.runs = append(s.runs, run)
	s.write(run)

	return len(s.runs) - 1
}

// write appends a run to the records. Each line is one system call, so that the records of a
// killed process hold every run that began.
func (s *Server) write(run Run) {
	if s.cfg.Records == nil {
		return
	}

	line, err := json.Marshal(run)
	if err != nil {
		panic("server: run can't be encoded: " + err.Error())
	}

	_, _ = s.cfg.Records.Write(append(line, '\n'))
}

func (s *Server) end(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if run < len(s.runs) {
		s.runs[run].EndMs = time.Now().UnixMilli()
		s.write(s.runs[run])
	}
}

// work takes the request's work time and reports false if the caller canceled.
func (s *Server) work(r *http.Request, f Fault, cold bool) bool {
	ms := s.cfg.WorkMs
	if asked, err := strconv.ParseFloat(r.Header.Get(headerWork), 64); err == nil && asked >= 0 {
		ms = asked
	}

	ms *= f.SlowFactor
	if cold {
		ms *= coldFactor
	}

	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// answer sends a template's bytes, or names the request that it answers.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/template/") {
		s.serveTemplate(w, r)

		return
	}

	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.URL.Path, s.cfg.Name)
}

// Service returns the service that the run's path names.
func (r Run) Service() string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")

	return name
}
