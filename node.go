package spar

import "slices"

// NodeID identifies one incarnation of spard: the VM's name, a dot, and a string that is new with each start.
type NodeID string

// NodeState is the state of a node's row in the table.
type NodeState string

// Node states. A lost node never returns with the same id.
const (
	NodeJoining NodeState = "joining"
	NodeLive    NodeState = "live"
	NodeLeaving NodeState = "leaving"
	NodeLost    NodeState = "lost"
)

// Zone names an availability zone.
type Zone string

// Region names a region, which holds one or more availability zones.
type Region string

// Capacity is how many requests and connections a backend server can handle at once.
type Capacity struct {
	Slots int `json:"slots"`
	Conns int `json:"conns"`
}

// Node describes a spard process and the backend server on the same VM.
type Node struct {
	ID       NodeID   `json:"id"`
	VM       string   `json:"vm"`
	Service  string   `json:"service"`
	Zone     Zone     `json:"zone"`
	Region   Region   `json:"region"`
	HTTPAddr string   `json:"http_addr"`
	PeerAddr string   `json:"peer_addr"`
	Capacity Capacity `json:"capacity"`
	// ChecksGrants is true if the backend server itself rejects requests whose epoch is outdated.
	ChecksGrants bool      `json:"checks_grants"`
	Witnesses    []NodeID  `json:"witnesses"`
	State        NodeState `json:"state"`
	// Heartbeat is the heartbeat counter, which only the table-lease baseline uses.
	Heartbeat int64 `json:"beat,omitempty"`
}

// WithState returns a copy of n in the given state.
func (n Node) WithState(s NodeState) Node {
	n.State = s

	return n
}

// WithWitnesses returns a copy of n with the given witnesses.
func (n Node) WithWitnesses(ids []NodeID) Node {
	n.Witnesses = slices.Clone(ids)

	return n
}

// WithHeartbeat returns a copy of n with the given heartbeat counter.
func (n Node) WithHeartbeat(heartbeat int64) Node {
	n.Heartbeat = heartbeat

	return n
}

// WithCapacity returns a copy of n with the given capacity.
func (n Node) WithCapacity(c Capacity) Node {
	n.Capacity = c

	return n
}
