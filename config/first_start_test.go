package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/config"
)

// Guards against a first start that is assumed although the platform does not state one, and against a platform without
// the field that keeps relays from starting.
func TestFirstStartMustBeStated(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "deploy", "relay.ini"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(string(text), "\nfirst_start = {{bootstrap}}\n"), qt.IsTrue)

	for value, want := range map[string]bool{"true": true, "false": false, "": false} {
		name := filepath.Join(t.TempDir(), "relay.ini")
		qt.Assert(t, os.WriteFile(name, []byte("[node]\nfirst_start = "+value+"\n"), 0o600), qt.IsNil)

		cfg, faults := config.LoadKeys(config.RelayKeys(), []string{name}, requiredRelaySettings)
		qt.Check(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))
		qt.Check(t, cfg.FirstStart, qt.Equals, want, qt.Commentf("value %q", value))
	}

	overrides := append([]string{"node.first_start=perhaps"}, requiredRelaySettings...)
	_, faults := config.LoadKeys(config.RelayKeys(), nil, overrides)
	qt.Check(t, faults, qt.HasLen, 1)
}
