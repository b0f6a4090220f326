package fault

import (
	"context"
	"fmt"
	"net"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
)

// VM is one host of the network with its clock.
type VM struct {
	net   *Net
	host  string
	drift Drift
}

// VM returns the VM at host, which runs, even if one there was killed before.
func (n *Net) VM(host string, d Drift) *VM {
	n.change(func() {
		delete(n.frozen, host)
		delete(n.dead, host)
	})

	return &VM{net: n, host: host, drift: d}
}

// Host returns the VM's host.
func (v *VM) Host() string {
	return v.host
}

// Freeze stops the VM as a pause or a suspension does: its clock calls, timers, connections and
// table calls wait until Thaw, while time goes on.
func (v *VM) Freeze() {
	v.net.change(func() { v.net.frozen[v.host] = true })
}

// Thaw lets a frozen VM run again.
func (v *VM) Thaw() {
	v.net.change(func() { delete(v.net.frozen, v.host) })
}

// Kill closes the VM's connections and refuses its calls from then on. The test ends its tasks.
func (v *VM) Kill() {
	v.net.change(func() {
		v.net.dead[v.host] = true
		delete(v.net.frozen, v.host)

		for addr, l := range v.net.listeners {
			if hostOf(addr) == v.host {
				l.stop()
				delete(v.net.listeners, addr)
			}
		}
	})
	v.net.closeIf(func(p pair) bool { return p.from == v.host || p.to == v.host })
}

// Peek returns the time on the VM's clock even while it is frozen.
func (v *VM) Peek() spar.Millis {
	return v.drift.Offset + spar.MillisOf(time.Since(v.net.base))*spar.Millis(1+v.drift.Rate)
}

// Clock returns the VM's clock.
func (v *VM) Clock() spar.Clock {
	return spar.NewClock(func() spar.Millis {
		v.net.awaitThaw(v.net.ctx, v.host)

		return v.Peek()
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
	if v.dead() {
		return nil, errClosed
	}

	return v.net.connect(ctx, v.host, addr)
}

func (v *VM) dead() bool {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()

	return v.net.dead[v.host]
}

// Calls returns a caller that loses, delays and duplicates calls and replies as the links say.
// Links with jitter reorder them.
func (v *VM) Calls(inner peers.Caller) peers.Caller {
	return caller{vm: v, inner: inner}
}

type caller struct {
	vm    *VM
	inner peers.Caller
}

// Call passes a call on with the faults of the link.
func (c caller) Call(ctx context.Context, addr, method string, params, result any) error {
	n, from, to := c.vm.net, c.vm.host, hostOf(addr)
	link, back := n.Link(from, to), n.Link(to, from)

	if c.vm.dead() {
		return errClosed
	}

	if n.draw(link.Lose) {
		<-ctx.Done()

		return fmt.Errorf("request lost: %w", ctx.Err())
	}

	if link.Jitter > 0 && !sleep(ctx, n.delay(from, to)) {
		return ctx.Err()
	}

	if n.draw(link.Duplicate) {
		go copied{c, addr, method, params}.run(ctx)
	}

	err := c.inner.Call(ctx, addr, method, params, result)

	if n.draw(back.Lose) {
		<-ctx.Done()

		return fmt.Errorf("reply lost: %w", ctx.Err())
	}

	if back.Jitter > 0 && !sleep(ctx, n.delay(to, from)) {
		return ctx.Err()
	}

	return err
}

// copied is the second copy of a call, whose reply nobody reads.
type copied struct {
	c            caller
	addr, method string
	params       any
}

func (d copied) run(ctx context.Context) {
	var result any

	if sleep(ctx, d.c.vm.net.delay(d.c.vm.host, hostOf(d.addr))) {
		_ = d.c.inner.Call(ctx, d.addr, d.method, d.params, &result)
	}
}
