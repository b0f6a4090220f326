package mesh_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/mesh"
)

// singlePacketConn is a net.PacketConn that receives one packet.
type singlePacketConn struct {
	net.PacketConn

	data []byte
	read bool
	// onRead is called at the next read after the packet.
	onRead func()
}

// ReadFrom returns the packet once, and net.ErrClosed after that.
func (p *singlePacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	if p.read {
		p.onRead()

		return 0, nil, net.ErrClosed
	}

	p.read = true

	return copy(b, p.data), &net.UDPAddr{}, nil
}

// Close does nothing.
func (*singlePacketConn) Close() error { return nil }

// FuzzPacket guards against a packet that makes the process panic, or that is accepted as a state without a
// node or address.
func FuzzPacket(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","method":"mesh.state","params":{"node":"n2","peer_addr":"10.0.0.2:1","seq":1}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"mesh.state","params":{"node":"n2"}}`))
	f.Add([]byte("\x00{"))

	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		m := mesh.New("n1", mesh.Deps{
			Clock: spar.RuntimeClock(), Log: log.New(io.Discard), Packets: &singlePacketConn{data: data, onRead: cancel},
			Self:    func() mesh.State { return mesh.State{Node: "n1"} },
			OnState: func(mesh.State) {},
		})
		m.Run(ctx)

		for _, p := range m.Peers() {
			if p.Node == "" || p.PeerAddr == "" {
				t.Fatalf("state without a node: %+v", p.State)
			}
		}
	})
}
