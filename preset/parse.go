package preset

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxFileBytes is the maximum size of a preset file.
const MaxFileBytes = 64 << 10

// Fault describes one error in a preset file.
type Fault struct {
	Line     int    `json:"line"`
	Section  string `json:"section"`
	Key      string `json:"key,omitempty"`
	Value    string `json:"value,omitempty"`
	Accepted string `json:"accepted"`
}

// String returns the line, section, key, value and the accepted values.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("line %d: [%s]: %s", f.Line, f.Section, f.Accepted)
	}

	return fmt.Sprintf("line %d: [%s] %s = %q: %s", f.Line, f.Section, f.Key, f.Value, f.Accepted)
}

// Parse parses a preset file. It returns the preset, without a name and version, and all faults found.
func Parse(data []byte) (Preset, []Fault) {
	if len(data) > MaxFileBytes {
		return Preset{}, []Fault{{Line: 1, Accepted: fmt.Sprintf("file has more than %d bytes", MaxFileBytes)}}
	}

	index := indexLines(data)

	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreContinuation: true,
		PreserveSurroundedQuote: true, IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return Preset{}, []Fault{{Line: max(1, index.malformed), Accepted: "not an INI file: " + err.Error()}}
	}

	c := &checker{index: index, services: map[string]string{}}

	for _, s := range file.Sections() {
		c.parseSection(s)
	}

	if len(c.preset.Departments) == 0 && len(c.faults) == 0 {
		c.addFault(Fault{Line: 1, Accepted: "at least one section [" + sectionPrefix + "NAME] is required"})
	}

	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })

	return c.preset, c.faults
}

// checker collects the departments and faults of a file.
type checker struct {
	index  lineIndex
	preset Preset
	// services maps each service to its department.
	services map[string]string
	faults   []Fault
}

func (c *checker) addFault(f Fault) {
	f.Line = max(1, f.Line)
	c.faults = append(c.faults, f)
}

func (c *checker) parseSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			c.addFault(Fault{
				Line: c.index.keyLine(s.Name(), k.Name()), Key: k.Name(), Value: k.Value(),
				Accepted: "a key must be in a section [" + sectionPrefix + "NAME]",
			})
		}

		return
	}

	name, ok := strings.CutPrefix(s.Name(), sectionPrefix)
	line := c.index.sectionLine(s.Name())

	switch {
	case !ok || !namePattern.MatchString(name):
		c.addFault(Fault{
			Line: line, Section: s.Name(),
			Accepted: "unknown section; accepted: [" + sectionPrefix + "NAME], NAME of " + acceptedName,
		})

		return
	case len(c.index.sections[s.Name()]) > 1:
		c.addFault(Fault{Line: c.index.sections[s.Name()][1], Section: s.Name(), Accepted: "section is given more than once"})
	}

	d := c.parseDepartment(s, Department{Name: name, Policy: DefaultPolicy()})

	if other, exists := c.services[d.Service]; exists && d.Service != "" {
		c.addFault(Fault{
			Line: c.index.keyLine(s.Name(), "service"), Section: s.Name(), Key: "service", Value: d.Service,
			Accepted: "service already belongs to department " + other,
		})
	}

	c.services[d.Service] = name
	c.preset.Departments = append(c.preset.Departments, d)
}

func (c *checker) parseDepartment(s *ini.Section, d Department) Department {
	for _, k := range s.Keys() {
		if !slices.ContainsFunc(keys(), func(known key) bool { return known.name == k.Name() }) {
			c.addFault(Fault{
				Line: c.index.keyLine(s.Name(), k.Name()), Section: s.Name(), Key: k.Name(), Value: k.Value(),
				Accepted: "unknown key; accepted: " + strings.Join(keyNames(), ", "),
			})
		}
	}

	for _, k := range keys() {
		f := Fault{Line: c.index.sectionLine(s.Name()), Section: s.Name(), Key: k.name, Accepted: "accepted: " + k.accepted}

		if !s.HasKey(k.name) {
			if k.required {
				f.Accepted = "missing; " + f.Accepted
				c.addFault(f)
			}

			continue
		}

		f.Line, f.Value = c.index.keyLine(s.Name(), k.name), s.Key(k.name).Value()

		switch found := c.index.keys[sectionKey{s.Name(), k.name}]; {
		case len(s.Key(k.name).ValueWithShadows()) > 1:
			f.Line, f.Accepted = found[len(found)-1], "given more than once"
			c.addFault(f)
		case !k.set(&d, f.Value):
			c.addFault(f)
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

// sectionKey identifies a key within a section.
type sectionKey struct {
	section string
	key     string
}

// lineIndex holds the line numbers of sections and keys, which the INI library does not provide.
type lineIndex struct {
	sections  map[string][]int
	keys      map[sectionKey][]int
	malformed int
}

func indexLines(data []byte) lineIndex {
	index := lineIndex{sections: map[string][]int{}, keys: map[sectionKey][]int{}}
	section := ini.DefaultSection

	for i, raw := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(raw))

		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			end := strings.LastIndexByte(text, ']')
			if end < 0 {
				index.recordMalformed(i + 1)

				continue
			}

			section = strings.TrimSpace(text[1:end])
			index.sections[section] = append(index.sections[section], i+1)
		default:
			separator := strings.IndexAny(text, "=:")
			if separator < 1 {
				index.recordMalformed(i + 1)

				continue
			}

			k := sectionKey{section, strings.Trim(strings.TrimSpace(text[:separator]), "\"`")}
			index.keys[k] = append(index.keys[k], i+1)
		}
	}

	return index
}

// recordMalformed keeps the number of the first line that is neither a section nor a key.
func (l *lineIndex) recordMalformed(line int) {
	if l.malformed == 0 {
		l.malformed = line
	}
}

func (l lineIndex) sectionLine(name string) int {
	if found := l.sections[name]; len(found) > 0 {
		return found[0]
	}

	return 0
}

func (l lineIndex) keyLine(section, name string) int {
	if found := l.keys[sectionKey{section, name}]; len(found) > 0 {
		return found[0]
	}

	return l.sectionLine(section)
}
