package entry

import (
	"net/http"

	"sardinespar.example/spar/rules"
)

// identify returns the tenant whose API key a request carries; it has no name if the request carries no valid key. It
// returns false if the request may not be served without one. Two headers with a key count as no key, even if both are
// the same, since servers disagree on which of them applies.
func (e *Entry) identify(h http.Header, set *rules.Set, rule rules.Rule) (rules.Tenant, bool) {
	var (
		tenant rules.Tenant
		known  bool
	)

	if values := h.Values(e.cfg.Names.APIKey); len(values) == 1 && set.HasTenants() {
		tenant, known = set.Tenant(values[0])
	}

	return admitTenant(set, rule, tenant, known)
}

// admitTenant returns the tenant of a request, if it is known, and whether the request may be served.
func admitTenant(set *rules.Set, rule rules.Rule, t rules.Tenant, known bool) (rules.Tenant, bool) {
	switch {
	case !set.HasTenants():
		return rules.Tenant{}, true
	case known:
		return t, true
	}

	return rules.Tenant{}, rule.Public
}

// priority returns the priority of a tenant's request.
func priority(rule rules.Rule, t rules.Tenant) int {
	if t.Priority != nil {
		return *t.Priority
	}

	return rule.Priority
}
