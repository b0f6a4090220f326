// Package owner manages the keys of a node's backend server: the node's lease in the table, the map of owners,
// the grants to the backend server, and the moves to and from other nodes.
package owner

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Heartbeat is a heartbeat of this node's backend server.
type Heartbeat struct {
	Incarnation spar.Incarnation
	Service     string
	Addr        string
	Slots       int
	Draining    bool
	// Seq increases within an incarnation, so that a late heartbeat can be recognized.
	Seq int64
	// ColdFor is the remaining time for which the backend server stays cold.
	ColdFor spar.Millis
	// Holds are the keys that the backend server holds or still processes requests for.
	Holds []keymap.Span
	// Released are the keys that it has released since its last acknowledged heartbeat.
	Released []Released
}

// Released is a span that the backend server has released, with its handover text for the next holder.
type Released struct {
	keymap.Span

	Handover string
}

// Grant is the response to a heartbeat: all ranges that the backend server may hold, and for how long. A grant
// with a zero duration renews nothing.
type Grant struct {
	Ranges []keymap.Range
	TTL    spar.Millis
}

// leaseRow is a node's lease in the table. It has expired when the table's clock is past its end or, with a
// table that has no clock, when the row has been seen at the same revision for the duration of a lease.
type leaseRow struct {
	Node       string `json:"node"`
	InstanceID string `json:"incarnation"`
	Addr       string `json:"addr"`
	// Until is the latest end of the lease on the table's clock, or 0 if the table has no clock.
	Until spar.Millis `json:"until_ms,omitempty"`
	// Departed is the newest backend server at Addr that has deregistered. A later process of the node must not
	// use it again, even if a heartbeat sent before the deregistration arrives late.
	Departed spar.Incarnation `json:"left,omitzero"`
}

// NodeRow is a node's row in the table, from which other nodes learn how to reach it.
type NodeRow struct {
	Node     string `json:"node"`
	PeerAddr string `json:"peer_addr"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
}

// NodeTable is the table of the nodes, which all nodes read. Its rows are in one partition, so that a single call
// reads them all.
const NodeTable = "fleet"

// No node watches the tables of leases and maps: they change often, and each change would wake every node of
// the fleet. Peers notify each other of new maps instead. The service follows the first slash of a key, so
// that rows that change together are stored together.
const (
	leaseTable = "lease"
	mapTable   = "owners"
)

func mapKey(service string) string         { return mapTable + "/" + service + "/map" }
func nodeKey(node string) string           { return NodeTable + "//" + node }
func leaseKey(service, node string) string { return leaseTable + "/" + service + "/" + node }

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("owner: encoding %T: %v", v, err))
	}

	return data
}

// versioned is a service's map at a revision of its row; 0 means that there is no row yet.
type versioned struct {
	Revision spar.Revision `json:"revision"`
	Map      keymap.Map    `json:"map"`
}

// checkAddr returns an error for an address that can't be connected to.
func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("parsing address: %w", err)
	}

	const decimal, portBits = 10, 16

	n, err := strconv.ParseUint(port, decimal, portBits)
	if err != nil {
		return fmt.Errorf("parsing port: %w", err)
	}

	if host == "" || n == 0 {
		return fmt.Errorf("address %.100q has no host or port", addr)
	}

	return nil
}

// DecodeNode decodes a node's row. A row that is not the node's own or has no usable peer address is an error.
func DecodeNode(row spar.Row) (NodeRow, error) {
	var n NodeRow
	if err := json.Unmarshal(row.Value, &n); err != nil {
		return NodeRow{}, fmt.Errorf("decoding row %s: %w", row.Key, err)
	}

	if n.Node == "" || row.Key != nodeKey(n.Node) {
		return NodeRow{}, fmt.Errorf("row %s is not that of node %.100q", row.Key, n.Node)
	}

	if err := checkAddr(n.PeerAddr); err != nil {
		return NodeRow{}, fmt.Errorf("row %s has no usable peer address: %w", row.Key, err)
	}

	return n, nil
}
