package relay

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/follow"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/zones"
)

// operator holds the settings of operators: the rules in force and the withdrawn zones.
type operator struct {
	adapter Adapter
	clock   spar.Clock
	log     *log.Logger
	// feed follows the operators' table.
	feed *follow.Follower

	active atomic.Pointer[activeRules]

	// rulesMu is held while a version is compared with active and put in force.
	rulesMu sync.Mutex

	zones *zones.Set
}

// activeRules are the rules in force and the row that contains them.
type activeRules struct {
	set *rules.Set
	row spar.Row
}

func newOperator(deps Deps, membership func() follow.Membership) *operator {
	o := &operator{adapter: deps.Adapter, clock: deps.Clock, log: deps.Log, zones: zones.New()}
	table := deps.Adapter.OperatorTable()
	o.feed = follow.New(follow.Settings{Name: table, Prefix: table + "//"}, follow.Deps{
		Clock: deps.Clock, Table: deps.Table, Log: deps.Log, Membership: membership, Replace: o.replace,
		Apply: o.apply,
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
	return o.zones.Withdrawn(zone)
}

// replace applies the complete table as of a revision. Zones that are not in it are not withdrawn.
func (o *operator) replace(rows []spar.Row, revision spar.Revision) {
	snapshot := zones.Snapshot{Revision: revision}

	for _, c := range o.zoneChanges(rows) {
		if c.Withdrawn {
			snapshot.Withdrawn = append(snapshot.Withdrawn, c.Zone)
		}
	}

	o.replaceZones(snapshot)
	o.updateRules(rows)
}

// apply applies changed rows.
func (o *operator) apply(rows []spar.Row) {
	if o.zones.Apply(o.zoneChanges(rows)) {
		o.logZones()
	}

	o.updateRules(rows)
}

// zoneChanges decodes the changes of zones from rows.
func (o *operator) zoneChanges(rows []spar.Row) []zones.Change {
	var changes []zones.Change

	for _, r := range rows {
		if zone, withdrawn, ok := o.adapter.ZoneWithdrawal(r); ok {
			changes = append(changes, zones.Change{Zone: zone, Withdrawn: withdrawn, Revision: r.Revision})
		}
	}

	return changes
}

// replaceZones applies a snapshot of the withdrawn zones from the store or a peer.
func (o *operator) replaceZones(s zones.Snapshot) {
	restored := s.Revision.Era() > o.zones.Snapshot().Revision.Era()
	if o.zones.Replace(s) {
		o.logZones()
	}

	if retained := o.zones.Retained(); restored && len(retained) > 0 {
		o.log.Warn("restored store lists fewer withdrawn zones; keeping them withdrawn for a time", "zones", retained)
		o.releaseZonesLater(s.Revision.Era())
	}
}

// zoneRetention is how long zones stay withdrawn whose rows a restore of the store lost, until operators have written
// them again. Requests to such a zone would break a withdrawal that operators believe to be in force.
const zoneRetention spar.Millis = 12_000

// releaseZonesLater ends the retention of zones after zoneRetention, unless the store has been restored again.
func (o *operator) releaseZonesLater(era int64) {
	t := o.clock.Timer(zoneRetention)

	go func() {
		<-t.C

		if o.zones.Snapshot().Revision.Era() == era {
			o.zones.Release()
		}
	}()
}

func (o *operator) logZones() {
	s := o.zones.Snapshot()
	o.log.Info("withdrawn zones changed", "withdrawn", s.Withdrawn, "revision", s.Revision)
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
