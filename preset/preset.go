// Package preset parses and stores presets, which set the policies of all services, and controls which
// version is in force.
package preset

import (
	"fmt"
	"slices"
	"strings"

	"sardinespar.example/spar/config"
)

// ObjectiveKind is the quantity that an objective bounds.
type ObjectiveKind string

// The kinds of objectives. Each value ends with the unit of the target.
const (
	TailLatency     ObjectiveKind = "tail_latency_ms"
	UnavailableTime ObjectiveKind = "unavailable_ms"
	Churn           ObjectiveKind = "churn_slots_per_hour"
)

// Objective is the service level that a department requires of its service.
type Objective struct {
	Kind   ObjectiveKind `json:"kind"`
	Target int           `json:"target"`
}

// Policy controls how requests to a department's service are handled.
type Policy struct {
	Admission          string `json:"admission"`
	Picker             string `json:"picker"`
	Hedging            bool   `json:"hedging"`
	Resume             bool   `json:"resume"`
	MaxQueue           int    `json:"max_queue"`
	MaxConcurrentMoves int    `json:"moves"`
}

// DefaultPolicy returns the policy of a service that no department of the preset names.
func DefaultPolicy() Policy {
	return Policy{
		Admission: config.AdmissionAdaptive, Picker: config.PickerTwoChoices, Hedging: true, Resume: true,
		MaxQueue: 200, MaxConcurrentMoves: 2,
	}
}

// Department is one department with its service, its objective and the policy that is to meet it.
type Department struct {
	Name      string    `json:"name"`
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	Policy    Policy    `json:"policy"`
}

// Preset is one immutable version of the policies of all departments.
type Preset struct {
	Name        string       `json:"name"`
	Version     int          `json:"version"`
	Departments []Department `json:"departments"`
	By          string       `json:"by"`
	Op          string       `json:"op"`
}

// ID returns the preset's name and version as NAME/VERSION.
func (p Preset) ID() string {
	return fmt.Sprintf("%s/%d", p.Name, p.Version)
}

// PolicyOf returns the policy of a service, or the default policy if no department names the service.
func (p Preset) PolicyOf(service string) Policy {
	for _, d := range p.Departments {
		if d.Service == service {
			return d.Policy
		}
	}

	return DefaultPolicy()
}

// String returns the preset as an INI file that Parse accepts.
func (p Preset) String() string {
	var b strings.Builder

	for i, d := range p.Departments {
		if i > 0 {
			b.WriteByte('\n')
		}

		fmt.Fprintf(&b, "[%s%s]\n", sectionPrefix, d.Name)

		for _, k := range keys() {
			fmt.Fprintf(&b, "%s = %s\n", k.name, k.get(d))
		}
	}

	return b.String()
}

// Diff returns the lines that differ, with "- " before removed and "+ " before added ones.
func Diff(before, after Preset) []string {
	oldLines, newLines := flattened(before), flattened(after)

	var lines []string

	for _, l := range oldLines {
		if !slices.Contains(newLines, l) {
			lines = append(lines, "- "+l)
		}
	}

	for _, l := range newLines {
		if !slices.Contains(oldLines, l) {
			lines = append(lines, "+ "+l)
		}
	}

	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(fieldName(a), fieldName(b)) })

	return lines
}

// flattened returns one line for each key of each department.
func flattened(p Preset) []string {
	lines := make([]string, 0, len(p.Departments)*len(keys()))

	for _, d := range p.Departments {
		for _, k := range keys() {
			lines = append(lines, fmt.Sprintf("[%s%s] %s = %s", sectionPrefix, d.Name, k.name, k.get(d)))
		}
	}

	return lines
}

// fieldName returns the section and key of a line of a diff.
func fieldName(line string) string {
	name, _, _ := strings.Cut(line[2:], " = ")

	return name
}
