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

// Guards against broken promises with real processes under traffic: a second owner or a second
// run after a kill and a freeze, runs in a zone that was taken out, answers that are cut or mixed.
// Only counts are checked: the machine's speed must not change the verdict.
func TestPromisesHoldWithSeparateProcesses(t *testing.T) {
	bin := buildPrograms(t)

	d, err := launch.ReadDeployment(filepath.Join(root, "deploy", "quilt.ini"))
	qt.Assert(t, err, qt.IsNil)

	d.BasePort = 26000

	losses := exper.Losses(d)
	losses.Steps = append(losses.Steps,
		exper.Step{At: 19 * time.Second, What: "zone out", Do: exper.ZoneOut(d.Zones[2])})
	losses.Duration = 28 * time.Second

	var log bytes.Buffer

	s, err := exper.Run(t.Context(), d, exper.Dirs{Bin: bin, Dir: t.TempDir()}, losses, 1, &log)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", log.String()))

	qt.Assert(t, s.Verdict.Broken(), qt.Equals, 0, qt.Commentf("%+v", s.Verdict))

	for _, stream := range s.Streams {
		qt.Check(t, stream.Completed > stream.Sent/2, qt.IsTrue, qt.Commentf("%+v", stream))
	}
}
