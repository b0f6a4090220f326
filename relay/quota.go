package relay

import (
	"sardinespar.example/spar/quota"
)

// newQuota returns the quotas of the tenants in the rules in force.
func (r *Relay) newQuota() *quota.Quota {
	return quota.New(quota.Settings{Node: r.cfg.Node}, quota.Deps{
		Clock: r.deps.Clock, Caller: r.peerPool, Limits: r.operator.limit, Tenants: r.operator.limitedTenants,
		Nodes: r.quotaView, Log: r.deps.Log, Tally: r.deps.Tally,
	})
}

// limit returns the limit of a tenant by the rules in force.
func (o *operator) limit(tenant string) (rate, burst float64, limited bool) {
	set := o.Rules()
	if set == nil {
		return 0, 0, false
	}

	t, ok := set.TenantByName(tenant)

	return t.Rate, t.Burst, ok && t.Limited()
}

// limitedTenants returns the names of the tenants that have limits.
func (o *operator) limitedTenants() []string {
	set := o.Rules()
	if set == nil {
		return nil
	}

	return set.LimitedTenants()
}

// quotaView returns the nodes that may coordinate quotas, and the number of those that have a share of the limits.
func (r *Relay) quotaView() quota.View {
	now, timeout := r.deps.Clock.Now(), r.mesh.LivenessTimeout()
	peers := r.mesh.Peers()
	v := quota.View{Live: make([]quota.Member, 0, len(peers))}

	for _, p := range peers {
		if p.Node == r.cfg.Node {
			continue
		}

		if p.LastHeard > 0 && p.Alive(now, timeout) && !p.Leaving && p.RulesVersion > 0 {
			v.Live = append(v.Live, quota.Member{Node: p.Node, Addr: p.PeerAddr})
		}
	}

	v.Known = r.knownNodes()

	return v
}

// knownNodes returns the number of nodes that share the bounds of the fleet, including this one and those that are not
// heard for a time, or 0 if it is not known yet.
func (r *Relay) knownNodes() int {
	now := r.deps.Clock.Now()

	for _, p := range r.mesh.Peers() {
		// The table of nodes contains this node as well.
		if p.Node != r.cfg.Node {
			r.roster.Add(p.Node, p.LastHeard, p.Leaving, now)
		}
	}

	return r.roster.Known(now)
}
