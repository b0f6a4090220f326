package mesh_test

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
)

// packetNet delivers packets between nodes in memory.
type packetNet struct {
	mu    sync.Mutex
	conns map[string]*packetConn
	// drop discards all packets.
	drop bool
}

// packetConn is a node's net.PacketConn.
type packetConn struct {
	net    *packetNet
	addr   string
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

func (n *packetNet) open(addr string) *packetConn {
	const pending = 64

	p := &packetConn{net: n, addr: addr, queue: make(chan []byte, pending), closed: make(chan struct{})}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.conns[addr] = p

	return p
}

func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()

	if q, ok := p.net.conns[to.String()]; ok && !p.net.drop {
		q.queue <- append([]byte{}, b...)
	}

	return len(b), nil
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case data := <-p.queue:
		return copy(b, data), &net.UDPAddr{}, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packetConn) Close() error {
	p.once.Do(func() { close(p.closed) })

	return nil
}

func (p *packetConn) LocalAddr() net.Addr              { return &net.UDPAddr{} }
func (p *packetConn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (p *packetConn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (p *packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// countingCaller counts the calls to peers.
type countingCaller struct {
	peers.Caller

	n atomic.Int64
}

func (c *countingCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	c.n.Add(1)

	return c.Caller.Call(ctx, addr, method, params, result)
}

// pairOfNodes is a fleet of two nodes, of which the first knows the second from the table.
type pairOfNodes struct {
	packets *packetNet
	nodes   [2]*mesh.Mesh
	calls   [2]*countingCaller
	clocks  [2]spar.Clock
	load    atomic.Int64
}

var addrs = [2]string{"10.0.0.1:7", "10.0.0.2:7"}

func startPair(t *testing.T) *pairOfNodes {
	t.Helper()

	network := fault.NewNet(1)
	f := &pairOfNodes{packets: &packetNet{conns: map[string]*packetConn{}}}

	for i, addr := range addrs {
		host, _, _ := net.SplitHostPort(addr)
		vm := network.VM(host, fault.Drift{})
		mux := peers.NewMux()
		f.calls[i] = &countingCaller{Caller: peers.NewPool(vm.Dial, &peers.Traffic{})}

		f.clocks[i] = vm.Clock()

		var seq atomic.Int64

		f.nodes[i] = mesh.New(host, mesh.Deps{
			Clock: f.clocks[i], Caller: f.calls[i], Log: log.New(io.Discard), OnState: func(mesh.State) {},
			Packets: f.packets.open(addr),
			Self: func() mesh.State {
				return mesh.State{
					Node: host, PeerAddr: addr, Seq: seq.Add(1), Utilization: float64(f.load.Load()), Service: "cards",
				}
			},
		})
		f.nodes[i].Register(mux)

		ln := vm.Listen(addr)

		go func() { _ = peers.NewServer(mux, &peers.Traffic{}).Serve(t.Context(), ln) }()
		go f.nodes[i].Run(t.Context())
	}

	f.nodes[0].AddPeer("10.0.0.2", addrs[1], "z", "cards")
	t.Cleanup(network.Close)

	return f
}

// Guards against exchanging states by calls between nodes that know each other: in a fleet of 74 nodes, a call
// and its reply for each exchange take most of a small VM's CPU time. Packets must carry the states instead.
func TestPacketsCarryStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPair(t)

		time.Sleep(3 * time.Second)

		before := f.calls[0].n.Load() + f.calls[1].n.Load()

		f.load.Store(1)
		time.Sleep(2 * time.Second)

		for i, name := range [2]string{"10.0.0.2", "10.0.0.1"} {
			p, ok := f.nodes[i].Peer(name)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, p.Utilization, qt.Equals, 1.0)
		}

		qt.Check(t, f.calls[0].n.Load()+f.calls[1].n.Load(), qt.Equals, before)
	})
}

// Guards against nodes that consider each other dead on a link that permanently loses packets but carries
// connections.
func TestCallsReplaceLostPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPair(t)

		time.Sleep(3 * time.Second)
		f.packets.mu.Lock()
		f.packets.drop = true
		f.packets.mu.Unlock()

		for range 40 {
			time.Sleep(250 * time.Millisecond)

			for i, name := range [2]string{"10.0.0.2", "10.0.0.1"} {
				p, ok := f.nodes[i].Peer(name)
				qt.Assert(t, ok && p.Alive(f.clocks[i].Now(), f.nodes[i].LivenessTimeout()), qt.IsTrue)
			}
		}
	})
}

// Guards against an invalid packet from another sender that adds a node or stops the receiving goroutine.
func TestInvalidPacketsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPair(t)
		to := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1).To4(), Port: 7}
		from := f.packets.open("10.0.0.9:7")

		for _, text := range []string{
			"", "\x00\x01", `{"jsonrpc":"2.0"}`, `{"jsonrpc":"2.0","method":"mesh.state","params":{"node":"x"}}`,
			`{"jsonrpc":"2.0","method":"other","params":{"node":"x","peer_addr":"10.0.0.9:7"}}`,
			`{"jsonrpc":"2.0","method":"mesh.state","params":{"node":7,"peer_addr":"10.0.0.9:7"}}`,
		} {
			_, err := from.WriteTo([]byte(text), to)
			qt.Assert(t, err, qt.IsNil)
		}

		time.Sleep(3 * time.Second)
		qt.Check(t, f.nodes[0].Peers(), qt.HasLen, 1)

		_, ok := f.nodes[1].Peer("10.0.0.1")
		qt.Check(t, ok, qt.IsTrue)
	})
}

// Guards against peers that are never contacted because many are added at once: when a large fleet was read
// from the table in one step, all nodes beyond the first 64 stayed unknown, and requests for their keys were
// refused.
func TestLargeFleetContactsAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 300

		calls := &recorder{addrs: map[string]bool{}}
		m := mesh.New("n", mesh.Deps{
			Clock: spar.RuntimeClock(), Caller: calls, Log: log.New(io.Discard), OnState: func(mesh.State) {},
			Self: func() mesh.State { return mesh.State{Node: "n", PeerAddr: "n:1"} },
		})

		for i := range nodes {
			name := "p" + strconv.Itoa(i)
			m.AddPeer(name, name+":1", "z", "cards")
		}

		go m.Run(t.Context())

		time.Sleep(time.Second)
		calls.mu.Lock()
		qt.Check(t, calls.addrs, qt.HasLen, nodes)
		calls.mu.Unlock()
	})
}

// recorder records the called addresses and fails each call.
type recorder struct {
	mu    sync.Mutex
	addrs map[string]bool
}

func (r *recorder) Call(_ context.Context, addr, _ string, _, _ any) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.addrs[addr] = true

	return net.ErrClosed
}

// Guards against opening a connection between every two nodes when a fleet starts, which is 43,000 connections
// at 295 nodes, and against a call to each peer when a node announces a change.
func TestStartNeedsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPair(t)

		time.Sleep(time.Second)
		f.load.Store(2)
		f.nodes[0].Announce()
		f.nodes[1].Announce()
		time.Sleep(20 * time.Millisecond)

		for i, name := range [2]string{"10.0.0.2", "10.0.0.1"} {
			p, ok := f.nodes[i].Peer(name)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, p.Utilization, qt.Equals, 2.0)
		}

		qt.Check(t, f.calls[0].n.Load()+f.calls[1].n.Load(), qt.Equals, int64(0))
	})
}
