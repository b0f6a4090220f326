package config_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/config"
)

// TestSampleLoads guards against a printed sample that spard rejects, or that changes a default.
func TestSampleLoads(t *testing.T) {
	name := filepath.Join(t.TempDir(), "spard.ini")
	qt.Assert(t, os.WriteFile(name, []byte(config.Sample(config.Keys())), 0o600), qt.IsNil)

	required := []string{
		"node.vm=vm1", "node.zone=a", "node.region=r", "listen.http=127.0.0.1:1", "listen.peer=127.0.0.1:2",
		"listen.local=127.0.0.1:3", "store.url=http://127.0.0.1:4",
	}

	got, faults := config.Load([]string{name}, required)
	qt.Assert(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))

	want, _ := config.Load(nil, required)
	qt.Assert(t, got, qt.Equals, want)

	_, faults = config.Load([]string{name}, nil)
	qt.Assert(t, faults, qt.HasLen, len(required))
}
