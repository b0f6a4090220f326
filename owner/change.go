package owner

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// change replaces the map of this node's service by the result of update, unless update returns false because the map
// needs no change. The conditions and writes that extra returns go into the same transaction. change reports whether
// the map is now as update requires. After an unknown verdict it retries until the map has a new revision, since the
// transaction may still take effect until then. It changes nothing while grants from before a restore of the table may
// be in force.
func (o *Owner) change(
	ctx context.Context, update func(keymap.Map) (keymap.Map, bool), extra func() ([]spar.Condition, []spar.Write),
) bool {
	select {
	case o.changeLock <- struct{}{}:
	case <-ctx.Done():
		return false
	}

	defer func() { <-o.changeLock }()

	base := o.deps.Maps.get(o.cfg.Service)

	for ctx.Err() == nil {
		era, allowed := o.mayChange(base)
		if !allowed {
			return false
		}

		current := base.Map
		if base.Revision == 0 {
			current.LastEpoch = firstEpochs(era)
		}

		next, wanted := update(current)
		if !wanted {
			return true
		}

		next.Era = era

		key := mapKey(o.cfg.Service)
		conditions, writes := extra()
		result := o.commit(ctx, spar.Txn{
			Conditions: append([]spar.Condition{{Key: key, Revision: base.Revision}}, conditions...),
			Writes:     append([]spar.Write{{Key: key, Value: encode(next)}}, writes...),
		})

		if result.Verdict == spar.VerdictApplied {
			o.publish(ctx, base, versioned{Revision: result.Revision, Map: next})

			return true
		}

		o.deps.Log.Warn("writing map of owners failed", "verdict", result.Verdict, "conflict", result.Conflict,
			"base", base.Revision)

		if result.Verdict == spar.VerdictRejected && result.Conflict != key {
			return false
		}

		o.deps.Clock.Sleep(ctx, retryDelay)

		if v, ok := o.readMap(ctx); ok {
			base = v
		}
	}

	return false
}

// publish notifies all peers of a map that was just written. Peers that miss the notification pull the map later.
func (o *Owner) publish(ctx context.Context, base, v versioned) {
	n := mapNotification{
		Service: o.cfg.Service, Base: base.Revision, Revision: v.Revision, Change: base.Map.ChangeTo(v.Map),
	}

	o.logMap(n.Service, o.deps.Maps.putWritten(n, v))
	o.deps.Mesh.Broadcast(context.WithoutCancel(ctx), methodMap, n)
}

// leaseCondition returns the condition that the lease row is still at the revision that this node last wrote.
func (o *Owner) leaseCondition() ([]spar.Condition, []spar.Write) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.deps.Flaws.Unconditional {
		return nil, nil
	}

	return []spar.Condition{{Key: leaseKey(o.cfg.Service, o.cfg.Node), Revision: o.lease.revision}}, nil
}
