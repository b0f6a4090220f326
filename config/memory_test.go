package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/config"
)

// requiredRelaySettings are the settings of a relay that have no default.
var requiredRelaySettings = []string{
	"node.name=n", "node.zone=a", "node.service=s", "node.app=127.0.0.1:1", "listen.outbound=127.0.0.1:2",
	"listen.inbound=127.0.0.1:3", "listen.ready=127.0.0.1:4", "listen.control=127.0.0.1:5",
	"listen.peer=127.0.0.1:6", "store.address=127.0.0.1:7",
}

// Guards against limits that do not fit the machine, and against limits where the machine is not known.
func TestLimitsOfMemoryAndConnections(t *testing.T) {
	for _, tt := range []struct {
		name            string
		values          []string
		budget, runtime int64
		connections     int
	}{
		{"unknown machine", nil, 0, 0, 3000},
		{"smallest machine", []string{"memory.machine_mib=184", "memory.descriptors=4100"}, 77_175_193, 154_350_387, 3000},
		{"few descriptors", []string{"memory.descriptors=256"}, 0, 0, 192},
		{"own limits", []string{"memory.machine_mib=100", "memory.total_mib=10"}, 10 << 20, 83_886_080, 3000},
		{"own connections", []string{"memory.descriptors=256", "memory.connections=7"}, 0, 0, 7},
	} {
		cfg, faults := config.LoadKeys(config.RelayKeys(), nil, append(tt.values, requiredRelaySettings...))
		qt.Assert(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))
		qt.Check(t, cfg.MemoryBudget(), qt.Equals, tt.budget, qt.Commentf(tt.name))
		qt.Check(t, cfg.RuntimeLimit(), qt.Equals, tt.runtime, qt.Commentf(tt.name))
		qt.Check(t, cfg.ConnectionLimit(), qt.Equals, tt.connections, qt.Commentf(tt.name))
		qt.Check(t, cfg.ClientShare, qt.Equals, 0.5)
	}
}
