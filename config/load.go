package config

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	File     string
	Section  string
	Key      string
	Value    string
	Accepted string
}

// String names the file, section, key, value and what is accepted.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Accepted)
	}

	return fmt.Sprintf("%s: [%s] %s = %q: %s", f.File, f.Section, f.Key, f.Value, f.Accepted)
}

// entry is a value with the file it came from.
type entry struct {
	file  string
	value string
}

// Load reads the settings of spard's own mode; see LoadKeys.
func Load(files, overrides []string) (Settings, []Fault) {
	return LoadKeys(Keys(), files, overrides)
}

// LoadKeys reads files in order, later ones going first, then the overrides "section.key=value", and
// returns the settings and every fault.
func LoadKeys[S any](keys []Key[S], files, overrides []string) (S, []Fault) {
	values := map[string]entry{}

	var faults []Fault

	for _, file := range files {
		faults = append(faults, readFile(file, keys, values)...)
	}

	for _, o := range overrides {
		path, value, ok := strings.Cut(o, "=")
		if !ok || !known(keys, path) {
			faults = append(faults, Fault{File: "--set " + o, Accepted: "must be section.key=value of a known key"})

			continue
		}

		values[path] = entry{file: "--set", value: value}
	}

	var s S

	for _, k := range keys {
		if f, ok := k.apply(&s, values); !ok {
			faults = append(faults, f)
		}
	}

	return s, faults
}

func (k Key[S]) path() string {
	return k.Section + "." + k.Name
}

func (k Key[S]) apply(s *S, values map[string]entry) (Fault, bool) {
	e, given := values[k.path()]
	if !given {
		e = entry{file: "settings", value: k.Default}
	}

	fault := Fault{File: e.file, Section: k.Section, Key: k.Name, Value: e.value, Accepted: "accepted: " + k.Accepted}
	if !given && k.Required() {
		fault.Value = ""
		fault.Accepted = "missing; " + fault.Accepted

		return fault, false
	}

	return fault, k.set(s, e.value)
}

func readFile[S any](file string, keys []Key[S], values map[string]entry) []Fault {
	data, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return []Fault{{File: file, Accepted: err.Error()}}
	}

	var faults []Fault

	for _, section := range data.Sections() {
		for _, key := range section.Keys() {
			path := section.Name() + "." + key.Name()
			fault := Fault{File: file, Section: section.Name(), Key: key.Name(), Value: key.Value()}

			switch {
			case !known(keys, path):
				fault.Accepted = "unknown key"
				faults = append(faults, fault)
			case len(key.ValueWithShadows()) > 1:
				fault.Value = strings.Join(key.ValueWithShadows(), ", ")
				fault.Accepted = "given more than once"
				faults = append(faults, fault)
			default:
				values[path] = entry{file: file, value: key.Value()}
			}
		}
	}

	return faults
}

func known[S any](keys []Key[S], path string) bool {
	return slices.ContainsFunc(keys, func(k Key[S]) bool { return k.path() == path })
}
