package preset

import (
	"encoding/json"
	"fmt"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// Force is the pointer to the preset in force, and as a history row without the preset's content.
// The pointer carries the content, so that a node knows either both or neither.
type Force struct {
	Generation int64   `json:"generation"`
	Name       string  `json:"name"`
	Version    int     `json:"version"`
	By         string  `json:"by"`
	Op         string  `json:"op"`
	AtMs       int64   `json:"at_ms"`
	Preset     *Preset `json:"preset,omitempty"`
}

// ID returns the name and version of the preset that f points to.
func (f Force) ID() string {
	return fmt.Sprintf("%s/%d", f.Name, f.Version)
}

// ForceKey returns the row key of a generation in the history.
func ForceKey(generation int64) string {
	return fmt.Sprintf("%s/%d", fleet.PrefixForce, generation)
}

// Key returns the row key of a preset's version.
func Key(name string, version int) string {
	return fmt.Sprintf("%s%s/%d", fleet.PrefixPreset, name, version)
}

// Pointer returns the pointer in a snapshot. There is none before the snapshot is complete to some
// revision: a row pushed late to a node that just started may be older than what its VM served by.
func Pointer(v *fleet.View) (Force, bool) {
	row, ok := v.Row(fleet.PrefixForce)
	if !ok || v.Complete() == 0 {
		return Force{}, false
	}

	f, err := decode[Force](row)

	return f, err == nil && f.Preset != nil
}

// InForce returns the preset in force in a snapshot and its generation.
func InForce(v *fleet.View) (Preset, int64, bool) {
	f, ok := Pointer(v)
	if !ok {
		return Preset{}, 0, false
	}

	return *f.Preset, f.Generation, true
}

func decode[T any](row spar.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %s: %w", row.Key, err)
	}

	return value, nil
}

// SplitID splits NAME/VERSION; a missing version is 0.
func SplitID(id string) (string, int, error) {
	name, text, found := strings.Cut(id, "/")

	version := 0
	if found {
		if _, err := fmt.Sscanf(text, "%d", &version); err != nil || version < 1 || fmt.Sprint(version) != text {
			return "", 0, fmt.Errorf("preset %q: must be NAME or NAME/VERSION", id)
		}
	}

	if !namePattern.MatchString(name) {
		return "", 0, fmt.Errorf("preset name %q: accepted: %s", name, acceptedName)
	}

	return name, version, nil
}
