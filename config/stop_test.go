package config_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/config"
)

// deployedSettings returns the settings that the deploy file gives a relay on its command line, with the values of the
// platform's fields.
func deployedSettings(t *testing.T, fields map[string]string) []string {
	t.Helper()

	text, err := os.ReadFile(filepath.Join("..", "deploy", "system.toml"))
	qt.Assert(t, err, qt.IsNil)

	found := regexp.MustCompile(`--set ([a-z_.]+=)\{\{([a-z_.]+)\}\}`).FindAllStringSubmatch(string(text), -1)
	settings := make([]string, 0, len(found))

	for _, m := range found {
		value, ok := fields[m[2]]
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("unknown field %s", m[2]))

		settings = append(settings, m[1]+value)
	}

	return settings
}

// Guards against a process that ends long before it would be killed, and cuts requests that could have ended in time,
// or that is killed before it ends.
func TestShutdownFitsTimeToKill(t *testing.T) {
	for grace, want := range map[string]spar.Millis{"6": 5500, "10": 9500, "2.5": 2000, "0.6": 300} {
		values := deployedSettings(t, map[string]string{
			"limits.memory_mb": "284", "limits.max_fds": "4100", "bounds.grace_s": grace,
		})

		cfg, faults := config.LoadKeys(config.RelayKeys(), nil, append(values, requiredRelaySettings...))
		qt.Assert(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))
		qt.Check(t, cfg.ShutdownTime(), qt.Equals, want, qt.Commentf("grace of %s s", grace))
	}

	cfg := config.RelaySettings{ShutdownGrace: 700}
	qt.Check(t, cfg.ShutdownTime(), qt.Equals, spar.Millis(700))
}
