// Package docs_test keeps the operators' pages in step with the code.
package docs_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/config"
	"sardinespar.example/spar/meter"
	"sardinespar.example/spar/preset"
)

var update = flag.Bool("update", false, "write the generated parts of the pages")

// TestPagesAreInStep guards against a setting, preset key, metric or event that the operators'
// pages leave out or describe wrongly. Run with -update to write the generated parts.
func TestPagesAreInStep(t *testing.T) {
	for _, test := range []struct {
		file, begin, part string
	}{
		{"operators/settings.md", "## [node]", config.Reference(config.Keys())},
		{"operators/relay-settings.md", "## [node]", config.Reference(config.RelayKeys())},
		{"operators/presets.md", "| key | default", preset.Reference()},
		{"operators/metrics.md", "## Metrics", meter.Reference()},
	} {
		t.Run(test.file, func(t *testing.T) {
			data, err := os.ReadFile(test.file)
			qt.Assert(t, err, qt.IsNil)

			page := string(data)

			if *update {
				page = replace(page, test.begin, test.part)
				qt.Assert(t, os.WriteFile(test.file, []byte(page), 0o644), qt.IsNil)
			}

			qt.Assert(t, strings.Contains(page, test.part), qt.IsTrue, qt.Commentf("run go test ./docs -update"))
			qt.Assert(t, strings.Count(page, test.begin), qt.Equals, 1)
		})
	}
}

// replace writes part where the page has it, from begin to the end of its last table line.
func replace(page, begin, part string) string {
	before, rest, _ := strings.Cut(page, begin)
	end := strings.LastIndex(rest, "|\n")

	if end < 0 {
		return before + part
	}

	return before + part + rest[end+2:]
}

// TestEveryEventIsDescribed guards against a kind of event without advice.
func TestEveryEventIsDescribed(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../event.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)

	described := map[string]bool{}
	for _, k := range meter.EventCatalog() {
		described[string(k.Kind)] = true
	}

	found := 0

	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}

		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "EventKind" {
			kind, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, described[kind], qt.IsTrue, qt.Commentf("event %s", kind))

			found++
		}

		return true
	})

	qt.Assert(t, len(described), qt.Equals, found)
}

// TestExitStatusesAreListed guards against an exit status that the install page leaves out.
func TestExitStatusesAreListed(t *testing.T) {
	page, err := os.ReadFile("operators/install.md")
	qt.Assert(t, err, qt.IsNil)

	file, err := parser.ParseFile(token.NewFileSet(), "../cmd/sparctl/shell/exit.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)

	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(spec.Names[0].Name, "Exit") && len(spec.Values) == 1 {
			if lit, ok := spec.Values[0].(*ast.BasicLit); ok && lit.Kind == token.INT {
				qt.Check(t, string(page), qt.Contains, "| sparctl | "+lit.Value+" |")
			}
		}

		return true
	})
}
