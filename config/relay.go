package config

import (
	"slices"

	spar "sardinespar.example/spar"
)

// RelaySettings holds the settings of a relay: a node process that grants keys to the backend server on its VM.
type RelaySettings struct {
	Node    string
	Zone    string
	Service string
	// AppAddr is the address of the backend server.
	AppAddr string
	// FirstStart is set if no process of the deployment has run before this start.
	FirstStart bool

	// These are the addresses of listeners: Outbound for callers' requests, Inbound for requests of other nodes,
	// Ready for readiness checks by callers, Control for the backend server's heartbeats, Peer for control messages,
	// and Metrics, which may be empty, for metrics.
	OutboundAddr string
	InboundAddr  string
	ReadyAddr    string
	ControlAddr  string
	PeerAddr     string
	MetricsAddr  string

	StoreAddr    string
	StoreTimeout spar.Millis

	// LeaseDuration is how long a lease lasts, and RenewInterval the time between two renewals.
	LeaseDuration spar.Millis
	RenewInterval spar.Millis
	// GrantTTL is the longest grant that the node sends, and MaxGrantTTL the longest that backend servers
	// accept.
	GrantTTL    spar.Millis
	MaxGrantTTL spar.Millis
	// GrantMode is how the backend server gets its grants: GrantsByHeartbeat or GrantsByCall.
	GrantMode string
	// MaxCommandDelay is the maximum time from sending a command that gets no reply to its effect.
	MaxCommandDelay spar.Millis

	// ColdShare is the part of a cold backend server's request rate that is used.
	ColdShare float64
	// MaxBufferedBytes is the size up to which a response is read completely before it is forwarded.
	MaxBufferedBytes int
	// MaxBodyBytes is the longest body of a request, if the rules set no lower limit.
	MaxBodyBytes int
	// PipelineDepth is the number of requests of one client connection that may be in flight, and PipelineBytes the
	// size of their heads and bodies.
	PipelineDepth int
	PipelineBytes int
	// MaxHeadBytes and MaxHeadLines bound the head of a client's request; 0 lines means no limit. HeadTimeout is the
	// longest time from its first byte to its end.
	MaxHeadBytes int
	MaxHeadLines int
	HeadTimeout  spar.Millis
	// MinBodyRate is the lowest rate of a client's body in bytes per second; 0 means no limit.
	MinBodyRate int
	// MaxRulesAge is how long rules stay in use after a peer has announced newer ones.
	MaxRulesAge spar.Millis
	// SpreadMode is how a backend server is chosen for requests without a key: SpreadReports or SpreadSample.
	SpreadMode string
	// RetryRatio is the number of retries for each request for a service that all nodes together may make within
	// RetryWindow, and RetrySlack the number beyond that.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow spar.Millis
	// ShutdownGrace is the time after SIGTERM in which requests in flight may complete if KillAfter, the time from
	// SIGTERM to SIGKILL, is 0. ShutdownTime returns the time in force.
	ShutdownGrace spar.Millis
	KillAfter     spar.Millis

	// MachineBytes is the memory of the machine, and Descriptors the number of descriptors that the process may open; 0
	// if they are not known.
	MachineBytes int64
	Descriptors  int
	// MemoryBytes bounds the memory that clients hold, or is 0. ClientShare is the part of it that one client address
	// may hold. MemoryBudget returns the bound in force.
	MemoryBytes int64
	ClientShare float64
	// MaxConnections is the number of client connections. ConnectionLimit returns the bound in force.
	MaxConnections int

	// LinkMbps is the bandwidth of the VM's network link in megabits per second, or 0 for no limit.
	LinkMbps float64

	GCPercent int
	LogLevel  string
	LogFormat string
}

// Backend servers get their grants of keys either in the replies to their heartbeats or by calls.
const (
	GrantsByHeartbeat = "heartbeat"
	GrantsByCall      = "call"
)

// Backend servers for requests without a key are chosen by load reports that are weighed by their age, or as the
// cheapest of a few random ones.
const (
	SpreadReports = "reports"
	SpreadSample  = "sample"
)

const (
	// budgetShare is the part of the machine's memory that clients may hold. The rest is for the backend server's
	// responses, the collector's surplus over the live heap, stacks and the program itself.
	budgetShare = 0.4
	// runtimeShare is the part of the machine's memory above which the runtime collects garbage without pause.
	runtimeShare = 0.8
	// killMargin is the time between the end of a process that was told to stop and the moment at which it would be
	// killed.
	killMargin spar.Millis = 500
	// connectionShare is the part of the descriptors that client connections may use. The rest is for connections to
	// and from nodes, the backend server and the store.
	connectionShare = 0.75
)

// MemoryBudget returns the number of bytes that clients may hold; 0 for no bound.
func (s RelaySettings) MemoryBudget() int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}

	return int64(float64(s.MachineBytes) * budgetShare)
}

// RuntimeLimit returns the soft memory limit of the Go runtime in bytes; 0 for none.
func (s RelaySettings) RuntimeLimit() int64 {
	return int64(float64(s.MachineBytes) * runtimeShare)
}

// ShutdownTime returns the time after SIGTERM in which requests in flight may complete.
func (s RelaySettings) ShutdownTime() spar.Millis {
	if s.KillAfter <= 0 {
		return s.ShutdownGrace
	}

	return max(s.KillAfter/2, s.KillAfter-killMargin)
}

// ConnectionLimit returns the number of client connections that may be open.
func (s RelaySettings) ConnectionLimit() int {
	if s.Descriptors == 0 {
		return s.MaxConnections
	}

	return min(s.MaxConnections, max(1, int(float64(s.Descriptors)*connectionShare)))
}

// RelayKeys returns all settings of a relay in the order of the reference.
func RelayKeys() []Key[RelaySettings] {
	return slices.Concat(relayNodeKeys(), relayRequestKeys(), relayRetryKeys(), relayMemoryKeys(), relayLogKeys())
}

func relayNodeKeys() []Key[RelaySettings] {
	return []Key[RelaySettings]{
		name("node", "name", "name of the node, unique in the deployment",
			func(s *RelaySettings, v string) { s.Node = v }),
		name("node", "zone", "availability zone", func(s *RelaySettings, v string) { s.Zone = v }),
		name("node", "service", "service of the backend server beside the node",
			func(s *RelaySettings, v string) { s.Service = v }),
		addressIn("node", "app", "address of the backend server", func(s *RelaySettings, v string) { s.AppAddr = v }),
		optionalBoolean("node", "first_start",
			"whether the complete deployment starts for the first time, so that no backend server holds keys; without it, "+
				"keys are first assigned after a wait if the store was ever restored",
			func(s *RelaySettings, v bool) { s.FirstStart = v }),
		address("outbound", "address for callers on this VM",
			func(s *RelaySettings, v string) { s.OutboundAddr = v }),
		address("inbound", "address for requests of other nodes",
			func(s *RelaySettings, v string) { s.InboundAddr = v }),
		address("ready", "address for checks whether the node is ready for callers",
			func(s *RelaySettings, v string) { s.ReadyAddr = v }),
		address("control", "address for the backend server's heartbeats",
			func(s *RelaySettings, v string) { s.ControlAddr = v }),
		address("peer", "address for control messages between nodes",
			func(s *RelaySettings, v string) { s.PeerAddr = v }),
		optionalAddress("metrics", "address for metrics", func(s *RelaySettings, v string) { s.MetricsAddr = v }),
		addressIn("store", "address", "address of the platform's store",
			func(s *RelaySettings, v string) { s.StoreAddr = v }),
		millis("store", "timeout_ms", 700, 10, 60_000, "timeout of a call of the store",
			func(s *RelaySettings, v spar.Millis) { s.StoreTimeout = v }),
	}
}

func relayRequestKeys() []Key[RelaySettings] {
	return []Key[RelaySettings]{
		millis("keys", "lease_ms", 11_000, 1000, 600_000, "time that a lease lasts from when its renewal was sent",
			func(s *RelaySettings, v spar.Millis) { s.LeaseDuration = v }),
		millis("keys", "renew_ms", 1600, 100, 60_000, "interval between two renewals of the lease",
			func(s *RelaySettings, v spar.Millis) { s.RenewInterval = v }),
		millis("keys", "hold_ms", 6000, 500, 600_000, "longest grant of keys to the backend server",
			func(s *RelaySettings, v spar.Millis) { s.GrantTTL = v }),
		millis("keys", "hold_most_ms", 10_000, 500, 600_000, "longest grant that backend servers accept",
			func(s *RelaySettings, v spar.Millis) { s.MaxGrantTTL = v }),
		choice("keys", "grants", []string{GrantsByHeartbeat, GrantsByCall},
			"how the backend server gets its grants of keys: in replies to heartbeats, or by calls",
			func(s *RelaySettings, v string) { s.GrantMode = v }),
		millis("keys", "late_ms", 12_500, 100, 600_000,
			"longest time after which a grant sent by a call that got no reply may take effect",
			func(s *RelaySettings, v spar.Millis) { s.MaxCommandDelay = v }),
		integer("requests", "cold_percent", 100, 10, 100,
			"percentage of a cold backend server's request rate that is used",
			func(s *RelaySettings, n int) { s.ColdShare = float64(n) / 100 }),
		integer("requests", "whole_bytes", 128<<10, 0, 8<<20,
			"size up to which a response is read completely before it is forwarded",
			func(s *RelaySettings, n int) { s.MaxBufferedBytes = n }),
		integer("requests", "body_bytes", 8<<20, 1, 256<<20, "longest body of a request, if the rules set no lower limit",
			func(s *RelaySettings, n int) { s.MaxBodyBytes = n }),
		integer("requests", "pipeline_depth", 16, 1, 1024,
			"requests of one client connection that may be in flight; 1 reads a request only after the last response",
			func(s *RelaySettings, n int) { s.PipelineDepth = n }),
		integer("requests", "pipeline_kib", 64, 1, 65_536,
			"KiB of the heads and bodies of one client connection's requests in flight; a longer one is served alone",
			func(s *RelaySettings, n int) { s.PipelineBytes = n << 10 }),
		integer("requests", "head_kib", 32, 1, 1024, "KiB of the longest head of a client's request",
			func(s *RelaySettings, n int) { s.MaxHeadBytes = n << 10 }),
		integer("requests", "head_lines", 0, 0, 1_000_000,
			"most header lines of a client's request; 0 for no limit",
			func(s *RelaySettings, n int) { s.MaxHeadLines = n }),
		millis("requests", "head_ms", 10_000, 100, 600_000,
			"longest time from the first byte of a client's request to the end of its head",
			func(s *RelaySettings, v spar.Millis) { s.HeadTimeout = v }),
		integer("requests", "body_rate", 1024, 0, 1<<30,
			"lowest rate of a client's body after its first 10 s, in bytes per second; 0 for no limit",
			func(s *RelaySettings, n int) { s.MinBodyRate = n }),
		millis("requests", "rules_most_ms", 1500, 100, 60_000,
			"time that rules stay in use after a peer has announced newer ones; then requests are refused as not run",
			func(s *RelaySettings, v spar.Millis) { s.MaxRulesAge = v }),
		choice("requests", "spread", []string{SpreadReports, SpreadSample},
			"how a backend server is chosen for requests without a key: by load reports that are weighed by their age, "+
				"or as the cheapest of a few random ones",
			func(s *RelaySettings, v string) { s.SpreadMode = v }),
		millis("requests", "grace_ms", 5500, 100, 600_000,
			"time after SIGTERM in which requests in flight may complete, if `kill_after_s` is 0",
			func(s *RelaySettings, v spar.Millis) { s.ShutdownGrace = v }),
		number("requests", "kill_after_s", 0, 0, 600,
			"seconds from SIGTERM to SIGKILL, 0 if they are not known; requests in flight may complete until half a second "+
				"before SIGKILL",
			func(s *RelaySettings, n float64) { s.KillAfter = spar.Millis(n * 1000) }),
	}
}

func relayRetryKeys() []Key[RelaySettings] {
	return []Key[RelaySettings]{
		optionalNumber("retries", "ratio", 0.2, 0, 1,
			"retries for each request for the same service that all nodes together may make in a window",
			func(s *RelaySettings, f float64) { s.RetryRatio = f }),
		optionalNumber("retries", "window_s", 10, 1, 600, "length of the window, in seconds",
			func(s *RelaySettings, f float64) { s.RetryWindow = spar.Millis(f * 1000) }),
		optionalNumber("retries", "slack", 64, 0, 1_000_000,
			"retries beyond the ratio that all nodes together may make for a service in a window",
			func(s *RelaySettings, f float64) { s.RetrySlack = f }),
	}
}

func relayMemoryKeys() []Key[RelaySettings] {
	return []Key[RelaySettings]{
		integer("memory", "machine_mib", 0, 0, 1<<20, "MiB of memory of the machine; 0 if it is not known",
			func(s *RelaySettings, n int) { s.MachineBytes = int64(n) << 20 }),
		integer("memory", "descriptors", 0, 0, 1<<30,
			"descriptors that the process may open, of which client connections use at most three quarters; "+
				"0 if it is not known",
			func(s *RelaySettings, n int) { s.Descriptors = n }),
		integer("memory", "total_mib", 0, 0, 1<<20,
			"MiB that clients may hold; 0 for two fifths of the machine's memory, or no bound if that is not known",
			func(s *RelaySettings, n int) { s.MemoryBytes = int64(n) << 20 }),
		integer("memory", "client_percent", 50, 1, 100, "percentage of it that one client address may hold",
			func(s *RelaySettings, n int) { s.ClientShare = float64(n) / 100 }),
		integer("memory", "connections", 3000, 1, 1_000_000, "client connections that may be open; further ones are closed",
			func(s *RelaySettings, n int) { s.MaxConnections = n }),
	}
}

func relayLogKeys() []Key[RelaySettings] {
	return []Key[RelaySettings]{
		number("link", "mbps", 0, 0, 1_000_000,
			"bandwidth of the VM's network link in megabits per second; 0 for no limit",
			func(s *RelaySettings, f float64) { s.LinkMbps = f }),
		integer("runtime", "gc_percent", 60, 10, 1000, "growth of the heap that starts a garbage collection, in percent",
			func(s *RelaySettings, n int) { s.GCPercent = n }),
		choice("log", "level", []string{"info", "debug", "warn", "error"}, "lowest level of log lines that are written",
			func(s *RelaySettings, v string) { s.LogLevel = v }),
		choice("log", "format", []string{"text", "json"}, "format of log lines",
			func(s *RelaySettings, v string) { s.LogFormat = v }),
	}
}

// addressIn returns a required setting for an address in a section other than that of the listeners.
func addressIn[S any](section, key, help string, set func(*S, string)) Key[S] {
	k := address(key, help, set)
	k.Section = section

	return k
}
