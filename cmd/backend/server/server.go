// Package server implements a stand-in for a backend server that relies on being the only owner of its
// keys. Its faults, its load and its runs of requests are available over HTTP.
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
	// headerWork is a request header with the processing time in milliseconds that the caller wants.
	headerWork    = "Spar-Work-Ms"
	maxFaultBytes = 64 << 10
	maxBodyBytes  = 2 << 20
	// overloadFactor times the number of slots is the number of requests in flight at which the server
	// sheds further ones.
	overloadFactor = 4
	// coldFactor multiplies the processing time during coldDuration after a cold start.
	coldFactor  = 5
	crashStatus = 3
	maxFreeze   = 60 * time.Second
	chunkBytes  = 32 << 10
	// maxRuns bounds the runs kept in memory. When it is reached, the kept runs are discarded.
	maxRuns      = 200_000
	coldDuration = 5 * time.Second
)

// Config configures a backend server.
type Config struct {
	Name         string
	Slots        int
	WorkMs       float64
	ChecksGrants bool
	// ChunkDelay is the delay before each chunk of a template download.
	ChunkDelay time.Duration
	// RunLog receives a JSON line when a run begins and another when it ends. It may be nil.
	RunLog io.Writer
}

// Fault is the set of faults to inject.
type Fault struct {
	SlowFactor  float64 `json:"slow_factor"`
	FreezeMs    int     `json:"freeze_ms"`
	Cold        bool    `json:"cold"`
	Shed        bool    `json:"shed"`
	ReportLagMs int     `json:"report_lag_ms"`
	// HalveLoad makes the server report only half of its requests in flight.
	HalveLoad bool `json:"mislead"`
	// CrashMarker makes the process crash on a request whose path contains it, unless it is empty.
	CrashMarker string `json:"crash_marker"`
}

// Run is one execution of a request.
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
	// InFlight is the number of requests in flight when this one began. Slots is the number of requests
	// that the server can run at once.
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Cold     bool `json:"cold"`
}

// Server is a backend server that simulates work.
type Server struct {
	cfg   Config
	slots chan struct{}

	mu          sync.Mutex
	fault       Fault
	coldUntil   time.Time
	frozenUntil time.Time
	inFlight    int
	epochs      map[string]int64
	runs        []Run
	lastReport  loadReport
}

// loadReport is the load that the server reports, which may be out of date.
type loadReport struct {
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

// ServeHTTP serves requests, health checks, load reports and the admin endpoints.
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
		_ = json.NewEncoder(w).Encode(s.reportLoad())
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
		s.frozenUntil = time.Now().Add(min(maxFreeze, time.Duration(f.FreezeMs)*time.Millisecond))
	}

	w.WriteHeader(http.StatusNoContent)
}

// reportLoad returns the load to report. It is up to ReportLagMs old, and with HalveLoad only half of the
// requests in flight.
func (s *Server) reportLoad() loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	if now.Sub(s.lastReport.At) >= time.Duration(s.fault.ReportLagMs)*time.Millisecond {
		s.lastReport = loadReport{InFlight: s.inFlight, Slots: s.cfg.Slots, At: now}
	}

	load := s.lastReport
	if s.fault.HalveLoad {
		load.InFlight /= 2
	}

	return load
}

func (s *Server) waitFrozen() {
	s.mu.Lock()
	until := s.frozenUntil
	s.mu.Unlock()

	time.Sleep(time.Until(until))
}

// serveWork runs one request, unless the server sheds it, its epoch is stale or its deadline has passed.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()

	s.waitFrozen()

	w.Header().Set(spar.HeaderRequest, r.Header.Get(spar.HeaderRequest))

	if ms, err := strconv.ParseInt(r.Header.Get(spar.HeaderDeadline), 10, 64); err == nil &&
		time.Since(arrived) >= time.Duration(ms)*time.Millisecond {
		refuse(w, http.StatusGatewayTimeout, "deadline is over")

		return
	}

	fault, cold, status := s.admit(r)
	if status != 0 {
		refuse(w, status, "not run")

		return
	}
	defer s.release()

	if fault.CrashMarker != "" && strings.Contains(r.URL.Path, fault.CrashMarker) {
		crash()
	}

	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}

	run := s.beginRun(r)
	defer s.endRun(run)

	if !s.work(r, fault, cold) {
		panic(http.ErrAbortHandler)
	}

	s.respond(w, r)
}

// crash ends the process at once, to simulate a request that crashes the server.
func crash() {
	os.Exit(crashStatus)
}

func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(spar.HeaderOutcome, string(spar.OutcomeNotRun))
	http.Error(w, detail, status)
}

// admit counts the request as in flight and returns the status 0, or returns the HTTP status with which to
// refuse it. It also returns the faults and whether the server is cold.
func (s *Server) admit(r *http.Request) (Fault, bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	cold := time.Now().Before(s.coldUntil)

	if s.fault.Shed || s.inFlight >= overloadFactor*s.cfg.Slots {
		return s.fault, cold, http.StatusServiceUnavailable
	}

	if s.cfg.ChecksGrants && !s.checkEpoch(r) {
		return s.fault, cold, http.StatusConflict
	}

	s.inFlight++

	return s.fault, cold, 0
}

// checkEpoch reports false if the request's epoch is lower than the highest one seen for its slot.
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

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.inFlight--
}

func (s *Server) beginRun(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	epoch, _ := strconv.ParseInt(r.Header.Get(spar.HeaderEpoch), 10, 64)
	run := Run{
		Request: r.Header.Get(spar.HeaderRequest), Key: r.Header.Get(spar.HeaderKey),
		Token: r.Header.Get(spar.HeaderToken), Method: r.Method, Path: r.URL.Path,
		Slot: r.Header.Get(spar.HeaderSlot), Epoch: epoch, StartMs: time.Now().UnixMilli(),
		InFlight: s.inFlight, Slots: s.cfg.Slots, Cold: time.Now().Before(s.coldUntil),
	}

	if len(s.runs) >= maxRuns {
		s.runs = s.runs[:0]
	}

	s.runs = append(s.runs, run)
	s.logRun(run)

	return len(s.runs) - 1
}

// logRun appends a run to the run log. It writes each line with one system call, so that the log of a
// killed process contains every run that began.
func (s *Server) logRun(run Run) {
	if s.cfg.RunLog == nil {
		return
	}

	line, err := json.Marshal(run)
	if err != nil {
		panic("server: encode run: " + err.Error())
	}

	_, _ = s.cfg.RunLog.Write(append(line, '\n'))
}

func (s *Server) endRun(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if run < len(s.runs) {
		s.runs[run].EndMs = time.Now().UnixMilli()
		s.logRun(s.runs[run])
	}
}

// work waits for the request's processing time. It reports false if the caller canceled the request.
func (s *Server) work(r *http.Request, f Fault, cold bool) bool {
	ms := s.cfg.WorkMs
	if requested, err := strconv.ParseFloat(r.Header.Get(headerWork), 64); err == nil && requested >= 0 {
		ms = requested
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

// respond sends the bytes of a template, or else a line with the request's method and path.
func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/template/") {
		s.serveTemplate(w, r)

		return
	}

	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.URL.Path, s.cfg.Name)
}

// Service returns the service, which is the first segment of the run's path.
func (r Run) Service() string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")

	return name
}
