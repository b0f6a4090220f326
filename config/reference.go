package config

import (
	"fmt"
	"strings"
)

// Reference returns the reference of all settings as Markdown, one table for each section.
func Reference() string {
	var b strings.Builder

	section := ""

	for _, k := range Keys() {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "## [%s]\n\n| key | default | accepted | meaning |\n|---|---|---|---|\n", section)
		}

		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, k.DefaultText(), k.Accepted, k.Help)

		if last(k) {
			b.WriteByte('\n')
		}
	}

	return strings.TrimSuffix(b.String(), "\n")
}

// DefaultText returns the default as the reference shows it.
func (k Key) DefaultText() string {
	if k.Required() {
		return "required"
	}

	return k.Default
}

// last reports whether k is the last key of its section.
func last(k Key) bool {
	keys := Keys()
	for i := range keys {
		if keys[i].path() == k.path() {
			return i+1 == len(keys) || keys[i+1].Section != k.Section
		}
	}

	return false
}

// Sample returns an INI file that names every setting; required keys are left to fill in.
func Sample() string {
	var b strings.Builder

	section := ""

	for _, k := range Keys() {
		if k.Section != section {
			if section != "" {
				b.WriteByte('\n')
			}

			section = k.Section
			fmt.Fprintf(&b, "[%s]\n", section)
		}

		value := k.Default
		if k.Required() {
			value = ""
		}

		fmt.Fprintf(&b, "; %s; accepted: %s\n%s = %s\n", k.Help, k.Accepted, k.Name, value)
	}

	return b.String()
}
