package preset

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds the size of a preset file.
const MaxFileBytes = 64 << 10

// Fault is one thing wrong with a preset file.
type Fault struct {
	Line     int    `json:"line"`
	Section  string `json:"section"`
	Key      string `json:"key,omitempty"`
	Value    string `json:"value,omitempty"`
	Accepted string `json:"accepted"`
}

// String names the line, section, key, value and what is accepted.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("line %d: [%s]: %s", f.Line, f.Section, f.Accepted)
	}

	return fmt.Sprintf("line %d: [%s] %s = %q: %s", f.Line, f.Section, f.Key, f.Value, f.Accepted)
}

// Parse reads a preset file and returns the preset, without name and version, and every fault.
func Parse(data []byte) (Preset, []Fault) {
	if len(data) > MaxFileBytes {
		return Preset{}, []Fault{{Line: 1, Accepted: fmt.Sprintf("file has more than %d bytes", MaxFileBytes)}}
	}

	at := locate(data)

	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreContinuation: true,
		PreserveSurroundedQuote: true, IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return Preset{}, []Fault{{Line: max(1, at.broken), Accepted: "not an INI file: " + err.Error()}}
	}

	c := &checker{at: at, services: map[string]string{}}

	for _, s := range file.Sections() {
		c.section(s)
	}

	if len(c.preset.Departments) == 0 && len(c.faults) == 0 {
		c.fault(Fault{Line: 1, Accepted: "at least one section [" + sectionPrefix + "NAME] is needed"})
	}

	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })

	return c.preset, c.faults
}

// checker collects a file's departments and faults.
type checker struct {
	at       lines
	preset   Preset
	services map[string]string
	faults   []Fault
}

func (c *checker) fault(f Fault) {
	f.Line = max(1, f.Line)
	c.faults = append(c.faults, f)
}

func (c *checker) section(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			c.fault(Fault{
				Line: c.at.key(s.Name(), k.Name()), Key: k.Name(), Value: k.Value(),
				Accepted: "a key must stand in a section [" + sectionPrefix + "NAME]",
			})
		}

		return
	}

	name, ok := strings.CutPrefix(s.Name(), sectionPrefix)
	line := c.at.section(s.Name())

	switch {
	case !ok || !namePattern.MatchString(name):
		c.fault(Fault{
			Line: line, Section: s.Name(),
			Accepted: "unknown section; accepted: [" + sectionPrefix + "NAME], NAME of " + acceptedName,
		})

		return
	case len(c.at.sections[s.Name()]) > 1:
		c.fault(Fault{Line: c.at.sections[s.Name()][1], Section: s.Name(), Accepted: "section is given more than once"})
	}

	d := c.department(s, Department{Name: name, Policy: DefaultPolicy()})

	if other, taken := c.services[d.Service]; taken && d.Service != "" {
		c.fault(Fault{
			Line: c.at.key(s.Name(), "service"), Section: s.Name(), Key: "service", Value: d.Service,
			Accepted: "service already belongs to department " + other,
		})
	}

	c.services[d.Service] = name
	c.preset.Departments = append(c.preset.Departments, d)
}

func (c *checker) department(s *ini.Section, d Department) Department {
	for _, k := range s.Keys() {
		if !slices.ContainsFunc(keys(), func(known key) bool { return known.name == k.Name() }) {
			c.fault(Fault{
				Line: c.at.key(s.Name(), k.Name()), Section: s.Name(), Key: k.Name(), Value: k.Value(),
				Accepted: "unknown key; accepted: " + strings.Join(keyNames(), ", "),
			})
		}
	}

	for _, k := range keys() {
		f := Fault{Line: c.at.section(s.Name()), Section: s.Name(), Key: k.name, Accepted: "accepted: " + k.accepted}

		if !s.HasKey(k.name) {
			if k.required {
				f.Accepted = "missing; " + f.Accepted
				c.fault(f)
			}

			continue
		}

		f.Line, f.Value = c.at.key(s.Name(), k.name), s.Key(k.name).Value()

		switch found := c.at.keys[place{s.Name(), k.name}]; {
		case len(s.Key(k.name).ValueWithShadows()) > 1:
			f.Line, f.Accepted = found[len(found)-1], "given more than once"
			c.fault(f)
		case !k.set(&d, f.Value):
			c.fault(f)
		}
	}

	return d
}

func keyNames() []string {
	names := make([]string, 0, len(keys()))
	for _, k := range keys() {
		names = append(names, k.name)
	}

	return names
}

// place is a key within a section.
type place struct {
	section string
	key     string
}

// lines tells on which lines sections and keys stand; the INI library does not.
type lines struct {
	sections map[string][]int
	keys     map[place][]int
	broken   int
}

func locate(data []byte) lines {
	at := lines{sections: map[string][]int{}, keys: map[place][]int{}}
	section := ini.DefaultSection

	for i, raw := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(raw))

		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			end := strings.LastIndexByte(text, ']')
			if end < 0 {
				at.note(i + 1)

				continue
			}

			section = strings.TrimSpace(text[1:end])
			at.sections[section] = append(at.sections[section], i+1)
		default:
			cut := strings.IndexAny(text, "=:")
			if cut < 1 {
				at.note(i + 1)

				continue
			}

			p := place{section, strings.Trim(strings.TrimSpace(text[:cut]), "\"`")}
			at.keys[p] = append(at.keys[p], i+1)
		}
	}

	return at
}

// note keeps the first line that is neither a section nor a key.
func (l *lines) note(line int) {
	if l.broken == 0 {
		l.broken = line
	}
}

func (l lines) section(name string) int {
	if found := l.sections[name]; len(found) > 0 {
		return found[0]
	}

	return 0
}

func (l lines) key(section, name string) int {
	if found := l.keys[place{section, name}]; len(found) > 0 {
		return found[0]
	}

	return l.section(section)
}
