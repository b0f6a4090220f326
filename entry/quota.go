package entry

import (
	"context"
	"math/rand/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/quota"
)

// Quota admits the requests of tenants within their limits.
type Quota interface {
	// Take takes a credit for a request of a tenant, or returns the time after which there may be one.
	Take(ctx context.Context, tenant string, objective spar.Millis) (quota.Credit, spar.Millis, bool)
	// Return returns the credit of a request that did not reach a backend server.
	Return(c quota.Credit)
}

// delivery is what one request of a caller has used so far.
type delivery struct {
	quota  Quota
	tenant string
	// sent is the number of attempts that reached a backend server.
	sent int
	// retrying is true while an attempt is made for which a retry was taken from the budget.
	retrying bool
	// credit is the credit for the next attempt that reaches a backend server, unless it is spent.
	credit quota.Credit
	spent  bool
}

// begin takes the first credit of a request. Without one, it returns false with the refusal.
func (e *Entry) begin(ctx context.Context, req gate.Request) (*delivery, gate.Result, bool) {
	d := &delivery{quota: e.deps.Quota, tenant: req.Tenant}

	after, ok := d.take(ctx, req.Objective)
	if !ok {
		return nil, gate.Refused(spar.ReasonQuota, spreadRetry(after)), false
	}

	return d, gate.Result{}, true
}

// take takes a credit for the next attempt.
func (d *delivery) take(ctx context.Context, objective spar.Millis) (spar.Millis, bool) {
	if d.quota == nil || d.tenant == "" {
		return 0, true
	}

	c, after, ok := d.quota.Take(ctx, d.tenant, objective)
	d.credit, d.spent = c, !ok

	return after, ok
}

// renew takes a credit for a further attempt if the last one has spent its credit, since each attempt that reaches a
// backend server counts.
func (d *delivery) renew(ctx context.Context, objective spar.Millis) bool {
	if !d.spent {
		return true
	}

	_, ok := d.take(ctx, objective)

	return ok
}

// record records the result of an attempt.
func (d *delivery) record(r gate.Result) {
	if needsRetry(r) {
		d.sent++
		d.spent = true
	}
}

// end returns the credit that no attempt has spent.
func (d *delivery) end() {
	if d.quota != nil && d.tenant != "" && !d.spent {
		d.quota.Return(d.credit)
	}
}

// spreadRetry spreads the retries of callers that exceed their limit, so that they don't all come back at once.
func spreadRetry(after spar.Millis) spar.Millis {
	const minDelay, jitter = 100, 500

	return max(minDelay, after) + spar.Millis(rand.Float64()*jitter)
}
