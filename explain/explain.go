// Package explain contains the messages with which operators ask a node where a request would go now, and why. It has
// no API keys: a request names its tenant.
package explain

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
)

// Method is the method by which a node explains a request.
const Method = "relay.explain"

// Params describe a request of a caller.
type Params struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path with the query.
	Path string `json:"path"`
	ID   string `json:"id"`
	// Key, Tenant and TimeLeft may be empty: a request without a key, a tenant or a deadline. TimeLeft is a number of
	// milliseconds.
	Key      string `json:"key,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
	TimeLeft string `json:"time_left_ms,omitempty"`
}

// Result explains where a request would go. Parts that do not apply are nil.
type Result struct {
	// Node is the entry node, which explains, and Zone its availability zone.
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Closing reports whether callers should open new connections elsewhere, and Closed whether requests are refused.
	Closing    bool        `json:"closing"`
	Closed     bool        `json:"closed"`
	Rules      Rules       `json:"rules"`
	Rule       *Rule       `json:"rule,omitempty"`
	Tenant     *Tenant     `json:"tenant,omitempty"`
	Owner      *Owner      `json:"owner,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Gate       *Gate       `json:"gate,omitempty"`
	// Refusal is set if the request would be refused, and Choice is the node to which it would go first otherwise.
	Refusal *Refusal `json:"refusal,omitempty"`
	Choice  string   `json:"choice,omitempty"`
	Reason  string   `json:"reason"`
	// Notes are facts that may change the result.
	Notes []string `json:"notes,omitempty"`
}

// Rules is the state of the rules.
type Rules struct {
	Version uint64 `json:"version"`
	// Behind reports whether peers announce newer rules, Lag for how long, and Stale whether that is too long.
	Behind bool        `json:"behind"`
	Lag    spar.Millis `json:"lag_ms,omitempty"`
	Stale  bool        `json:"stale"`
}

// Rule is the rule that matches a request, and what it makes of the request.
type Rule struct {
	Name          string      `json:"name"`
	Host          string      `json:"host"`
	Prefix        string      `json:"prefix"`
	Kind          string      `json:"kind"`
	Timeout       spar.Millis `json:"timeout_ms"`
	Objective     spar.Millis `json:"objective_ms"`
	Attempts      int         `json:"attempts"`
	Public        bool        `json:"public"`
	Service       string      `json:"service"`
	ServiceReason string      `json:"service_reason"`
	// Priority is that of the rule, or that of the tenant if it has one.
	Priority int `json:"priority"`
	// TimeLeft and ObjectiveLeft are the times that remain to the request.
	TimeLeft      spar.Millis `json:"time_left_ms"`
	ObjectiveLeft spar.Millis `json:"objective_left_ms"`
}

// Tenant is the state of a tenant's quota at the entry node.
type Tenant struct {
	Name    string  `json:"name"`
	Limited bool    `json:"limited"`
	Rate    float64 `json:"rate_per_s,omitempty"`
	Burst   float64 `json:"burst,omitempty"`
	// Credits are the valid ones in stock, and Waiting the requests that wait for one.
	Credits int `json:"credits"`
	Waiting int `json:"waiting"`
	// Coordinator is the node from which credits are requested; empty if there is none.
	Coordinator string `json:"coordinator,omitempty"`
	// NextRequest is the time until credits may be requested again.
	NextRequest spar.Millis `json:"next_request_ms,omitempty"`
}

// Owner is what the entry node knows of the owner of a key.
type Owner struct {
	Key         int           `json:"key"`
	MapRevision spar.Revision `json:"map_revision"`
	// Node is empty if the key has no owner.
	Node     string `json:"node,omitempty"`
	Instance string `json:"instance,omitempty"`
	Epoch    int64  `json:"epoch,omitempty"`
	// Known reports whether the address of the owner is known, and Alive whether it was heard from lately.
	Known     bool `json:"known"`
	Alive     bool `json:"alive"`
	Ejected   bool `json:"ejected"`
	Withdrawn bool `json:"withdrawn"`
}

// Candidate is what the entry node knows of a node of a service without keys.
type Candidate struct {
	Node  string `json:"node"`
	Zone  string `json:"zone"`
	Local bool   `json:"local"`
	Ready bool   `json:"ready"`
	Cold  bool   `json:"cold"`
	// Withdrawn reports whether the zone is withdrawn, and Ejected whether the node was unreachable a moment ago.
	Withdrawn bool `json:"withdrawn"`
	Ejected   bool `json:"ejected"`
	// Obstacle is the reason why the node is not chosen; empty if it may be.
	Obstacle string    `json:"obstacle,omitempty"`
	Load     gate.Load `json:"load"`
	// ReportAge is the age of Load, and ServiceTime the usual service time by the reports so far.
	ReportAge   spar.Millis `json:"report_age_ms"`
	ServiceTime spar.Millis `json:"usual_service_ms"`
	FailureRate float64     `json:"failure_rate"`
	InFlight    int         `json:"in_flight"`
	// Probability is that of the first attempt.
	Probability float64 `json:"probability"`
}

// Gate is the state of the gate at the entry node, if its backend server belongs to the service.
type Gate struct {
	Load gate.Load `json:"load"`
	Cold bool      `json:"cold"`
	// Wait is the expected wait for a slot.
	Wait spar.Millis `json:"wait_ms"`
	// Refusal is the reason for which the gate would refuse the request.
	Refusal string `json:"refusal,omitempty"`
}

// Refusal is the response to a request that would be refused.
type Refusal struct {
	Status     int         `json:"status"`
	Reason     string      `json:"reason"`
	RetryAfter spar.Millis `json:"retry_after_ms,omitempty"`
}
