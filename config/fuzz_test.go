package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"sardinespar.example/spar/config"
)

// FuzzRelaySettings guards against a settings file that makes the process panic, or that is accepted although a
// required setting is missing.
func FuzzRelaySettings(f *testing.F) {
	f.Add([]byte("[node]\nname = n1\nzone = z\nservice = s\napp = 10.0.0.1:80\n"))
	f.Add([]byte("[link]\nmbps = 1e400\n[keys]\nlease_ms = -1\n\x00[["))

	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "relay.ini")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}

		cfg, faults := config.LoadKeys(config.RelayKeys(), []string{file}, nil)
		if len(faults) == 0 && (cfg.Node == "" || cfg.StoreAddr == "" || cfg.OutboundAddr == "") {
			t.Fatalf("accepted without a required setting: %+v", cfg)
		}
	})
}
