// Package entry takes callers' requests, chooses the backend server for each, and sends it there.
package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

// replyMargin is kept between the end of the work and the caller's deadline, for the way back.
const replyMargin spar.Millis = 15

// Settings are the settings of an entry.
type Settings struct {
	Node string
	Zone string
	// Service is the service of this VM, which callers here speak for.
	Service string
	Names   spar.HeaderNames
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// RulesMost is how long rules are used after a peer has told of newer ones.
	RulesMost spar.Millis
}

// Deps are what an entry works with.
type Deps struct {
	Clock spar.Clock
	Rules func() *rules.Set
	Mesh  *mesh.Mesh
	Maps  *owner.Maps
	Gate  *gate.Gate
	Pool  *conns.Pool
	Log   *log.Logger
	// Evacuated reports whether an availability zone is taken out.
	Evacuated func(zone string) bool
	// Tally counts requests and their latencies.
	Tally *tally.Tally
	// Closing reports whether callers should open new connections elsewhere.
	Closing func() bool
	// Closed reports whether new requests are refused, since the process is about to end.
	Closed func() bool
	// Behind reports whether peers are known to have newer rules, and for how long.
	Behind func() (spar.Millis, bool)
}

// Entry serves callers.
type Entry struct {
	cfg     Settings
	deps    Deps
	budget  *Budget
	tracker *Tracker
	buffers *copyBuffers
	// served and failed bound the log lines of requests that were answered by a backend server, and of
	// others.
	served *tally.Limit
	failed *tally.Limit
}

const (
	// servedLines and failedLines are the most log lines a second.
	servedLines = 5
	failedLines = 50
)

// New returns an entry.
func New(cfg Settings, deps Deps) *Entry {
	return &Entry{
		cfg: cfg, deps: deps, budget: NewBudget(), tracker: NewTracker(), buffers: newCopyBuffers(),
		served: tally.NewLimit(deps.Clock, servedLines), failed: tally.NewLimit(deps.Clock, failedLines),
	}
}

// ServeHTTP routes a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := e.deps.Clock.Now()

	set := e.deps.Rules()
	if set == nil || e.deps.Closed() {
		e.refuse(w, gate.Refused(spar.ReasonLeaving, retryLeast))

		return
	}

	since, behind := e.deps.Behind()
	if behind && since > e.cfg.RulesMost {
		e.refuseOldRules(w, r, set, since)

		return
	}

	req, rule, bad := e.parse(r, set, arrived)
	if bad != nil {
		if behind && bad.status == http.StatusNotFound {
			e.refuseOldRules(w, r, set, since)

			return
		}

		e.reject(w, r, *bad)

		return
	}

	if bad := e.readBody(r, &req, set); bad != nil {
		e.reject(w, r, *bad)

		return
	}

	e.budget.Earn(req.Service)

	ctx, cancel := context.WithTimeout(r.Context(), (req.Deadline - arrived).Duration())
	defer cancel()

	result := e.route(ctx, req, rule)
	result.Service = req.Service
	took := e.deps.Clock.Now() - arrived
	e.note(req, result, rule, set.Version, took)

	if result.Outcome == spar.OutcomeCompleted {
		e.deliver(w, result)

		return
	}

	e.refuse(w, result)
}

// parse reads a request's header.
func (e *Entry) parse(r *http.Request, set *rules.Set, now spar.Millis) (gate.Request, rules.Rule, *refusal) {
	names := e.cfg.Names

	id := r.Header.Get(names.RequestID)
	if id == "" {
		return gate.Request{}, rules.Rule{}, &refusal{http.StatusBadRequest, "no header " + names.RequestID}
	}

	rule, ok := set.Match(r.Host, r.URL.Path)
	if !ok {
		return gate.Request{}, rules.Rule{}, &refusal{http.StatusNotFound, "no rule for this host and path"}
	}

	left := rule.Timeout

	if text := r.Header.Get(names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return gate.Request{}, rules.Rule{}, &refusal{http.StatusBadRequest, "bad header " + names.Deadline}
		}

		left = min(left, spar.Millis(ms)-replyMargin)
	}

	service := rule.Part(hash(id))
	key := gate.NoKey

	if s, _ := set.Service(service); s.Keyed {
		n, err := strconv.Atoi(r.Header.Get(names.Key))
		if err != nil || n < 0 || n >= keymap.Keys {
			return gate.Request{}, rules.Rule{}, &refusal{http.StatusBadRequest, "bad header " + names.Key}
		}

		key = n
	}

	gate.StripHop(r.Header)
	stripOwn(r.Header)

	return gate.Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Service: service,
		Caller: e.cfg.Service, Key: key, Kind: rule.Kind, Priority: rule.Priority,
		Deadline: now + left, Objective: now + min(left, objective(rule)),
	}, rule, nil
}

func objective(r rules.Rule) spar.Millis {
	if r.Objective <= 0 {
		return r.Timeout
	}

	return r.Objective
}

func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)

	return h.Sum64()
}

// readBody reads a request's body whole, so that the request can be sent again if it has not run.
func (e *Entry) readBody(r *http.Request, req *gate.Request, set *rules.Set) *refusal {
	if r.ContentLength == 0 {
		return nil
	}

	most := e.cfg.BodyBytes
	if n := int64(set.Limits.BodyBytes); n > 0 {
		most = min(most, n)
	}

	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))

	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "body not received in time"}
	case err != nil:
		return &refusal{http.StatusBadRequest, "body can't be read"}
	case int64(len(body)) > most:
		return &refusal{http.StatusRequestEntityTooLarge, "body is longer than " + strconv.FormatInt(most, 10) + " bytes"}
	}

	req.Body = body

	return nil
}

// note counts a request and logs what became of it.
func (e *Entry) note(req gate.Request, r gate.Result, rule rules.Rule, version uint64, took spar.Millis) {
	e.deps.Tally.Count("spar_entry_" + string(r.Outcome) + "_total")
	e.deps.Tally.Observe("spar_entry_latency_ms", took)

	limit, level, text := e.served, log.InfoLevel, "request served"
	if r.Outcome != spar.OutcomeCompleted {
		limit, level, text = e.failed, log.WarnLevel, "request not served"

		e.deps.Tally.Count("spar_entry_" + string(r.Reason) + "_total")
	}

	left, ok := limit.Allow()
	if !ok {
		return
	}

	e.deps.Log.Log(level, text, "id", req.ID, "rule", rule.Name, "rules", version, "service", req.Service,
		"key", req.Key, "map", e.deps.Maps.Revision(req.Service), "node", r.Node, "outcome", r.Outcome,
		"reason", r.Reason, "status", r.Status, "tries", r.Tries, "took_ms", int(took),
		"left_ms", int(req.Deadline-e.deps.Clock.Now()), "retry_after_ms", int(r.RetryAfter), "detail", r.Detail,
		"left_out", left)
}
