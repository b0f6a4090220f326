package config_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/config"
)

// renderRelayTemplate returns the settings file that the platform makes of deploy/relay.ini.
func renderRelayTemplate(t *testing.T, values map[string]string) string {
	t.Helper()

	template, err := os.ReadFile(filepath.Join("..", "deploy", "relay.ini"))
	qt.Assert(t, err, qt.IsNil)

	text := regexp.MustCompile(`\{\{[#/][a-z_.]*\}\}`).ReplaceAllString(string(template), "")

	return regexp.MustCompile(`\{\{[a-z_.0-9]*\}\}`).ReplaceAllStringFunc(text, func(field string) string {
		name := strings.Trim(field, "{}")
		value, ok := values[name]
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("template has field %s", name))

		return value
	})
}

// Guards against a process that ends long before it would be killed, and cuts requests that could have ended in time,
// or that is killed before it ends.
func TestShutdownFitsTimeToKill(t *testing.T) {
	for grace, want := range map[string]spar.Millis{"6": 5500, "10": 9500, "2.5": 2000, "0.6": 300} {
		file := writeSettings(t, renderRelayTemplate(t, map[string]string{
			"node": "n", "zone": "a", "service": "s", "app_addr": "127.0.0.1:1", "listen.outbound": "127.0.0.1:2",
			"listen.inbound": "127.0.0.1:3", "listen.ready": "127.0.0.1:4", "listen.control": "127.0.0.1:5",
			"ip": "127.0.0.1", "internal_ports.0": "7600", "provider.address": "127.0.0.1:7", "limits.link_mbps": "10.5",
			"bounds.hold_max_ms": "10000", "grants": "heartbeat", "bounds.grace_s": grace,
		}))

		cfg, faults := config.LoadKeys(config.RelayKeys(), []string{file}, nil)
		qt.Assert(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))
		qt.Check(t, cfg.ShutdownTime(), qt.Equals, want, qt.Commentf("grace of %s s", grace))
	}

	cfg := config.RelaySettings{ShutdownGrace: 700}
	qt.Check(t, cfg.ShutdownTime(), qt.Equals, spar.Millis(700))
}
