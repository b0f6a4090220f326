package quota

import (
	"strconv"

	spar "sardinespar.example/spar"
)

const (
	// maxTenantMetrics is the maximum number of tenants with metrics of their own.
	maxTenantMetrics = 100
	// publishInterval is the interval between two updates of the metrics.
	publishInterval spar.Millis = 1000
)

// counts are the counts of a tenant's requests at this node.
type counts struct {
	granted, refused, fallback int64
}

// metrics publishes the counts of the accounts. Requests are counted in the accounts, since that costs neither a lock
// nor an allocation of its own.
type metrics struct {
	next spar.Millis
	// removed are the counts of accounts that no longer exist.
	removed counts
	// tenants are the names of the metrics of each tenant.
	tenants map[string]tenantMetrics
}

// tenantMetrics are the names of a tenant's metrics.
type tenantMetrics struct {
	limit, granted, refused string
}

func (c counts) plus(o counts) counts {
	return counts{granted: c.granted + o.granted, refused: c.refused + o.refused, fallback: c.fallback + o.fallback}
}

// publishLocked sets the metrics once in a publishInterval.
func (q *Quota) publishLocked(now spar.Millis) {
	m := &q.metrics
	if now < m.next {
		return
	}

	m.next = now + publishInterval
	total := m.removed

	for name, a := range q.accounts {
		total = total.plus(a.counts)

		if t, ok := m.tenant(name); ok {
			rate, _, _ := q.deps.Limits(name)
			q.deps.Tally.Set(t.limit, int64(rate))
			q.deps.Tally.Set(t.granted, a.counts.granted)
			q.deps.Tally.Set(t.refused, a.counts.refused)
		}
	}

	q.deps.Tally.Set("spar_quota_granted_total", total.granted)
	q.deps.Tally.Set("spar_quota_refused_total", total.refused)
	q.deps.Tally.Set("spar_quota_fallback_total", total.fallback)
}

// tenant returns the names of a tenant's metrics, unless there are too many tenants.
func (m *metrics) tenant(name string) (tenantMetrics, bool) {
	if t, ok := m.tenants[name]; ok {
		return t, true
	}

	if len(m.tenants) >= maxTenantMetrics {
		return tenantMetrics{}, false
	}

	if m.tenants == nil {
		m.tenants = map[string]tenantMetrics{}
	}

	label := "{tenant=" + strconv.Quote(name) + "}"
	t := tenantMetrics{
		limit: "spar_quota_limit_per_s" + label, granted: "spar_quota_granted_total" + label,
		refused: "spar_quota_refused_total" + label,
	}
	m.tenants[name] = t

	return t, true
}
