package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/config"
)

const valid = `
[node]
vm = vm-1
zone = ub-east
region = ulaanbaatar
[listen]
http = 127.0.0.1:8080
peer = 127.0.0.1:8081
local = 127.0.0.1:8082
[store]
url = http://127.0.0.1:7000
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()

	file := filepath.Join(t.TempDir(), "node.ini")
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)

	return file
}

// Guards against faults that are reported one at a time, or without the place and the accepted values that an
// operator needs to fix them.
func TestLoadReportsEveryFault(t *testing.T) {
	for _, tc := range []struct {
		name   string
		text   string
		set    []string
		faults []string
	}{
		{name: "valid", text: valid},
		{
			name: "three faults",
			text: strings.Replace(valid, "http = 127.0.0.1:8080", "http = example:80", 1) +
				"timeout_ms = soon\n[policy]\nlease = paxos\n",
			faults: []string{
				`[listen] http = "example:80": accepted: IP:PORT`,
				`[store] timeout_ms = "soon": accepted: a whole number from 10 to 60000`,
				`[policy] lease = "paxos": accepted: witness, table`,
			},
		},
		{name: "unknown key", text: valid + "speed = 9\n", faults: []string{`[store] speed = "9": unknown key`}},
		{
			name: "given twice", text: valid + "timeout_ms = 20\ntimeout_ms = 30\n",
			faults: []string{`[store] timeout_ms = "20, 30": given more than once`},
		},
		{
			name: "missing", text: strings.Replace(valid, "vm = vm-1\n", "", 1),
			faults: []string{`[node] vm = "": missing; accepted: 1 to 64 letters, digits, - or _`},
		},
		{
			name: "override", text: valid, set: []string{"policy.max_queue=-1"},
			faults: []string{`--set: [policy] max_queue = "-1": accepted: a whole number from 0 to 100000`},
		},
		{
			name: "unknown override", text: valid, set: []string{"policy.speed=1"},
			faults: []string{`--set policy.speed=1: must be section.key=value of a known key`},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, faults := config.Load([]string{writeSettings(t, tc.text)}, tc.set)

			qt.Assert(t, faults, qt.HasLen, len(tc.faults))

			for i, f := range faults {
				qt.Check(t, f.String(), qt.Contains, tc.faults[i])
			}
		})
	}
}

// Guards against an advertised address that is empty, rather than that of the listener, when it is not set.
func TestAdvertisedAddressDefaultsToListener(t *testing.T) {
	s, faults := config.Load([]string{writeSettings(t, valid)}, []string{"listen.advertise_peer=127.0.0.1:9"})

	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Assert(t, s.AdvertiseHTTP, qt.Equals, "127.0.0.1:8080")
	qt.Assert(t, s.AdvertisePeer, qt.Equals, "127.0.0.1:9")
}
