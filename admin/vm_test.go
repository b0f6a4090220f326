package admin_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/preset"
)

// vm is a VM with the parts of a spard that operators use; a restart replaces all but the index,
// the table's faults and the highest generation seen.
type vm struct {
	*world

	index int
	store *store
	high  atomic.Int64

	incarnation int
	listener    *listener
	replica     *fleet.Replica
	spread      *fleet.Sync
	follower    *preset.Follower
	ring        *event.Ring
	stop        context.CancelFunc
	wg          sync.WaitGroup
}

func (w *world) start(n int, zones ...spar.Zone) {
	for i := range n {
		w.vms = append(w.vms, &vm{
			world: w, index: i, store: &store{world: w, index: i}, listener: newListener(),
		})
	}

	for _, v := range w.vms {
		v.boot(zones)
	}
}

func (v *vm) id() spar.NodeID {
	return spar.NodeID(fmt.Sprintf("vm%d.%d", v.index, v.incarnation))
}

func (v *vm) addr() string {
	return fmt.Sprintf("vm%d", v.index)
}

func (v *vm) boot(zones []spar.Zone) {
	ctx, stop := context.WithCancel(context.Background())
	clock := spar.RuntimeClock()
	wall := func() int64 { return time.Now().UnixMilli() }

	v.mu.Lock()
	v.incarnation++
	v.listener, v.stop = newListener(), stop
	v.mu.Unlock()

	v.replica, v.ring = fleet.NewReplica(), event.NewRing(256, wall)
	v.ring.Named(v.id())

	pool := peers.NewPool(v.dialer(v.index), &peers.Traffic{}).Stamped(v.ring)
	v.spread = fleet.NewSync(v.replica, v.store, pool, clock, v.ring)
	v.follower = preset.NewFollower(v.replica, v.id, clock, v.ring, v.came)
	service := admin.New(admin.Deps{
		Self: v.id, Replica: v.replica, Spread: v.spread, Table: v.store, Calls: pool, Ring: v.ring,
		Clock: clock, Wall: wall,
		Report: func() admin.NodeReport { return admin.NodeReport{Generation: v.follower.Generation()} },
	})

	mux := peers.NewMux()
	v.spread.Register(mux)
	service.Register(mux)

	node := spar.Node{ID: v.id(), VM: v.addr(), PeerAddr: v.addr(), Service: "desk", State: spar.NodeLive}
	node.Capacity.Slots = 10

	if len(zones) > 0 {
		node.Zone = zones[v.index%len(zones)]
	}

	server := peers.NewServer(mux, &peers.Traffic{}).Stamped(v.ring)
	ln, follower := v.listener, v.follower

	for _, run := range []func(context.Context){
		v.spread.Run, follower.Run, service.Run,
		func(ctx context.Context) { _ = server.Serve(ctx, ln) },
		func(ctx context.Context) { v.register(ctx, node) },
		func(ctx context.Context) { <-ctx.Done(); pool.Close() },
	} {
		v.wg.Go(func() { run(ctx) })
	}
}

// register commits the node's row, as the agent does.
func (v *vm) register(ctx context.Context, node spar.Node) {
	m := fleet.NewMember(node, v.spread, v.store, spar.RuntimeClock())
	if c := m.Update(ctx, func(n spar.Node) spar.Node { return n }); c.Verdict != spar.Applied {
		return
	}

	m.Announce(ctx)
}

// halt ends the process; its row becomes lost, as after a takeover.
func (v *vm) halt() {
	v.stop()
	_ = v.listener.Close()
	v.wg.Wait()

	if row, ok, _ := v.table.Get(context.Background(), fleet.NodeKey(v.id())); ok {
		v.apply(context.Background(), spar.Txn{Writes: []spar.Write{{
			Key:   row.Key,
			Value: fleet.Encode(spar.Node{ID: v.id(), VM: v.addr(), PeerAddr: v.addr(), State: spar.NodeLost}),
		}}})
	}
}

// came checks a generation that comes into force on the VM against the oracle.
func (v *vm) came(f preset.Force) {
	if want, ok := v.generation(f.Generation); !ok || want.Op != f.Op || want.Preset.ID() != f.Preset.ID() {
		v.problem("%s has %s under generation %d, the register has %s", v.id(), f.ID(), f.Generation, want.ID())
	}

	if f.Generation < v.high.Load() {
		v.problem("%s went from generation %d back to %d", v.id(), v.high.Load(), f.Generation)
	}

	v.high.Store(f.Generation)
}

// attempt is one operator's change with its last known result.
type attempt struct {
	change preset.Change
	result change.Result
}

const operatorPatience = 10 * time.Second

// send sends a change to the VMs in turn until its result is known or the operator gives up, as
// sparctl does. Doubt is never taken back by a later answer that nothing was sent.
func (w *world) send(a *attempt, first int) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()

	pool := peers.NewPool(w.dialer(operatorIndex), &peers.Traffic{})
	defer pool.Close()

	doubt := a.result.Verdict == change.Unknown

	for i := first; ctx.Err() == nil; i++ {
		one, cancel := context.WithTimeout(ctx, 6*time.Second)

		var r change.Result

		err := pool.Call(one, w.vms[i%len(w.vms)].addr(), admin.MethodPresetForce, a.change, &r)

		cancel()

		doubt = doubt || err != nil || r.Verdict == change.Unknown

		if g := w.of(a.change.Op); g != 0 && !doubt && r.Verdict != change.Accepted {
			w.problem("%s was answered as %s while it is generation %d", a.change.Op, r.Verdict, g)
		}

		if err == nil && r.Verdict != change.Unknown && r.Verdict != change.Unavailable {
			a.result = r

			return
		}

		time.Sleep(200 * time.Millisecond)
	}

	a.result = change.Result{Verdict: change.Unavailable}
	if doubt {
		a.result.Verdict = change.Unknown
	}
}

// judge holds an operator's result against the oracle.
func (w *world) judge(a *attempt) {
	got := w.of(a.change.Op)

	switch a.result.Verdict {
	case change.Accepted:
		if got == 0 || got != a.result.Generation || got != a.change.Seen+1 {
			w.problem("%s was accepted as generation %d, the register has %d", a.change.Op, a.result.Generation, got)
		}
	case change.Conflict:
		winner, ok := w.generation(a.change.Seen + 1)
		named := a.result.Winner

		if got != 0 || !ok || named == nil || named.Op != winner.Op || named.By != winner.By ||
			named.Generation != winner.Generation || named.What != "preset "+winner.ID() {
			w.problem("%s (generation %d) got a conflict with %+v, the winner is %+v", a.change.Op, got, named, winner)
		}
	case change.Refused, change.Unavailable:
		if got != 0 {
			w.problem("%s was reported as %s, but is generation %d", a.change.Op, a.result.Verdict, got)
		}
	case change.Unknown:
	}
}
