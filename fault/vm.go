package fault

import (
	"context"
	"fmt"
	"net"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
)

// VM is a host of the network with its own clock.
type VM struct {
	net   *Net
	host  string
	drift Drift
}

// VM returns a running VM at host, even if an earlier one there was frozen or killed.
func (n *Net) VM(host string, d Drift) *VM {
	n.change(func() {
		delete(n.frozen, host)
		delete(n.killed, host)
	})

	return &VM{net: n, host: host, drift: d}
}

// Host returns the name of the VM's host.
func (v *VM) Host() string {
	return v.host
}

// Freeze stops the VM as a pause or suspension does: its clock calls, timers, connections and table calls wait
// until Thaw, while its clock keeps advancing.
func (v *VM) Freeze() {
	v.net.change(func() { v.net.frozen[v.host] = true })
}

// Thaw resumes a frozen VM.
func (v *VM) Thaw() {
	v.net.change(func() { delete(v.net.frozen, v.host) })
}

// Kill closes the VM's listeners and connections and refuses its calls from then on. The test itself must end
// the VM's goroutines.
func (v *VM) Kill() {
	v.net.change(func() {
		v.net.killed[v.host] = true
		delete(v.net.frozen, v.host)

		for addr, l := range v.net.listeners {
			if hostOf(addr) == v.host {
				l.shut()
				delete(v.net.listeners, addr)
			}
		}
	})
	v.net.closeStreams(func(p direction) bool { return p.from == v.host || p.to == v.host })
}

// PeekClock returns the time on the VM's clock even while it is frozen.
func (v *VM) PeekClock() spar.Millis {
	return v.drift.Offset + spar.MillisOf(time.Since(v.net.base))*spar.Millis(1+v.drift.Rate)
}

// Clock returns the VM's clock.
func (v *VM) Clock() spar.Clock {
	return spar.NewClock(func() spar.Millis {
		v.net.awaitThaw(v.net.ctx, v.host)

		return v.PeekClock()
	}, func(d spar.Millis) *time.Timer {
		fired := make(chan time.Time, 1)
		t := time.AfterFunc((d / spar.Millis(1+v.drift.Rate)).Duration(), func() {
			v.net.awaitThaw(v.net.ctx, v.host)
			fired <- time.Now()
		})
		t.C = fired

		return t
	})
}

// Listen returns a listener at one of the VM's addresses.
func (v *VM) Listen(addr string) net.Listener {
	l := &listener{net: v.net, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}

	v.net.mu.Lock()
	defer v.net.mu.Unlock()

	v.net.listeners[addr] = l

	return l
}

// Dial opens a connection to addr. It is a peers.Dialer.
func (v *VM) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if v.isKilled() {
		return nil, errClosed
	}

	return v.net.connect(ctx, v.host, addr)
}

func (v *VM) isKilled() bool {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()

	return v.net.killed[v.host]
}

// Caller wraps inner with the faults of the VM's links: it loses, delays and duplicates calls and replies. Links
// with jitter reorder them.
func (v *VM) Caller(inner peers.Caller) peers.Caller {
	return faultyCaller{vm: v, inner: inner}
}

// faultyCaller makes calls with the faults of a VM's links.
type faultyCaller struct {
	vm    *VM
	inner peers.Caller
}

// Call makes a call with the faults of the links to and from the peer.
func (c faultyCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	n, from, to := c.vm.net, c.vm.host, hostOf(addr)
	link, reverse := n.Link(from, to), n.Link(to, from)

	if c.vm.isKilled() {
		return errClosed
	}

	if n.chance(link.LossRate) {
		<-ctx.Done()

		return fmt.Errorf("request lost: %w", ctx.Err())
	}

	if link.Jitter > 0 && !sleep(ctx, n.delay(from, to)) {
		return ctx.Err()
	}

	if n.chance(link.DuplicateRate) {
		go duplicateCall{c, addr, method, params}.run(ctx)
	}

	err := c.inner.Call(ctx, addr, method, params, result)

	if n.chance(reverse.LossRate) {
		<-ctx.Done()

		return fmt.Errorf("reply lost: %w", ctx.Err())
	}

	if reverse.Jitter > 0 && !sleep(ctx, n.delay(to, from)) {
		return ctx.Err()
	}

	return err
}

// duplicateCall is the second copy of a duplicated call, whose reply is discarded.
type duplicateCall struct {
	caller       faultyCaller
	addr, method string
	params       any
}

func (c duplicateCall) run(ctx context.Context) {
	var result any

	if sleep(ctx, c.caller.vm.net.delay(c.caller.vm.host, hostOf(c.addr))) {
		_ = c.caller.inner.Call(ctx, c.addr, c.method, c.params, &result)
	}
}
