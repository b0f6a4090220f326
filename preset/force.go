package preset

import (
	"encoding/json"
	"fmt"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// Activation records that a preset version was put in force. It is the value of the pointer row, which
// names the preset in force, and of the history rows. Only the pointer row holds the preset's content,
// so that a node has either both the pointer and the content or neither.
type Activation struct {
	Generation int64   `json:"generation"`
	Name       string  `json:"name"`
	Version    int     `json:"version"`
	By         string  `json:"by"`
	Op         string  `json:"op"`
	AtMs       int64   `json:"at_ms"`
	Preset     *Preset `json:"preset,omitempty"`
}

// ID returns the preset's name and version as NAME/VERSION.
func (a Activation) ID() string {
	return fmt.Sprintf("%s/%d", a.Name, a.Version)
}

// ActivationKey returns the row key of a generation in the history.
func ActivationKey(generation int64) string {
	return fmt.Sprintf("%s/%d", fleet.PrefixActivation, generation)
}

// Key returns the row key of a preset version.
func Key(name string, version int) string {
	return fmt.Sprintf("%s%s/%d", fleet.PrefixPreset, name, version)
}

// CurrentActivation returns the content of the pointer row in a snapshot. It reports false until the snapshot is
// complete up to some revision, because a delayed row that is pushed to a starting node may be older
// than the preset that was in force on the same VM before.
func CurrentActivation(v *fleet.View) (Activation, bool) {
	row, ok := v.Row(fleet.PrefixActivation)
	if !ok || v.CompleteRevision() == 0 {
		return Activation{}, false
	}

	a, err := decode[Activation](row)

	return a, err == nil && a.Preset != nil
}

// InForce returns the preset in force in a snapshot, and its generation.
func InForce(v *fleet.View) (Preset, int64, bool) {
	a, ok := CurrentActivation(v)
	if !ok {
		return Preset{}, 0, false
	}

	return *a.Preset, a.Generation, true
}

func decode[T any](row spar.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("decode row %s: %w", row.Key, err)
	}

	return value, nil
}

// ParseID parses a preset id of the form NAME or NAME/VERSION. A missing version is returned as 0.
func ParseID(id string) (string, int, error) {
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
