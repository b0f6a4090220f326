package config

import (
	"slices"

	spar "sardinespar.example/spar"
)

// Relay are the settings of a node whose backend server takes its keys from the process beside it.
type Relay struct {
	Node    string
	Zone    string
	Service string
	// App is the address of the backend server beside the node.
	App string

	// Outbound takes callers' requests, Inbound those of other nodes, Ready the question whether the node
	// takes callers, Control the backend server's heartbeats, and Peer control messages.
	Outbound string
	Inbound  string
	Ready    string
	Control  string
	Peer     string
	Metrics  string

	Store        string
	StoreTimeout spar.Millis

	Lease   spar.Millis
	Renew   spar.Millis
	Hold    spar.Millis
	HoldMax spar.Millis
	// Grants is the way in which the backend server takes its keys.
	Grants string
	// Late is how long after its sending an order without an answer may still be carried out.
	Late spar.Millis

	ColdShare  float64
	WholeBytes int
	BodyBytes  int
	// RulesMost is how long rules are used after a peer has told of newer ones.
	RulesMost spar.Millis
	Grace     spar.Millis

	// LinkMbps is the bandwidth of the VM's network link in megabits a second, or 0 if it bounds nothing.
	LinkMbps float64

	GCPercent int
	LogLevel  string
	LogFormat string
}

// The ways in which backend servers take their keys: in the answers to their heartbeats, or by calls.
const (
	GrantsByHeartbeat = "heartbeat"
	GrantsByCall      = "call"
)

// RelayKeys returns all settings of a relay in the order of the reference.
func RelayKeys() []Key[Relay] {
	return slices.Concat(relayNodeKeys(), relayKeepKeys(), relayLogKeys())
}

func relayNodeKeys() []Key[Relay] {
	return []Key[Relay]{
		name("node", "name", "name of the node, unique in the deployment", func(s *Relay, v string) { s.Node = v }),
		name("node", "zone", "availability zone", func(s *Relay, v string) { s.Zone = v }),
		name("node", "service", "service of the backend server beside the node", func(s *Relay, v string) { s.Service = v }),
		located("node", "app", "address of the backend server", func(s *Relay, v string) { s.App = v }),
		address("outbound", "address for callers on this VM", func(s *Relay, v string) { s.Outbound = v }),
		address("inbound", "address for requests of other nodes", func(s *Relay, v string) { s.Inbound = v }),
		address("ready", "address for the question whether the node takes callers", func(s *Relay, v string) { s.Ready = v }),
		address("control", "address for the backend server's heartbeats", func(s *Relay, v string) { s.Control = v }),
		address("peer", "address for control messages between nodes", func(s *Relay, v string) { s.Peer = v }),
		advertised("metrics", "address for metrics", func(s *Relay, v string) { s.Metrics = v }),
		located("store", "address", "address of the platform's store", func(s *Relay, v string) { s.Store = v }),
		millis("store", "timeout_ms", 700, 10, 60_000, "time limit of one call of the store",
			func(s *Relay, v spar.Millis) { s.StoreTimeout = v }),
	}
}

func relayKeepKeys() []Key[Relay] {
	return []Key[Relay]{
		millis("keys", "lease_ms", 11_000, 1000, 600_000, "time that a lease lasts after its renewal was sent",
			func(s *Relay, v spar.Millis) { s.Lease = v }),
		millis("keys", "renew_ms", 1600, 100, 60_000, "pause between two renewals of the lease",
			func(s *Relay, v spar.Millis) { s.Renew = v }),
		millis("keys", "hold_ms", 6000, 500, 600_000, "longest grant of keys to the backend server",
			func(s *Relay, v spar.Millis) { s.Hold = v }),
		millis("keys", "hold_most_ms", 10_000, 500, 600_000, "longest grant that backend servers accept",
			func(s *Relay, v spar.Millis) { s.HoldMax = v }),
		choice("keys", "grants", []string{GrantsByHeartbeat, GrantsByCall},
			"how the backend server takes its keys: in answers to heartbeats, or by calls",
			func(s *Relay, v string) { s.Grants = v }),
		millis("keys", "late_ms", 12_500, 100, 600_000,
			"longest time after which a grant sent by a call without an answer may take effect",
			func(s *Relay, v spar.Millis) { s.Late = v }),
		integer("requests", "cold_percent", 100, 10, 100, "part of the rate that a cold backend server bears which is used",
			func(s *Relay, n int) { s.ColdShare = float64(n) / 100 }),
		integer("requests", "whole_bytes", 128<<10, 0, 8<<20, "size up to which an answer is read whole first",
			func(s *Relay, n int) { s.WholeBytes = n }),
		integer("requests", "body_bytes", 8<<20, 1, 256<<20, "longest body of a request, if the rules allow no less",
			func(s *Relay, n int) { s.BodyBytes = n }),
		millis("requests", "rules_most_ms", 1500, 100, 60_000,
			"time for which rules are used after a peer has told of newer ones; then requests are refused as not run",
			func(s *Relay, v spar.Millis) { s.RulesMost = v }),
		millis("requests", "grace_ms", 5500, 100, 600_000, "time after SIGTERM in which requests under way may end",
			func(s *Relay, v spar.Millis) { s.Grace = v }),
	}
}

func relayLogKeys() []Key[Relay] {
	return []Key[Relay]{
		number("link", "mbps", 0, 0, 1_000_000, "bandwidth of the VM's network link in megabits a second; 0 bounds nothing",
			func(s *Relay, f float64) { s.LinkMbps = f }),
		integer("runtime", "gc_percent", 60, 10, 1000, "growth of the heap after which memory is collected, in percent",
			func(s *Relay, n int) { s.GCPercent = n }),
		choice("log", "level", []string{"info", "debug", "warn", "error"}, "least level of log lines",
			func(s *Relay, v string) { s.LogLevel = v }),
		choice("log", "format", []string{"text", "json"}, "form of log lines",
			func(s *Relay, v string) { s.LogFormat = v }),
	}
}

// located returns an address setting outside the section of listeners.
func located[S any](section, key, help string, set func(*S, string)) Key[S] {
	k := address(key, help, set)
	k.Section = section

	return k
}
