// Package preset holds presets, the pointer to the one in force, and the rules by which operators
// change them.
package preset

import (
	"fmt"
	"slices"
	"strings"

	"sardinespar.example/spar/config"
)

// Kind names what an objective bounds.
type Kind string

// The kinds of objectives, with the unit in the name.
const (
	TailLatency     Kind = "tail_latency_ms"
	UnavailableTime Kind = "unavailable_ms"
	Churn           Kind = "churn_slots_per_hour"
)

// Objective is what a department demands of its service.
type Objective struct {
	Kind   Kind `json:"kind"`
	Target int  `json:"target"`
}

// Policy is how a department's service is served.
type Policy struct {
	Admission string `json:"admission"`
	Picker    string `json:"picker"`
	Hedging   bool   `json:"hedging"`
	Resume    bool   `json:"resume"`
	MaxQueue  int    `json:"max_queue"`
	Moves     int    `json:"moves"`
}

// DefaultPolicy is the policy of a service that no department of the preset names.
func DefaultPolicy() Policy {
	return Policy{
		Admission: config.AdmissionAdaptive, Picker: config.PickerTwoChoices, Hedging: true, Resume: true,
		MaxQueue: 200, Moves: 2,
	}
}

// Department is one department's objective and the policy that serves it.
type Department struct {
	Name      string    `json:"name"`
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	Policy    Policy    `json:"policy"`
}

// Preset is one immutable version of all policies.
type Preset struct {
	Name        string       `json:"name"`
	Version     int          `json:"version"`
	Departments []Department `json:"departments"`
	By          string       `json:"by"`
	Op          string       `json:"op"`
}

// ID returns the preset's name and version.
func (p Preset) ID() string {
	return fmt.Sprintf("%s/%d", p.Name, p.Version)
}

// PolicyOf returns the policy of a service, the default one if no department names the service.
func (p Preset) PolicyOf(service string) Policy {
	for _, d := range p.Departments {
		if d.Service == service {
			return d.Policy
		}
	}

	return DefaultPolicy()
}

// String returns the preset as an INI file that Parse reads back.
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

// Diff returns the lines that differ, removed ones with a minus and added ones with a plus.
func Diff(before, after Preset) []string {
	old, fresh := flat(before), flat(after)

	var lines []string

	for _, l := range old {
		if !slices.Contains(fresh, l) {
			lines = append(lines, "- "+l)
		}
	}

	for _, l := range fresh {
		if !slices.Contains(old, l) {
			lines = append(lines, "+ "+l)
		}
	}

	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(field(a), field(b)) })

	return lines
}

func flat(p Preset) []string {
	lines := make([]string, 0, len(p.Departments)*len(keys()))

	for _, d := range p.Departments {
		for _, k := range keys() {
			lines = append(lines, fmt.Sprintf("[%s%s] %s = %s", sectionPrefix, d.Name, k.name, k.get(d)))
		}
	}

	return lines
}

func field(line string) string {
	name, _, _ := strings.Cut(line[2:], " = ")

	return name
}
