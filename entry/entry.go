// Package entry routes callers' requests: it chooses a backend server for each and sends the request there.
package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/httpd"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/quota"
	"sardinespar.example/spar/retry"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

// Settings configure an Entry.
type Settings struct {
	Node string
	Zone string
	// Service is the service of this VM, on behalf of which its callers send requests.
	Service string
	Names   spar.HeaderNames
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64
	// MaxBufferedBytes is the size up to which a response is held in memory completely.
	MaxBufferedBytes int64
	// MaxRulesAge is how long rules are used after a peer has announced newer ones.
	MaxRulesAge spar.Millis
	// SpreadByReports chooses among backend servers without keys by package spread, and otherwise by the lowest cost of
	// a random sample.
	SpreadByReports bool
	// Retries is the bound of the retries of all nodes.
	Retries retry.Settings
}

// Deps are the dependencies of an Entry.
type Deps struct {
	Clock spar.Clock
	Rules func() *rules.Set
	Mesh  *mesh.Mesh
	Maps  *owner.Maps
	Gate  *gate.Gate
	Pool  *conns.Pool
	// Link is the VM's network link, over which requests are sent to other nodes.
	Link *pace.Link
	Log  *log.Logger
	// ZoneWithdrawn reports whether an availability zone is withdrawn.
	ZoneWithdrawn func(zone string) bool
	// Tally counts requests and their latencies.
	Tally *tally.Tally
	// Closing reports whether callers should open new connections elsewhere.
	Closing func() bool
	// Closed reports whether new requests are refused, since the process is about to end.
	Closed func() bool
	// EndsAt returns when the process ends, and false if it is not about to end. It may be nil.
	EndsAt EndTime
	// RulesLag returns how long peers have been known to have newer rules, and whether they have any.
	RulesLag func() (spar.Millis, bool)
	// Quarantined reports whether a request must not run now because it crashes backend servers, and the time
	// until it may.
	Quarantined func(req gate.Request) (spar.Millis, bool)
	// Memory bounds the memory that requests hold.
	Memory *budget.Budget
	// Nodes returns the number of nodes that share the bound of retries, or 0 if it is not known.
	Nodes func() int
	// Quota limits the requests of tenants. It may be nil.
	Quota Quota
	// QuotaState returns the state of a tenant's quota. It may be nil.
	QuotaState func(tenant string) quota.State
}

// Entry serves the requests of callers on this VM.
type Entry struct {
	cfg     Settings
	deps    Deps
	retries *retry.Budget
	tracker *Tracker
	pieces  *piecePool
	// servedLog limits the log lines of requests that a backend server answered, and failedLog those of all
	// other requests.
	servedLog *tally.Limiter
	failedLog *tally.Limiter
}

const (
	// maxServedLines and maxFailedLines bound the log lines per second.
	maxServedLines = 5
	maxFailedLines = 50
)

// New returns an Entry.
func New(cfg Settings, deps Deps) *Entry {
	return &Entry{
		cfg: cfg, deps: deps, retries: retry.New(cfg.Retries, retry.Deps{Clock: deps.Clock, Nodes: deps.Nodes}),
		tracker: NewTracker(), pieces: newPiecePool(),
		servedLog: tally.NewLimiter(deps.Clock, maxServedLines), failedLog: tally.NewLimiter(deps.Clock, maxFailedLines),
	}
}

// ServeHTTP routes a caller's request to a backend server and passes its response on.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := e.deps.Clock.Now()

	a := e.admission()
	set := a.set

	if a.closed {
		e.refuse(w, gate.Refused(spar.ReasonLeaving, minRetryAfter))

		return
	}

	if a.stale {
		e.refuseStaleRules(w, r, set, a.lag)

		return
	}

	req, rule, bad := e.parse(r, set, arrived)
	if bad != nil {
		if a.unsure(*bad) {
			e.refuseStaleRules(w, r, set, a.lag)

			return
		}

		e.reject(w, r, *bad)

		return
	}

	account := e.deps.Memory.Open(r.RemoteAddr)
	defer account.Close()

	if bad := e.readBody(r, &req, set, account); bad != nil {
		e.reject(w, r, *bad)

		return
	}

	defer budget.Running(r.Context())()

	e.retries.Earn(req.Service)

	ctx, cancel := context.WithTimeout(r.Context(), (req.Deadline - arrived).Duration())
	defer cancel()

	result, ok := e.serialize(ctx, r, req)
	if ok {
		result = e.routeAdmitted(ctx, req, rule)
	}

	result.Service = req.Service
	took := e.deps.Clock.Now() - arrived
	response, result := e.prefetch(r.Context(), req, account, result)
	e.record(req, result, rule, set.Version, took)

	if response != nil {
		e.deliver(w, req, response)

		return
	}

	e.refuse(w, result)
}

// admission is what decides whether the entry accepts requests at a moment.
type admission struct {
	set *rules.Set
	// closed reports whether requests are refused, since there are no rules yet or the process is about to end.
	closed bool
	// behind reports whether a peer has announced newer rules, lag is for how long, and stale whether that is too long.
	behind bool
	lag    spar.Millis
	stale  bool
}

// admission returns what decides now whether requests are accepted.
func (e *Entry) admission() admission {
	a := admission{set: e.deps.Rules()}
	a.closed = a.set == nil || e.deps.Closed()
	a.lag, a.behind = e.deps.RulesLag()
	a.stale = a.behind && a.lag > e.cfg.MaxRulesAge

	return a
}

// unsure reports whether newer rules, which this node has not yet received, may serve a request that is rejected.
func (a admission) unsure(bad rejection) bool {
	return a.behind && bad.dependsOnRules()
}

// prefetch reads the first part of a completed request's response. If the response is incomplete, it returns the result
// that the caller gets in its place.
func (e *Entry) prefetch(
	ctx context.Context, req gate.Request, account *budget.Account, result gate.Result,
) (*prefetched, gate.Result) {
	if result.Outcome != spar.OutcomeCompleted {
		return nil, result
	}

	e.countResponse(account, result)

	response, err := e.pieces.prefetch(ctx, result)

	switch {
	case errors.Is(err, errClosing):
		panic(http.ErrAbortHandler)
	case err != nil:
		failed := incomplete(e.deps.Clock.Now() >= req.Deadline, err)
		failed.Service, failed.Node, failed.Attempts = result.Service, result.Node, result.Attempts

		return nil, failed
	}

	return response, result
}

// countResponse counts the part of a response that this node holds in memory: of its own backend server up to
// MaxBufferedBytes, and of another node a short response, or the first parts of a long one. The response is sent even
// if there is no room; the attempt makes stalled connections be closed.
func (e *Entry) countResponse(account *budget.Account, r gate.Result) {
	held := min(max(0, r.Length), 2*pieceBytes)
	if r.Node == e.cfg.Node {
		held = min(max(0, r.Length), e.cfg.MaxBufferedBytes)
	}

	_ = account.Take(held)
}

// serialize lets a request that must not run twice wait until all earlier requests of its connection have been
// answered: if one of these responses closes the connection, the client sends the request again. If the request's
// time ends first, it returns false with the result.
func (e *Entry) serialize(ctx context.Context, r *http.Request, req gate.Request) (gate.Result, bool) {
	if req.Kind.Repeatable() {
		return gate.Result{}, true
	}

	err := httpd.Serialize(ctx)

	switch {
	case err == nil:
		return gate.Result{}, true
	case r.Context().Err() != nil || !errors.Is(err, context.DeadlineExceeded):
		panic(http.ErrAbortHandler)
	}

	return gate.Refused(spar.ReasonDeadline, minRetryAfter), false
}

// record counts a request and logs its result.
func (e *Entry) record(req gate.Request, r gate.Result, rule rules.Rule, version uint64, took spar.Millis) {
	e.deps.Tally.Count("spar_entry_" + string(r.Outcome) + "_total")
	e.deps.Tally.Observe("spar_entry_latency_ms", took)

	limit, level, msg := e.servedLog, log.InfoLevel, "request served"
	if r.Outcome != spar.OutcomeCompleted {
		limit, level, msg = e.failedLog, log.WarnLevel, "request not served"

		e.deps.Tally.Count("spar_entry_" + string(r.Reason) + "_total")
	}

	dropped, ok := limit.Allow()
	if !ok {
		return
	}

	e.deps.Log.Log(level, msg, "id", req.ID, "rule", rule.Name, "rules", version, "service", req.Service,
		"tenant", req.Tenant, "key", req.Key, "map", e.deps.Maps.Revision(req.Service), "node", r.Node, "outcome", r.Outcome,
		"reason", r.Reason, "status", r.Status, "tries", r.Attempts, "took_ms", int(took),
		"left_ms", int(req.Deadline-e.deps.Clock.Now()), "retry_after_ms", int(r.RetryAfter), "detail", r.Detail,
		"left_out", dropped)
}
