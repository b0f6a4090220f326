package preset_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/preset"
)

// TestMain sets rapid's seed and number of checks unless the command line does.
func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 300, 0)
}

const valid = `; an ordinary day
[department sales]
service = desk
objective = unavailable_ms
target = 400
hedging = false

[department cards]
service = cards
objective = tail_latency_ms
target = 13
`

// TestParseFaults guards against accepting an invalid preset, and against a rejection that does not
// name the line of the fault.
func TestParseFaults(t *testing.T) {
	for _, test := range []struct {
		name, old, new, want string
	}{
		{"unknown key", "hedging = false", "hedgin = false", `line 6: [department sales] hedgin = "false": unknown key`},
		{"bad value", "target = 400", "target = 0", `line 5: [department sales] target = "0": accepted: a whole number`},
		{"bad kind", "unavailable_ms", "speed", `line 4: [department sales] objective = "speed": accepted: tail_latency_ms`},
		{"bad flag", "hedging = false", "hedging = no", `line 6: [department sales] hedging = "no": accepted: true, false`},
		{"missing", "target = 400\n", "", `line 2: [department sales] target = "": missing; accepted`},
		{"twice", "target = 400", "target = 400\ntarget = 400", `line 6: [department sales] target = "400": given more`},
		{"section twice", "[department cards]", "[department sales]", `line 8: [department sales]: section is given more`},
		{"unknown section", "[department cards]", "[policies]", `line 8: [policies]: unknown section`},
		{"service twice", "service = cards", "service = desk", `line 9: [department cards] service = "desk": service`},
		{"outside", "; an ordinary day", "target = 1", `line 1: [] target = "1": a key must be in a section`},
		{"no section", valid, "", `line 1: []: at least one section`},
		{"no value", "target = 400", "target", `line 5: []: not an INI file`},
		{"comment in value", "target = 400", "target = 400 ; ms", `line 5: [department sales] target = "400 ; ms": accepted`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, faults := preset.Parse([]byte(strings.Replace(valid, test.old, test.new, 1)))

			found := false
			for _, f := range faults {
				found = found || strings.HasPrefix(f.String(), test.want)
			}

			qt.Assert(t, found, qt.IsTrue, qt.Commentf("%v", faults))
		})
	}
}

// TestParseReportsAllFaults guards against a parser that stops at the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	_, faults := preset.Parse([]byte("a = 1\n[x]\n[department d]\nservice = /\nobjective = o\nzz = 1\n"))

	qt.Assert(t, faults, qt.HasLen, 6, qt.Commentf("%v", faults))
}

func TestParseDefaults(t *testing.T) {
	p, faults := preset.Parse([]byte(valid))
	qt.Assert(t, faults, qt.HasLen, 0)

	want := preset.DefaultPolicy()
	qt.Assert(t, p.PolicyOf("cards"), qt.Equals, want)
	qt.Assert(t, p.PolicyOf("unknown"), qt.Equals, want)

	want.Hedging = false
	qt.Assert(t, p.PolicyOf("desk"), qt.Equals, want)
}

// TestPresetRoundTrip guards against a preset that changes when the output of "preset show" is passed
// to "preset create".
func TestPresetRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p preset.Preset

		for i := range rapid.IntRange(1, 4).Draw(rt, "departments") {
			p.Departments = append(p.Departments, preset.Department{
				Name:    fmt.Sprintf("%s%d", rapid.StringMatching(`[A-Za-z0-9_-]{1,20}`).Draw(rt, "name"), i),
				Service: fmt.Sprintf("%s%d", rapid.StringMatching(`[A-Za-z0-9_-]{1,20}`).Draw(rt, "service"), i),
				Objective: preset.Objective{
					Kind: rapid.SampledFrom([]preset.ObjectiveKind{preset.TailLatency, preset.UnavailableTime, preset.Churn}).
						Draw(rt, "kind"),
					Target: rapid.IntRange(1, 86_400_000).Draw(rt, "target"),
				},
				Policy: preset.Policy{
					Admission: rapid.SampledFrom([]string{"adaptive", "fixed"}).Draw(rt, "admission"),
					Picker:    rapid.SampledFrom([]string{"two_choices", "round_robin"}).Draw(rt, "picker"),
					Hedging:   rapid.Bool().Draw(rt, "hedging"), Resume: rapid.Bool().Draw(rt, "resume"),
					MaxQueue:           rapid.IntRange(0, 100_000).Draw(rt, "queue"),
					MaxConcurrentMoves: rapid.IntRange(1, 64).Draw(rt, "moves"),
				},
			})
		}

		back, faults := preset.Parse([]byte(p.String()))
		if len(faults) > 0 || len(preset.Diff(p, back)) > 0 || back.String() != p.String() {
			rt.Fatalf("%v\n%s\n%s", faults, p, back)
		}
	})
}

func TestDiff(t *testing.T) {
	before, _ := preset.Parse([]byte(valid))
	after, _ := preset.Parse([]byte(strings.Replace(valid, "target = 400", "target = 300", 1)))

	qt.Assert(t, preset.Diff(before, after), qt.DeepEquals, []string{
		"- [department sales] target = 400", "+ [department sales] target = 300",
	})
}

// FuzzParse guards against a panic, an accepted preset that Parse rejects or changes after String, and a
// fault with a line number outside the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[department a]\nservice = \"\"\"x\n[department b]\n\"\"\"\n"))
	f.Add([]byte("[department a\nservice: x\n\"target\" = `1`\n"))
	f.Add([]byte("\xef\xbb\xbf[department a]\r\nservice = a\r\nobjective = churn_slots_per_hour\r\ntarget = 1\r\n"))

	f.Fuzz(func(t *testing.T, data []byte) {
		p, faults := preset.Parse(data)

		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > strings.Count(string(data), "\n")+1 {
				t.Fatalf("line number outside the file: %v", fault)
			}
		}

		if len(faults) > 0 {
			return
		}

		back, faults := preset.Parse([]byte(p.String()))
		if len(faults) > 0 || back.String() != p.String() {
			t.Fatalf("accepted preset does not survive a round trip: %v\n%s", faults, p)
		}
	})
}
