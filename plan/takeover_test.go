package plan_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/plan"
)

// Guards against a takeover of a lost zone in many or large transactions, slots that stay with lost nodes
// or go to withdrawn ones, receivers without a condition on their row, and epochs or base epochs that are
// not increased.
func TestTakeoverTxnForLostZone(t *testing.T) {
	c := qt.New(t)
	service := spar.Service{Name: "pledge-desk", Mode: spar.ModeKeyed, Slots: 4096}
	replica := fleet.NewReplica()
	put := func(key string, value any) {
		replica.Merge([]spar.Row{{Key: key, Value: fleet.Encode(value), Revision: replica.View().CompleteRevision() + 1}},
			replica.View().CompleteRevision()+1)
	}
	id := func(i int) spar.NodeID { return spar.NodeID(fmt.Sprintf("vm%d.x", i)) }

	put(fleet.ServiceKey(service.Name), service)
	put(fleet.ZoneKey("3"), spar.Withdrawal{Name: "3", Withdrawn: true})

	for i := range 440 {
		put(fleet.NodeKey(id(i)), spar.Node{
			ID: id(i), Service: service.Name, Zone: spar.Zone(fmt.Sprint(i % 4)), State: spar.NodeLive,
		})
	}

	for i := range service.SegmentCount() {
		g := spar.NewSegment(service, i)
		for j := range g.Slots {
			g.Slots[j] = spar.Assignment{Owner: id((int(g.FirstSlot()) + j) % 440), Epoch: 5, Base: 2}
		}

		put(fleet.SegmentKey(service.Name, i), g)
	}

	v := replica.View()
	lost := make([]fleet.Versioned[spar.Node], 0, 110)

	for i := 1; i < 440; i += 4 {
		n, _ := v.Node(id(i))
		lost = append(lost, n)
	}

	txn := plan.TakeoverTxn(v, lost...)
	c.Assert(txn.Writes, qt.HasLen, 110+16)

	for i, w := range txn.Writes[110:] {
		var g spar.Segment

		c.Assert(json.Unmarshal(w.Value, &g), qt.IsNil)

		for j, a := range g.Slots {
			before := v.Segment(service, i).Value.Slots[j]
			n, _ := v.Node(a.Owner)
			c.Assert(n.Value.Zone, qt.Not(qt.Equals), spar.Zone("1"))

			if a == before {
				continue
			}

			checked := spar.Condition{Key: fleet.NodeKey(a.Owner), Revision: n.Revision}
			c.Assert(n.Value.Zone, qt.Not(qt.Equals), spar.Zone("3"))
			c.Assert(a, qt.Equals, spar.Assignment{Owner: a.Owner, Epoch: 6, Base: 6})
			c.Assert(slices.Contains(txn.Conditions, checked), qt.IsTrue)
		}
	}
}
