package relay

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/follow"
	"sardinespar.example/spar/rules"
)

// operator holds what operators have written: the rules in force and the zones taken out.
type operator struct {
	adapter Adapter
	log     *log.Logger
	// feed follows the operators' table.
	feed *follow.Follower

	force atomic.Pointer[inForce]

	// taking is held while a version is compared and put in force.
	taking sync.Mutex

	mu  sync.Mutex
	out map[string]bool
}

// inForce are the rules in force and the row that holds them.
type inForce struct {
	set *rules.Set
	row spar.Row
}

func newOperator(deps Deps) *operator {
	o := &operator{adapter: deps.Adapter, log: deps.Log, out: map[string]bool{}}
	table := deps.Adapter.OperatorTable()
	o.feed = follow.New(follow.Settings{Name: table, Prefix: table + "//"}, follow.Deps{
		Clock: deps.Clock, Table: deps.Table, Log: deps.Log, Replace: o.replace, Apply: o.apply,
	})

	return o
}

// Rules returns the rules in force, or nil.
func (o *operator) Rules() *rules.Set {
	if f := o.force.Load(); f != nil {
		return f.set
	}

	return nil
}

// row returns the row of the rules in force, or an empty one.
func (o *operator) row() spar.Row {
	if f := o.force.Load(); f != nil {
		return f.row
	}

	return spar.Row{}
}

// Keyed reports whether a service is divided by key, and whether that is known.
func (o *operator) Keyed(service string) (keyed, known bool) {
	set := o.Rules()
	if set == nil {
		return false, false
	}

	s, ok := set.Service(service)

	return s.Keyed, ok
}

// version returns the version of the rules in force, or 0.
func (o *operator) version() uint64 {
	if set := o.Rules(); set != nil {
		return set.Version
	}

	return 0
}

// Evacuated reports whether a zone is taken out.
func (o *operator) Evacuated(zone string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.out[zone]
}

// replace takes the whole table: zones that are not in it are in.
func (o *operator) replace(rows []spar.Row) {
	out := map[string]bool{}

	for _, r := range rows {
		if zone, gone, ok := o.adapter.Evacuated(r); ok && gone {
			out[zone] = true
		}
	}

	o.mu.Lock()
	changed := !maps.Equal(out, o.out)
	o.out = out
	o.mu.Unlock()

	if changed {
		o.log.Info("zones taken out", "count", len(out))
	}

	o.takeRules(rows)
}

// apply takes changed rows.
func (o *operator) apply(rows []spar.Row) {
	for _, r := range rows {
		zone, out, ok := o.adapter.Evacuated(r)
		if !ok {
			continue
		}

		o.mu.Lock()
		o.out[zone] = out
		o.mu.Unlock()
		o.log.Info("zone changes", "zone", zone, "out", out, "revision", r.Revision)
	}

	o.takeRules(rows)
}

// takeRules takes a newer version of the rules, from the store or from a peer. A version never goes back.
func (o *operator) takeRules(rows []spar.Row) {
	o.taking.Lock()
	defer o.taking.Unlock()

	for _, r := range rows {
		set, err := o.adapter.Rules(r)
		if err != nil {
			o.log.Error("rules refused", "revision", r.Revision, "cause", err)

			continue
		}

		if set == nil || set.Version <= o.version() && o.Rules() != nil {
			continue
		}

		o.force.Store(&inForce{set: set, row: r})
		o.log.Info("rules in force", "version", set.Version, "revision", r.Revision)
	}
}
