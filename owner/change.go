package owner

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// change replaces the map of this node's service by f's result, as long as f wants a change. Extra
// conditions and writes go into the same transaction. It reports whether the map is as f wants it.
// After an unknown verdict it goes on until the map's row is another one, since the transaction may
// still take effect before that.
func (o *Owner) change(
	ctx context.Context, f func(keymap.Map) (keymap.Map, bool), extra func() ([]spar.Condition, []spar.Write),
) bool {
	select {
	case o.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}

	defer func() { <-o.turn }()

	base := o.deps.Maps.get(o.cfg.Service)

	for ctx.Err() == nil {
		next, wanted := f(base.Map)
		if !wanted {
			return true
		}

		key := mapKey(o.cfg.Service)
		conditions, writes := extra()
		result := o.commit(ctx, spar.Txn{
			Conditions: append([]spar.Condition{{Key: key, Revision: base.Revision}}, conditions...),
			Writes:     append([]spar.Write{{Key: key, Value: encode(next)}}, writes...),
		})

		if result.Verdict == spar.Applied {
			o.spread(ctx, base, versioned{Revision: result.Revision, Map: next})

			return true
		}

		o.deps.Log.Warn("map of owners not written", "verdict", result.Verdict, "conflict", result.Conflict,
			"base", base.Revision)

		if result.Verdict == spar.Rejected && result.Conflict != key {
			return false
		}

		o.deps.Clock.Sleep(ctx, retryPause)

		if v, ok := o.readMap(ctx); ok {
			base = v
		}
	}

	return false
}

// spread tells all peers what was just written; those that miss it pull the map from a peer.
func (o *Owner) spread(ctx context.Context, base, v versioned) {
	o.adopt(o.cfg.Service, v)
	o.deps.Mesh.Broadcast(context.WithoutCancel(ctx), methodMap, mapNotice{
		Service: o.cfg.Service, Base: base.Revision, Revision: v.Revision, Change: base.Map.ChangeTo(v.Map),
	})
}

// leased demands that this node's lease is the one it knows.
func (o *Owner) leased() ([]spar.Condition, []spar.Write) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.deps.Flaws.Unconditional {
		return nil, nil
	}

	return []spar.Condition{{Key: leaseKey(o.cfg.Service, o.cfg.Node), Revision: o.lease.revision}}, nil
}
