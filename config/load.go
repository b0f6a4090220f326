package config

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is an error in the settings.
type Fault struct {
	// File is the INI file, begins with "--set" for an override, or is "settings" if the value was not given.
	File    string
	Section string
	Key     string
	Value   string
	// Accepted states which values are accepted, or what the error is.
	Accepted string
}

// String returns the file, section, key and value of the fault, and what is accepted.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Accepted)
	}

	return fmt.Sprintf("%s: [%s] %s = %q: %s", f.File, f.Section, f.Key, f.Value, f.Accepted)
}

// sourcedValue is a value with the file or option that it came from.
type sourcedValue struct {
	file  string
	value string
}

// Load reads the settings of a node in spard's own mode. See LoadKeys.
func Load(files, overrides []string) (Settings, []Fault) {
	return LoadKeys(Keys(), files, overrides)
}

// LoadKeys reads settings from files and then from overrides of the form "section.key=value", where later values
// replace earlier ones. It returns the settings and all faults.
func LoadKeys[S any](keys []Key[S], files, overrides []string) (S, []Fault) {
	values := map[string]sourcedValue{}

	var faults []Fault

	for _, file := range files {
		faults = append(faults, readFile(file, keys, values)...)
	}

	for _, o := range overrides {
		path, value, ok := strings.Cut(o, "=")
		if !ok || !isKnown(keys, path) {
			faults = append(faults, Fault{File: "--set " + o, Accepted: "must be section.key=value of a known key"})

			continue
		}

		values[path] = sourcedValue{file: "--set", value: value}
	}

	var s S

	for _, k := range keys {
		if f, ok := k.apply(&s, values); !ok {
			faults = append(faults, f)
		}
	}

	return s, faults
}

// path returns the section and name of the key, joined by a dot.
func (k Key[S]) path() string {
	return k.Section + "." + k.Name
}

// apply stores the given value of the key or its default in s. It returns false with the fault if the value is
// missing or not accepted.
func (k Key[S]) apply(s *S, values map[string]sourcedValue) (Fault, bool) {
	e, given := values[k.path()]
	if !given {
		e = sourcedValue{file: "settings", value: k.Default}
	}

	fault := Fault{File: e.file, Section: k.Section, Key: k.Name, Value: e.value, Accepted: "accepted: " + k.Accepted}
	if !given && k.Required() {
		fault.Value = ""
		fault.Accepted = "missing; " + fault.Accepted

		return fault, false
	}

	return fault, k.set(s, e.value)
}

// readFile adds the values of an INI file to values and returns the faults of the file.
func readFile[S any](file string, keys []Key[S], values map[string]sourcedValue) []Fault {
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
			case !isKnown(keys, path):
				fault.Accepted = "unknown key"
				faults = append(faults, fault)
			case len(key.ValueWithShadows()) > 1:
				fault.Value = strings.Join(key.ValueWithShadows(), ", ")
				fault.Accepted = "given more than once"
				faults = append(faults, fault)
			default:
				values[path] = sourcedValue{file: file, value: key.Value()}
			}
		}
	}

	return faults
}

func isKnown[S any](keys []Key[S], path string) bool {
	return slices.ContainsFunc(keys, func(k Key[S]) bool { return k.path() == path })
}
