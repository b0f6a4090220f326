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

// operator holds the settings of operators: the rules in force and the withdrawn zones.
type operator struct {
	adapter Adapter
	log     *log.Logger
	// feed follows the operators' table.
	feed *follow.Follower

	active atomic.Pointer[activeRules]

	// rulesMu is held while a version is compared with active and put in force.
	rulesMu sync.Mutex

	mu        sync.Mutex
	withdrawn map[string]bool
}

// activeRules are the rules in force and the row that contains them.
type activeRules struct {
	set *rules.Set
	row spar.Row
}

func newOperator(deps Deps) *operator {
	o := &operator{adapter: deps.Adapter, log: deps.Log, withdrawn: map[string]bool{}}
	table := deps.Adapter.OperatorTable()
	o.feed = follow.New(follow.Settings{Name: table, Prefix: table + "//"}, follow.Deps{
		Clock: deps.Clock, Table: deps.Table, Log: deps.Log, Replace: o.replace, Apply: o.apply,
	})

	return o
}

// Rules returns the rules in force, or nil.
func (o *operator) Rules() *rules.Set {
	if active := o.active.Load(); active != nil {
		return active.set
	}

	return nil
}

// rulesRow returns the row of the rules in force, or an empty one.
func (o *operator) rulesRow() spar.Row {
	if active := o.active.Load(); active != nil {
		return active.row
	}

	return spar.Row{}
}

// Keyed reports whether the requests of a service are distributed by key, and whether that is known.
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

// ZoneWithdrawn reports whether a zone is withdrawn.
func (o *operator) ZoneWithdrawn(zone string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.withdrawn[zone]
}

// replace applies the complete table. Zones that are not in it are not withdrawn.
func (o *operator) replace(rows []spar.Row) {
	withdrawn := map[string]bool{}

	for _, r := range rows {
		if zone, isWithdrawn, ok := o.adapter.ZoneWithdrawal(r); ok && isWithdrawn {
			withdrawn[zone] = true
		}
	}

	o.mu.Lock()
	changed := !maps.Equal(withdrawn, o.withdrawn)
	o.withdrawn = withdrawn
	o.mu.Unlock()

	if changed {
		o.log.Info("withdrawn zones changed", "count", len(withdrawn))
	}

	o.updateRules(rows)
}

// apply applies changed rows.
func (o *operator) apply(rows []spar.Row) {
	for _, r := range rows {
		zone, withdrawn, ok := o.adapter.ZoneWithdrawal(r)
		if !ok {
			continue
		}

		o.mu.Lock()
		o.withdrawn[zone] = withdrawn
		o.mu.Unlock()
		o.log.Info("withdrawal of zone changed", "zone", zone, "out", withdrawn, "revision", r.Revision)
	}

	o.updateRules(rows)
}

// updateRules puts newer rules from the store or a peer in force. It never returns to an earlier version.
func (o *operator) updateRules(rows []spar.Row) {
	o.rulesMu.Lock()
	defer o.rulesMu.Unlock()

	for _, r := range rows {
		set, err := o.adapter.Rules(r)
		if err != nil {
			o.log.Error("invalid rules", "revision", r.Revision, "cause", err)

			continue
		}

		if set == nil || set.Version <= o.version() && o.Rules() != nil {
			continue
		}

		o.active.Store(&activeRules{set: set, row: r})
		o.log.Info("rules in force", "version", set.Version, "revision", r.Revision)
	}
}
