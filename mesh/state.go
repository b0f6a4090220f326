// Package mesh exchanges the states of the nodes over jsonrpc2 and detects which nodes are alive.
package mesh

import (
	"errors"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
)

// State is what a node reports about itself and its backend server.
type State struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// Seq increases with each state that an incarnation of the node sends, and StartedMs is when that incarnation
	// began, in Unix milliseconds.
	Seq       int64  `json:"seq"`
	StartedMs int64  `json:"started_ms"`
	Zone      string `json:"zone"`
	Service   string `json:"service"`
	// PeerAddr is the address for jsonrpc2 calls, and Inbound that for other nodes' requests to the backend server.
	PeerAddr    string `json:"peer_addr"`
	InboundAddr string `json:"inbound"`
	Leaving     bool   `json:"leaving,omitempty"`
	// ServerIncarnation is the incarnation of the backend server on the node's VM, and Ready reports whether
	// that server may get requests.
	ServerIncarnation spar.Incarnation `json:"life"`
	Ready             bool             `json:"ready,omitempty"`
	// Departed is the newest incarnation of the backend server that has deregistered or is draining.
	Departed spar.Incarnation `json:"left,omitzero"`
	ColdMS   spar.Millis      `json:"cold_ms,omitempty"`
	Load     gate.Load        `json:"load"`
	// RulesVersion is the version of the rules in force, and MapRevision the revision of the service's map of owners.
	RulesVersion uint64        `json:"rules,omitempty"`
	MapRevision  spar.Revision `json:"map_revision,omitempty"`
	// Era is the newest era of the table that the node knows, also from peers.
	Era int64 `json:"era,omitempty"`
	// ZonesDigest identifies the withdrawn availability zones as of ZonesRevision; 0 means that none is withdrawn.
	ZonesRevision spar.Revision `json:"zones_revision,omitempty"`
	ZonesDigest   uint64        `json:"zones,omitempty"`
	// CrashDigest identifies the node's entries of requests that crash backend servers; 0 means that it has none.
	CrashDigest uint64 `json:"crashes,omitempty"`
	// Utilization is the utilization of the slots by requests with a key.
	Utilization float64 `json:"use,omitempty"`
}

// validate returns an error if the state names no node or no address.
func (s State) validate() error {
	if s.Node == "" || s.PeerAddr == "" {
		return errors.New("state names no node or address")
	}

	return nil
}

// NewerThan reports whether s is from a later incarnation of the node than o, or a later state of the same one.
func (s State) NewerThan(o State) bool {
	if s.StartedMs != o.StartedMs {
		return s.StartedMs > o.StartedMs
	}

	return s.Seq > o.Seq
}

// Peer is another node with the last state that it sent.
type Peer struct {
	State

	// LastHeard is when the state arrived, on the local clock; 0 if the node is known only from the table.
	LastHeard spar.Millis
	// LoadAt is when Load arrived, with a state or with a response, on the local clock.
	LoadAt spar.Millis
}

// Alive reports whether the last state of the peer arrived within timeout before now.
func (p Peer) Alive(now, timeout spar.Millis) bool {
	return now-p.LastHeard <= timeout
}
