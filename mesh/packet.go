package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"

	spar "sardinespar.example/spar"
)

const (
	// maxPacketBytes is the size of the buffer for a received packet.
	maxPacketBytes = 4 << 10
	// packetTTL is how long an encoded state is reused for further peers before it is encoded again.
	packetTTL spar.Millis = 100
	// rpcVersion is the JSON-RPC version of the notifications in packets.
	rpcVersion = "2.0"
)

// notification is a JSON-RPC notification with a node's state. A peer receives it with one read and sends no
// reply. A lost notification needs no resending, since the next one replaces it.
type notification struct {
	Version string `json:"jsonrpc"`
	Method  string `json:"method"`
	Params  State  `json:"params"`
}

// encodeState encodes a state as a packet.
func encodeState(s State) []byte {
	data, err := json.Marshal(notification{Version: rpcVersion, Method: methodState, Params: s})
	if err != nil {
		panic(fmt.Sprintf("mesh: state can't be encoded: %v", err))
	}

	return data
}

// decodeState decodes a packet and validates its state.
func decodeState(data []byte) (State, error) {
	var n notification
	if err := json.Unmarshal(data, &n); err != nil {
		return State{}, fmt.Errorf("decode packet: %w", err)
	}

	if n.Version != rpcVersion || n.Method != methodState {
		return State{}, fmt.Errorf("unexpected method %q of JSON-RPC version %q", n.Method, n.Version)
	}

	return n.Params, n.Params.validate()
}

// packet returns this node's state as a packet, which is at most packetTTL old.
func (m *Mesh) packet() []byte {
	now := m.deps.Clock.Now()

	m.mu.Lock()
	data, at := m.encoded, m.encodedAt
	m.mu.Unlock()

	if data != nil && now-at < packetTTL {
		return data
	}

	data = encodeState(m.deps.Self())

	m.mu.Lock()
	m.encoded, m.encodedAt = data, now
	m.mu.Unlock()

	return data
}

// sendPacket sends this node's state to a peer as a packet.
func (m *Mesh) sendPacket(p Peer) {
	addr, err := netip.ParseAddrPort(p.PeerAddr)
	if err != nil {
		m.deps.Log.Warn("invalid peer address", "peer", p.Node, "cause", err)

		return
	}

	if _, err := m.deps.Packets.WriteTo(m.packet(), net.UDPAddrFromAddrPort(addr)); err != nil {
		m.deps.Log.Debug("state not sent", "peer", p.Node, "cause", err)
	}
}

// loopPackets receives the packets of other nodes until ctx ends.
func (m *Mesh) loopPackets(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.deps.Packets.Close() })
	defer stop()

	buf := make([]byte, maxPacketBytes)

	for ctx.Err() == nil {
		n, from, err := m.deps.Packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		if err != nil {
			// Some systems report an earlier packet sent to a closed port as a read error.
			m.deps.Log.Debug("receiving a packet failed", "cause", err)
			m.deps.Clock.Sleep(ctx, 1)

			continue
		}

		s, err := decodeState(buf[:n])
		if err != nil {
			m.deps.Log.Debug("invalid packet dropped", "from", from, "cause", err)

			continue
		}

		m.receive(s)
	}
}
