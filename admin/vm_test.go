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

// vm is a VM with the parts of a spard that operators use. A restart keeps only the index, the store with
// its faults and the highest generation that was in force on the VM.
type vm struct {
	*world

	index         int
	store         *store
	maxGeneration atomic.Int64

	incarnation int
	listener    *listener
	replica     *fleet.Replica
	sync        *fleet.Sync
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
	unixMillis := func() int64 { return time.Now().UnixMilli() }

	v.mu.Lock()
	v.incarnation++
	v.listener, v.stop = newListener(), stop
	v.mu.Unlock()

	v.replica, v.ring = fleet.NewReplica(), event.NewRing(256, unixMillis)
	v.ring.SetNode(v.id())

	pool := peers.NewPool(v.dialer(v.index), &peers.Traffic{}).SetLogicalClock(v.ring)
	v.sync = fleet.NewSync(v.replica, v.store, pool, clock, v.ring)
	v.follower = preset.NewFollower(v.replica, v.id, clock, v.ring, v.checkGeneration)
	service := admin.New(admin.Deps{
		Self: v.id, Replica: v.replica, Sync: v.sync, Table: v.store, Caller: pool, Ring: v.ring,
		Clock: clock, UnixMillis: unixMillis,
		Report: func() admin.NodeReport { return admin.NodeReport{Generation: v.follower.Generation()} },
	})

	mux := peers.NewMux()
	v.sync.Register(mux)
	service.Register(mux)

	node := spar.Node{ID: v.id(), VM: v.addr(), PeerAddr: v.addr(), Service: "desk", State: spar.NodeLive}
	node.Capacity.Slots = 10

	if len(zones) > 0 {
		node.Zone = zones[v.index%len(zones)]
	}

	server := peers.NewServer(mux, &peers.Traffic{}).SetLogicalClock(v.ring)
	ln, follower := v.listener, v.follower

	for _, run := range []func(context.Context){
		v.sync.Run, follower.Run, service.Run,
		func(ctx context.Context) { _ = server.Serve(ctx, ln) },
		func(ctx context.Context) { v.register(ctx, node) },
		func(ctx context.Context) { <-ctx.Done(); pool.Close() },
	} {
		v.wg.Go(func() { run(ctx) })
	}
}

// register commits the node's row, as the agent does.
func (v *vm) register(ctx context.Context, node spar.Node) {
	m := fleet.NewMember(node, v.sync, v.store, spar.RuntimeClock())
	if c := m.Update(ctx, func(n spar.Node) spar.Node { return n }); c.Verdict != spar.VerdictApplied {
		return
	}

	m.Announce(ctx)
}

// halt ends the process and marks its row as lost, as a takeover does.
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

// checkGeneration compares a generation that comes into force on the VM with the oracle. The follower calls it.
func (v *vm) checkGeneration(a preset.Activation) {
	if want, ok := v.generation(a.Generation); !ok || want.Op != a.Op || want.Preset.ID() != a.Preset.ID() {
		v.problem("%s has preset %s as generation %d, want %s", v.id(), a.ID(), a.Generation, want.ID())
	}

	if a.Generation < v.maxGeneration.Load() {
		v.problem("%s went from generation %d back to %d", v.id(), v.maxGeneration.Load(), a.Generation)
	}

	v.maxGeneration.Store(a.Generation)
}

// attempt is one operator's change with its last known result.
type attempt struct {
	change preset.ActivateParams
	result change.Result
}

const operatorTimeout = 10 * time.Second

// send sends a change to one VM after the other until its result is known or operatorTimeout has passed, as
// sparctl does. Once a VM may have written the change to the table, a later response that the table is
// unavailable does not make the result known.
func (w *world) send(a *attempt, first int) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()

	pool := peers.NewPool(w.dialer(operatorIndex), &peers.Traffic{})
	defer pool.Close()

	maybeSent := a.result.Verdict == change.Unknown

	for i := first; ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, 6*time.Second)

		var r change.Result

		err := pool.Call(callCtx, w.vms[i%len(w.vms)].addr(), admin.MethodPresetForce, a.change, &r)

		cancel()

		maybeSent = maybeSent || err != nil || r.Verdict == change.Unknown

		if g := w.generationOf(a.change.Op); g != 0 && !maybeSent && r.Verdict != change.Accepted {
			w.problem("%s was reported as %s, but is generation %d", a.change.Op, r.Verdict, g)
		}

		if err == nil && r.Verdict != change.Unknown && r.Verdict != change.Unavailable {
			a.result = r

			return
		}

		time.Sleep(200 * time.Millisecond)
	}

	a.result = change.Result{Verdict: change.Unavailable}
	if maybeSent {
		a.result.Verdict = change.Unknown
	}
}

// checkResult compares the result that an operator got with the oracle.
func (w *world) checkResult(a *attempt) {
	generation := w.generationOf(a.change.Op)

	switch a.result.Verdict {
	case change.Accepted:
		if generation == 0 || generation != a.result.Generation || generation != a.change.Seen+1 {
			w.problem("%s was accepted as generation %d, but is generation %d", a.change.Op, a.result.Generation, generation)
		}
	case change.Conflict:
		winner, ok := w.generation(a.change.Seen + 1)
		reported := a.result.Winner

		if generation != 0 || !ok || reported == nil || reported.Op != winner.Op || reported.By != winner.By ||
			reported.Generation != winner.Generation || reported.What != "preset "+winner.ID() {
			w.problem("%s (generation %d) was reported as a conflict with %+v, want %+v",
				a.change.Op, generation, reported, winner)
		}
	case change.Refused, change.Unavailable:
		if generation != 0 {
			w.problem("%s was reported as %s, but is generation %d", a.change.Op, a.result.Verdict, generation)
		}
	case change.Unknown:
	}
}
