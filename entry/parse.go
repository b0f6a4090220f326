package entry

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strconv"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/httpd"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/rules"
)

// replyMargin is subtracted from the caller's deadline to leave time for the response to reach the caller.
const replyMargin spar.Millis = 15

// maxBodyGrace is how long after a request's deadline the rest of a response is awaited whose header has arrived in
// time. A response that is cut would take those behind it on the caller's connection along.
const maxBodyGrace spar.Millis = 150

// parse builds a request from its header and the rule that matches it.
func (e *Entry) parse(r *http.Request, set *rules.Set, now spar.Millis) (gate.Request, rules.Rule, *rejection) {
	return e.parseAs(r, set, now, func(rule rules.Rule) (rules.Tenant, bool) { return e.identify(r.Header, set, rule) })
}

// parseAs builds a request from its header, the rule that matches it and the tenant that identify returns for the rule.
func (e *Entry) parseAs(
	r *http.Request, set *rules.Set, now spar.Millis, identify func(rules.Rule) (rules.Tenant, bool),
) (gate.Request, rules.Rule, *rejection) {
	names := e.cfg.Names

	id := r.Header.Get(names.RequestID)
	if id == "" {
		return gate.Request{}, rules.Rule{}, &rejection{http.StatusBadRequest, "no header " + names.RequestID}
	}

	rule, ok := set.Match(r.Host, r.URL.Path)
	if !ok {
		return gate.Request{}, rules.Rule{}, &rejection{http.StatusNotFound, "no rule for this host and path"}
	}

	tenant, ok := identify(rule)
	if !ok {
		return gate.Request{}, rule, &rejection{http.StatusUnauthorized, "missing or unknown API key"}
	}

	deadline, grace, bad := e.deadline(r.Header, rule, now)
	if bad != nil {
		return gate.Request{}, rule, bad
	}

	service := rule.Destination(hash(id))
	key := gate.NoKey

	if s, _ := set.Service(service); s.Keyed {
		n, err := strconv.Atoi(r.Header.Get(names.Key))
		if err != nil || n < 0 || n >= keymap.Keys {
			return gate.Request{}, rule, &rejection{http.StatusBadRequest, "bad header " + names.Key}
		}

		key = n
	}

	gate.StripHopHeaders(r.Header)
	stripInternal(r.Header)
	gate.StripTenantHeaders(r.Header, names)

	return gate.Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Service: service,
		Caller: e.cfg.Service, Key: key, Kind: rule.Kind, Priority: priority(rule, tenant), Tenant: tenant.Name,
		Deadline: deadline, BodyGrace: grace, Objective: min(deadline, now+objective(rule)),
		Pipelined: httpd.Pipelined(r.Context()),
	}, rule, nil
}

// deadline returns the deadline of a request, and how long after it the caller still waits, up to maxBodyGrace.
func (e *Entry) deadline(h http.Header, rule rules.Rule, now spar.Millis) (at, grace spar.Millis, bad *rejection) {
	at = now + rule.Timeout
	waits := at + maxBodyGrace

	if text := h.Get(e.cfg.Names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return 0, 0, &rejection{http.StatusBadRequest, "bad header " + e.cfg.Names.Deadline}
		}

		waits = now + spar.Millis(ms) - replyMargin
	}

	at = e.deps.EndsAt.bound(min(at, waits))

	return at, max(0, min(maxBodyGrace, waits-at)), nil
}

// objective returns the time within which a request should be served by its rule.
func objective(r rules.Rule) spar.Millis {
	if r.Objective <= 0 {
		return r.Timeout
	}

	return r.Objective
}

// hash maps a request's identifier to a number that selects the service of a rule.
func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)

	return h.Sum64()
}

// readBody reads the complete body of a request, so that the request can be sent again. The server has counted its
// bytes.
func (e *Entry) readBody(
	r *http.Request, req *gate.Request, set *rules.Set, account *budget.Account,
) *rejection {
	if r.ContentLength == 0 {
		return nil
	}

	limit := e.cfg.MaxBodyBytes
	if n := int64(set.Limits.BodyBytes); n > 0 {
		limit = min(limit, n)
	}

	body, err := readBody(r, limit, account)

	switch {
	case errors.Is(err, httpd.ErrMemory) || errors.Is(err, errNoMemory):
		return &rejection{http.StatusServiceUnavailable, "no memory for the body"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{http.StatusRequestTimeout, "body not received in time"}
	case errors.Is(err, errBodyTooLong):
		return &rejection{http.StatusRequestEntityTooLarge, "body is longer than " + strconv.FormatInt(limit, 10) + " bytes"}
	case err != nil:
		return &rejection{http.StatusBadRequest, "body can't be read"}
	}

	req.Body = body

	return nil
}
