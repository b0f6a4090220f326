package config

import (
	"fmt"
	"strings"
)

// Reference returns the reference of the settings as Markdown, with a table for each section.
func Reference[S any](keys []Key[S]) string {
	var b strings.Builder

	section := ""

	for i, k := range keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "## [%s]\n\n| key | default | accepted | meaning |\n|---|---|---|---|\n", section)
		}

		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, k.DefaultText(), k.Accepted, k.Help)

		if i+1 == len(keys) || keys[i+1].Section != k.Section {
			b.WriteByte('\n')
		}
	}

	return strings.TrimSuffix(b.String(), "\n")
}

// DefaultText returns the default as shown in the reference.
func (k Key[S]) DefaultText() string {
	if k.Required() {
		return "required"
	}

	return k.Default
}

// Sample returns an INI file with the defaults of all settings. The values of required keys are left empty.
func Sample[S any](keys []Key[S]) string {
	var b strings.Builder

	section := ""

	for _, k := range keys {
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
