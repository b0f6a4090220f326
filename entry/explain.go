package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/explain"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

// explainer explains one request. It uses the functions that decide on real requests, and sends and counts nothing.
type explainer struct {
	entry  *Entry
	now    spar.Millis
	result explain.Result
}

// Explain returns where a request would go now, and why. It fails if p describes no request.
func (e *Entry) Explain(p explain.Params) (explain.Result, error) {
	r, err := e.requestOf(p)
	if err != nil {
		return explain.Result{}, err
	}

	a := e.admission()
	x := &explainer{entry: e, now: e.deps.Clock.Now()}
	x.result = explain.Result{
		Node: e.cfg.Node, Zone: e.cfg.Zone, Closing: e.deps.Closing(), Closed: a.closed,
		Rules: explain.Rules{Behind: a.behind, Lag: a.lag, Stale: a.stale},
	}

	switch {
	case a.closed:
		x.refuse(gate.Refused(spar.ReasonLeaving, minRetryAfter), "the node has no rules yet, or its process is about to end")
	case a.stale:
		x.refuse(staleRulesRefusal(), "peers have announced newer rules for too long")
	}

	if a.set != nil {
		x.result.Rules.Version = a.set.Version
		x.explainRequest(r, a, p)
	}

	return x.result, nil
}

// requestOf returns the request that p describes.
func (e *Entry) requestOf(p explain.Params) (*http.Request, error) {
	u, err := url.ParseRequestURI(p.Path)
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}

	r := &http.Request{Method: p.Method, Host: p.Host, URL: u, RequestURI: p.Path, Header: http.Header{}}

	for name, value := range map[string]string{
		e.cfg.Names.RequestID: p.ID, e.cfg.Names.Key: p.Key, e.cfg.Names.Deadline: p.TimeLeft,
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}

	return r, nil
}

// refuse records a refusal, unless the request is already refused.
func (x *explainer) refuse(r gate.Result, reason string) {
	if x.result.Refusal != nil {
		return
	}

	status, after := refusalStatus(r)
	x.result.Refusal = &explain.Refusal{Status: status, Reason: string(r.Reason), RetryAfter: after}
	x.result.Reason = reason
}

// note records a fact that may change the result.
func (x *explainer) note(format string, args ...any) {
	x.result.Notes = append(x.result.Notes, fmt.Sprintf(format, args...))
}

// explainRequest explains a request by the rules in force.
func (x *explainer) explainRequest(r *http.Request, a admission, p explain.Params) {
	e := x.entry
	tenant, known := a.set.TenantByName(p.Tenant)

	// The name is not repeated: it may be an API key that was given by mistake.
	if p.Tenant != "" && !known {
		x.note("the rules contain no tenant of the given name")
	}

	req, rule, bad := e.parseAs(r, a.set, x.now, func(rule rules.Rule) (rules.Tenant, bool) {
		return admitTenant(a.set, rule, tenant, known)
	})
	if rule.Name != "" {
		x.result.Rule = ruleOf(rule, p.ID)
	}

	switch {
	case bad != nil && a.unsure(*bad):
		x.refuse(staleRulesRefusal(), bad.cause+", but peers have announced newer rules")
	case bad != nil && x.result.Refusal == nil:
		x.result.Refusal = &explain.Refusal{Status: bad.status, Reason: bad.cause}
		x.result.Reason = "the request is rejected at the entry"
	}

	if bad == nil {
		x.explainRoute(req)
	}
}

// ruleOf returns a rule and the service that it selects for an id.
func ruleOf(rule rules.Rule, id string) *explain.Rule {
	reason := "the only destination of the rule"
	if len(rule.Destinations) > 1 {
		reason = fmt.Sprintf("chosen by weight and the request's id among %d destinations", len(rule.Destinations))
	}

	return &explain.Rule{
		Name: rule.Name, Host: rule.Host, Prefix: rule.Prefix, Kind: string(rule.Kind), Timeout: rule.Timeout,
		Objective: objective(rule), Attempts: rule.Attempts, Priority: rule.Priority, Public: rule.Public,
		Service: rule.Destination(hash(id)), ServiceReason: reason,
	}
}

// explainRoute explains where a valid request goes.
func (x *explainer) explainRoute(req gate.Request) {
	e, rule := x.entry, x.result.Rule
	rule.Priority = req.Priority
	rule.TimeLeft, rule.ObjectiveLeft = req.Deadline-x.now, req.Objective-x.now

	if rule.TimeLeft <= 0 {
		x.note("no time is left to the request: the entry subtracts %d ms for the response", int(replyMargin))
	}

	if after, quarantined := e.deps.Quarantined(req); quarantined {
		x.refuse(gate.Refused(spar.ReasonQuarantined, after), "this request crashes backend servers")
	} else if req.Method != http.MethodGet && req.Method != http.MethodHead {
		x.note("quarantine was checked for a request without a body")
	}

	x.explainTenant(req.Tenant)

	if req.Key != gate.NoKey {
		x.explainKeyed(req)
	} else {
		x.explainSpread(req)
	}
}

// explainTenant explains the quota of a request's tenant.
func (x *explainer) explainTenant(name string) {
	if name == "" {
		return
	}

	t := &explain.Tenant{Name: name}
	x.result.Tenant = t

	if x.entry.deps.QuotaState == nil {
		return
	}

	s := x.entry.deps.QuotaState(name)
	t.Limited, t.Rate, t.Burst, t.Credits, t.Waiting = s.Limited, s.Rate, s.Burst, s.Credits, s.Waiting
	t.Coordinator, t.NextRequest = s.Coordinator, s.NextRequest

	if t.Limited && t.Credits == 0 {
		x.note("no credit of the tenant is in stock: the request would wait for one, and is answered with 429 without one")
	}
}

// explainKeyed explains how a request with a key gets to the owner of the key.
func (x *explainer) explainKeyed(req gate.Request) {
	e := x.entry
	o := e.explainOwner(req, x.now)
	x.result.Owner = o

	c, missing := e.ownerOf(req)
	if missing != "" {
		x.refuse(gate.Refused(spar.ReasonNoOwner, minRetryAfter), fmt.Sprintf(
			"%s; a request waits up to %d ms for that to change", missing, int(ownerWait(req, x.now))))

		return
	}

	if !o.Alive {
		x.note("the owner was not heard from lately; its keys move only when its grants have ended")
	}

	req.InstanceID = c.InstanceID
	x.explainGate(req, c.Local)

	if x.result.Refusal == nil {
		x.result.Choice, x.result.Reason = c.Node, "owner of the key"
	}
}

// explainOwner returns what is known of the owner of a request's key.
func (e *Entry) explainOwner(req gate.Request, now spar.Millis) *explain.Owner {
	o := &explain.Owner{Key: req.Key, MapRevision: e.deps.Maps.Revision(req.Service)}

	owner, ok := e.deps.Maps.Find(req.Service, req.Key)
	if !ok {
		return o
	}

	o.Node, o.Instance, o.Epoch = owner.Node, owner.Incarnation.ID, owner.Epoch
	if o.Node == e.cfg.Node {
		o.Known, o.Alive, o.Withdrawn = true, true, e.deps.ZoneWithdrawn(e.cfg.Zone)

		return o
	}

	p, known := e.deps.Mesh.Peer(owner.Node)
	o.Known, o.Alive = known && p.InboundAddr != "", known && p.Alive(now, e.deps.Mesh.LivenessTimeout())
	o.Withdrawn = known && e.deps.ZoneWithdrawn(p.Zone)
	o.Ejected = e.tracker.Ejected(owner.Node, now)

	return o
}

// explainSpread explains the choice for a request without a key.
func (x *explainer) explainSpread(req gate.Request) {
	e := x.entry
	x.result.Candidates = e.explainCandidates(req, x.now)

	if u := e.deps.Gate.Upstream(); u.Service == req.Service {
		req.InstanceID = u.Incarnation.ID
		x.explainGate(req, false)
	}

	if len(x.result.Candidates) == 0 || x.result.Candidates[0].Obstacle != "" {
		x.refuse(gate.Refused(spar.ReasonUnreachable, minRetryAfter), "no node of the service can be chosen")

		return
	}

	if first := x.result.Candidates[0]; x.result.Refusal == nil {
		x.result.Choice = first.Node
		x.result.Reason = fmt.Sprintf("most probable choice, with %.1f %%", first.Probability*percent)
	}
}

const percent = 100

// explainCandidates returns all nodes of a request's service, the most probable choices first.
func (e *Entry) explainCandidates(req gate.Request, now spar.Millis) []explain.Candidate {
	var list []explain.Candidate

	probabilities := e.probabilities(req, now)
	add := func(c Candidate, x explain.Candidate) {
		x.Node, x.Local, x.Cold, x.Withdrawn = c.Node, c.Local, c.Cold, e.deps.ZoneWithdrawn(x.Zone)
		x.Load, x.ReportAge, x.Probability = c.Load, now-c.LoadAt, probabilities[c.Node]
		list = append(list, e.tracker.explain(c, x, now))
	}

	if u := e.deps.Gate.Upstream(); u.Service == req.Service {
		add(e.localCandidate(u, now), explain.Candidate{Zone: e.cfg.Zone, Ready: u.Ready, Obstacle: e.localObstacle(u)})
	}

	for _, p := range e.deps.Mesh.Peers() {
		// The table of nodes contains this node as well.
		if p.Service != req.Service || p.Node == e.cfg.Node {
			continue
		}

		add(e.peerCandidate(p, now), explain.Candidate{
			Zone: p.Zone, Ready: p.Ready, Obstacle: e.peerObstacle(p, now, e.deps.Mesh.LivenessTimeout()),
		})
	}

	slices.SortFunc(list, func(a, b explain.Candidate) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Obstacle, b.Obstacle),
			cmp.Compare(a.Node, b.Node))
	})

	return list
}

// explainGate explains what the gate of this node would do with a request. decides reports whether its refusal is that
// of the request, since no other node may run it.
func (x *explainer) explainGate(req gate.Request, decides bool) {
	g := x.entry.deps.Gate

	u := g.Upstream()
	if u.Service != req.Service {
		return
	}

	wait, refusal, ok := g.Foresee(req)
	x.result.Gate = &explain.Gate{Load: g.Load(), Cold: u.Cold(x.now), Wait: wait, Refusal: string(refusal.Reason)}

	if !ok && decides {
		x.refuse(refusal, "the gate of the owner, this node, refuses the request")
	}

	if x.result.Gate.Cold {
		x.note("the backend server of this node is cold: the gate also refuses requests beyond the rate for that")
	}
}

// probabilities returns the probability with which each node gets the first attempt of a request without a key.
func (e *Entry) probabilities(req gate.Request, now spar.Millis) map[string]float64 {
	usable := e.tracker.usable(e.candidates(req.Service), nil, now)

	list := e.tracker.sampleProbabilities(usable, req.Kind)
	if e.cfg.SpreadByReports {
		list = e.tracker.spreadProbabilities(usable, req.Kind, now)
	}

	byNode := make(map[string]float64, len(usable))
	for i, c := range usable {
		byNode[c.Node] = list[i]
	}

	return byNode
}
