package exper_test

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/cmd/sparload/exper"
	"sardinespar.example/spar/cmd/sparload/launch"
)

const root = "../../.."

// buildPrograms builds the programs under test and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()

	bin := t.TempDir()

	for _, program := range []string{"spard", "sparctl", "platform", "backend"} {
		cmd := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(bin, program), "./cmd/"+program)
		cmd.Dir = root

		out, err := cmd.CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	}

	return bin
}

// TestGuaranteesHoldWithSeparateProcesses guards against violated guarantees with real processes under
// traffic: two owners or a repeated run after VMs were killed and frozen, runs in a withdrawn zone, truncated
// or mismatched responses. Only counts are checked, since the machine's speed must not change the verdict.
func TestGuaranteesHoldWithSeparateProcesses(t *testing.T) {
	bin := buildPrograms(t)

	d, err := launch.ReadDeployment(filepath.Join(root, "deploy", "quilt.ini"))
	qt.Assert(t, err, qt.IsNil)

	d.BasePort = 26000

	failures := exper.VMFailures(d)
	failures.Steps = append(failures.Steps,
		exper.Step{At: 19 * time.Second, Description: "zone withdrawn", Run: exper.WithdrawZone(d.Zones[2])})
	failures.Duration = 28 * time.Second

	var log bytes.Buffer

	s, err := exper.Run(t.Context(), d, exper.Dirs{Bin: bin, Output: t.TempDir()}, failures, 1, &log)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", log.String()))

	qt.Assert(t, s.Verdict.Violations(), qt.Equals, 0, qt.Commentf("%+v", s.Verdict))

	for _, stream := range s.Streams {
		qt.Check(t, stream.Completed > stream.Sent/2, qt.IsTrue, qt.Commentf("%+v", stream))
	}
}
