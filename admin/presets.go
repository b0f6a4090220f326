package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/preset"
)

// The sources from which a result was read.
const (
	SourceTable   = "table"
	SourceReplica = "replica"
)

// maxRollbackDepth bounds the number of generations that a rollback searches for another preset.
const maxRollbackDepth = 100

// PresetListResult holds all presets, the preset in force, and the history of the presets in force with
// the newest last.
type PresetListResult struct {
	Presets []preset.Preset     `json:"presets"`
	InForce *preset.Activation  `json:"in_force"`
	History []preset.Activation `json:"history"`
	Source  string              `json:"source"`
}

func (s *Service) presetList(ctx context.Context, _ Empty) (PresetListResult, error) {
	rows, source := s.readRows(ctx, fleet.PrefixPreset)
	result := PresetListResult{Source: source, Presets: decodeAll[preset.Preset](rows)}

	slices.SortFunc(result.Presets, func(a, b preset.Preset) int {
		if a.Name != b.Name {
			return strings.Compare(a.Name, b.Name)
		}

		return a.Version - b.Version
	})

	rows, activationSource := s.readRows(ctx, fleet.PrefixActivation)
	if activationSource == SourceReplica {
		result.Source = SourceReplica
	}

	for _, a := range decodeAll[preset.Activation](rows) {
		if a.Preset != nil {
			result.InForce = &a
		} else {
			result.History = append(result.History, a)
		}
	}

	slices.SortFunc(result.History, func(a, b preset.Activation) int { return int(a.Generation - b.Generation) })

	return result, nil
}

// decodeAll decodes the values of rows and skips those that are not valid.
func decodeAll[T any](rows []spar.Row) []T {
	all := make([]T, 0, len(rows))

	for _, row := range rows {
		var value T
		if json.Unmarshal(row.Value, &value) == nil {
			all = append(all, value)
		}
	}

	return all
}

// PresetShowParams selects a preset as NAME/VERSION, or as NAME for its highest version. An empty id
// selects the preset in force.
type PresetShowParams struct {
	ID string `json:"id"`
}

// PresetShowResult holds a preset and its INI form.
type PresetShowResult struct {
	Preset preset.Preset `json:"preset"`
	Text   string        `json:"text"`
}

func (s *Service) presetShow(ctx context.Context, p PresetShowParams) (PresetShowResult, error) {
	found, err := s.find(ctx, p.ID)

	return PresetShowResult{Preset: found, Text: found.String()}, err
}

// find returns a preset by NAME/VERSION, the highest version of NAME, or for an empty id the preset in
// force.
func (s *Service) find(ctx context.Context, id string) (preset.Preset, error) {
	list, err := s.presetList(ctx, Empty{})
	if err != nil {
		return preset.Preset{}, err
	}

	if id == "" {
		if list.InForce == nil {
			return preset.Preset{}, fmt.Errorf("no preset is in force")
		}

		return *list.InForce.Preset, nil
	}

	name, version, err := preset.ParseID(id)
	if err != nil {
		return preset.Preset{}, err
	}

	var found preset.Preset

	for _, p := range list.Presets {
		if p.Name == name && (version == 0 || p.Version == version) {
			found = p
		}
	}

	if found.Name == "" {
		return found, fmt.Errorf("preset %s does not exist", id)
	}

	return found, nil
}

// PresetCheckParams holds the text of a preset file.
type PresetCheckParams struct {
	Text string `json:"text"`
}

// PresetCheckResult holds all faults of a preset file.
type PresetCheckResult struct {
	Faults []preset.Fault `json:"faults"`
}

func (s *Service) presetCheck(_ context.Context, p PresetCheckParams) (PresetCheckResult, error) {
	_, faults := preset.Parse([]byte(p.Text))

	return PresetCheckResult{Faults: faults}, nil
}

// PresetDiffParams selects two presets. An empty id selects the preset in force.
type PresetDiffParams struct {
	Before string `json:"before"`
	After  string `json:"after"`
}

// PresetDiffResult holds the lines that differ.
type PresetDiffResult struct {
	Before string   `json:"before"`
	After  string   `json:"after"`
	Lines  []string `json:"lines"`
}

func (s *Service) presetDiff(ctx context.Context, p PresetDiffParams) (PresetDiffResult, error) {
	before, err := s.find(ctx, p.Before)
	if err != nil {
		return PresetDiffResult{}, err
	}

	after, err := s.find(ctx, p.After)
	if err != nil {
		return PresetDiffResult{}, err
	}

	return PresetDiffResult{Before: before.ID(), After: after.ID(), Lines: preset.Diff(before, after)}, nil
}

// PresetCreateParams are the parameters for creating the next version of a preset.
type PresetCreateParams struct {
	Name string `json:"name"`
	Text string `json:"text"`
	By   string `json:"by"`
	Op   string `json:"op"`
}

// PresetCreateResult holds the result and the version that was created.
type PresetCreateResult struct {
	Result change.Result `json:"result"`
	Preset preset.Preset `json:"preset"`
}

func (s *Service) presetCreate(ctx context.Context, p PresetCreateParams) (PresetCreateResult, error) {
	if r, ok := requireIdentity(p.By, p.Op); !ok {
		return PresetCreateResult{Result: r}, nil
	}

	ctx, cancel := s.changeContext(ctx)
	defer cancel()

	created, r := s.presets.Create(ctx, p.Name, []byte(p.Text), p.By, p.Op)

	return PresetCreateResult{Result: s.publish(r, spar.Event{}), Preset: created}, nil
}

// requireIdentity refuses a change without an operator's name or an operation id, because its result
// could not be determined after a lost reply.
func requireIdentity(by, op string) (change.Result, bool) {
	if by == "" || op == "" {
		return change.RefusedResult(op, "a change needs an operator's name and an operation id"), false
	}

	return change.Result{}, true
}

func (s *Service) presetForce(ctx context.Context, c preset.ActivateParams) (change.Result, error) {
	if r, ok := requireIdentity(c.By, c.Op); !ok {
		return r, nil
	}

	ctx, cancel := s.changeContext(ctx)
	defer cancel()

	return s.publish(s.presets.Activate(ctx, c), spar.Event{}), nil
}

// RollbackParams are the parameters for putting the preset in force again that preceded the one in the
// generation that the operator saw.
type RollbackParams struct {
	Seen int64  `json:"seen"`
	By   string `json:"by"`
	Op   string `json:"op"`
}

func (s *Service) presetRollback(ctx context.Context, p RollbackParams) (change.Result, error) {
	if r, ok := requireIdentity(p.By, p.Op); !ok {
		return r, nil
	}

	changeCtx, cancel := s.changeContext(ctx)
	defer cancel()

	before, err := s.presetBefore(changeCtx, p.Seen)
	if err != nil {
		return change.Result{Verdict: change.Unavailable, Op: p.Op, Detail: err.Error()}, nil
	}

	if before.Version == 0 {
		return change.RefusedResult(p.Op, "no other preset was in force before generation %d", p.Seen), nil
	}

	return s.presetForce(ctx, preset.ActivateParams{
		Name: before.Name, Version: before.Version, Seen: p.Seen, By: p.By, Op: p.Op,
	})
}

// presetBefore returns the newest activation before the given generation whose preset differs from that
// generation's, or a zero Activation if there is none. History rows never change, so a rollback that is sent
// again finds the same row.
func (s *Service) presetBefore(ctx context.Context, generation int64) (preset.Activation, error) {
	var seen preset.Activation

	for g := generation; g > max(0, generation-maxRollbackDepth); g-- {
		row, ok, err := s.Table.Get(ctx, preset.ActivationKey(g))
		if err != nil {
			return preset.Activation{}, fmt.Errorf("read generation %d: %w", g, err)
		}

		if !ok {
			return preset.Activation{}, nil
		}

		var a preset.Activation
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return preset.Activation{}, fmt.Errorf("decode generation %d: %w", g, err)
		}

		if g == generation {
			seen = a
		}

		if a.ID() != seen.ID() {
			return a, nil
		}
	}

	return preset.Activation{}, nil
}
