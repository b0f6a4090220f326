package fault_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/table"
)

type text struct{ Text string }

// Guards against a simulated network that passes calls over a cut link or to a frozen host, or that doesn't
// recover afterward.
func TestNetCutsAndFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := fault.NewNet(1)
		a, b := network.VM("10.0.0.1", fault.Drift{}), network.VM("10.0.0.2", fault.Drift{})
		network.Set("10.0.0.1", "10.0.0.2", fault.Link{Delay: 3 * time.Millisecond})

		mux := peers.NewMux()
		peers.Handle(mux, "echo", func(_ context.Context, p text) (text, error) { return p, nil })

		go func() { _ = peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, b.Listen("10.0.0.2:1")) }()

		pool := peers.NewPool(a.Dial, &peers.Traffic{})
		call := func() (time.Duration, error) {
			ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()

			var r text

			began := time.Now()
			err := a.Caller(pool).Call(ctx, "10.0.0.2:1", "echo", text{"x"}, &r)

			return time.Since(began), err
		}

		_, err := call()
		c.Assert(err, qt.IsNil)

		took, err := call()
		c.Assert(err, qt.IsNil)
		c.Assert(took, qt.Equals, 3*time.Millisecond)

		for _, f := range []struct{ begin, end func() }{
			{func() { network.Cut("10.0.0.1", "10.0.0.2") }, func() { network.Heal("10.0.0.1", "10.0.0.2") }},
			{func() { network.Cut("10.0.0.2", "10.0.0.1") }, func() { network.Heal("10.0.0.2", "10.0.0.1") }},
			{b.Freeze, b.Thaw},
		} {
			f.begin()

			_, err = call()
			c.Assert(err, qt.IsNotNil)
			f.end()

			_, err = call()
			c.Assert(err, qt.IsNil)
		}

		b.Kill()

		_, err = call()
		c.Assert(err, qt.IsNotNil)

		cancel()
		network.Close()
		pool.Close()
	})
}

// Guards against a clock that stops while its VM is suspended, or whose timers ignore its rate.
func TestClockDriftsAndFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := fault.NewNet(1)
		defer network.Close()

		vm := network.VM("10.0.0.1", fault.Drift{Rate: 0.25, Offset: 7})
		began := time.Now()

		c.Assert(vm.Clock().Sleep(t.Context(), 1000), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, 800*time.Millisecond)
		c.Assert(vm.Clock().Now(), qt.Equals, spar.Millis(1007))

		vm.Freeze()
		time.AfterFunc(2*time.Second, vm.Thaw)
		c.Assert(vm.Clock().Now(), qt.Equals, spar.Millis(3507))
	})
}

// Guards against a store in which transactions don't take effect if their reply is lost or their sender gives up.
func TestStoreEffectsOutliveReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := fault.NewNet(1)
		defer network.Close()

		store := fault.NewStore(table.NewMemory())
		rows := network.VM("10.0.0.1", fault.Drift{}).Table(store)
		put := func(key string) spar.Verdict {
			return rows.Commit(t.Context(), spar.Txn{Writes: []spar.Write{{Key: key, Value: []byte(`1`)}}}).Verdict
		}
		has := func(key string) bool {
			_, ok, err := rows.Get(t.Context(), key)

			return ok && err == nil
		}

		store.Set(fault.StoreFaults{LostReplies: 1})
		c.Assert(put("a"), qt.Equals, spar.VerdictUnknown)
		c.Assert(has("a"), qt.IsTrue)

		store.Set(fault.StoreFaults{Delay: 3 * time.Second})
		c.Assert(put("b"), qt.Equals, spar.VerdictUnknown)
		store.Set(fault.StoreFaults{})
		c.Assert(has("b"), qt.IsFalse)
		time.Sleep(3 * time.Second)
		c.Assert(has("b"), qt.IsTrue)

		store.Set(fault.StoreFaults{Outage: true})
		c.Assert(put("c"), qt.Equals, spar.VerdictUnknown)
		store.Set(fault.StoreFaults{})
		network.Cut("10.0.0.1", fault.StoreHost)
		c.Assert(put("c"), qt.Equals, spar.VerdictUnknown)
		network.Heal("10.0.0.1", fault.StoreHost)
		c.Assert(has("c"), qt.IsFalse)
	})
}
