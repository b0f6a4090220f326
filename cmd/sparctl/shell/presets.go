package shell

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/preset"
)

func (a *app) presetCommands(k *kingpin.Application) {
	p := k.Command("preset", "Show presets, create versions, and put one in force.")
	a.online(p.Command("list", "List all presets and the one in force."), a.listPresets)
	a.online(p.Command("status", "Show which generation is in force on each node."), a.showPresetStatus)

	show := p.Command("show", "Print a preset as an INI file.")
	showID := show.Arg("preset", "NAME/VERSION, or NAME for its newest version; default: the one in force.").String()
	a.online(show, func(ctx context.Context, c *client) error { return a.showPreset(ctx, c, *showID) })

	diff := p.Command("diff", "Print what would change if a preset were put in force.")
	diffAfter := diff.Arg("preset", "NAME or NAME/VERSION.").Required().String()
	diffBefore := diff.Arg("base", "Preset to compare with, as NAME or NAME/VERSION; default: the one in force.").String()
	a.online(diff, func(ctx context.Context, c *client) error {
		return a.diffPresets(ctx, c, admin.PresetDiffParams{Before: *diffBefore, After: *diffAfter})
	})

	check := p.Command("check", "Check a preset file and print every fault; calls no node.")
	checkFile := check.Arg("file", "INI file.").Required().ExistingFile()
	a.offline(check, func() error { return a.checkPreset(*checkFile) })

	a.offline(p.Command("reference", "Print the reference of all keys of a preset file; calls no node."), func() error {
		return a.print(preset.Reference(), func(w io.Writer) { printf(w, "%s", preset.Reference()) })
	})

	create := p.Command("create", "Add the next version of a preset; use preset force to put it in force.")
	createName := create.Arg("name", "Name of the preset.").Required().String()
	createFile := create.Arg("file", "INI file.").Required().ExistingFile()
	a.online(create, func(ctx context.Context, c *client) error {
		return a.createPreset(ctx, c, *createName, *createFile)
	})

	a.activationCommands(p)
}

func (a *app) activationCommands(p *kingpin.CmdClause) {
	const seenHelp = "Generation that status shows as in force; the change is refused if another one is in force by then."

	force := p.Command("force", "Put a preset in force.")
	id := force.Arg("preset", "NAME/VERSION, or NAME for its newest version.").Required().String()
	seen := force.Flag("seen", seenHelp).Default("-1").Int64()
	wait := force.Flag("wait", "Wait until it is in force on every node.").Bool()
	a.online(force, func(ctx context.Context, c *client) error {
		return a.activatePreset(ctx, c, *id, *seen, *wait)
	})

	rollback := p.Command("rollback", "Put the preset that preceded the generation given with --seen back in force.")
	rollbackSeen := rollback.Flag("seen", seenHelp).Default("-1").Int64()
	rollbackWait := rollback.Flag("wait", "Wait until it is in force on every node.").Bool()
	a.online(rollback, func(ctx context.Context, c *client) error {
		return a.rollbackPreset(ctx, c, *rollbackSeen, *rollbackWait)
	})
}

func (a *app) listPresets(ctx context.Context, c *client) error {
	list, err := read[admin.PresetListResult](ctx, c, admin.MethodPresetList, admin.Empty{})
	if err != nil {
		return err
	}

	return a.print(list, func(w io.Writer) {
		printf(w, "PRESET\tBY\tIN FORCE\n")

		for _, p := range list.Presets {
			mark := ""
			if list.InForce != nil && list.InForce.ID() == p.ID() {
				mark = "yes"
			}

			printf(w, "%s\t%s\t%s\n", p.ID(), p.By, mark)
		}

		printf(w, "\nGENERATION\tPRESET\tBY\tAT\n")

		for _, activation := range list.History[max(0, len(list.History)-maxListed):] {
			printf(w, "%d\t%s\t%s\t%s\n", activation.Generation, activation.ID(), activation.By, formatTime(activation.AtMs))
		}

		if list.Source == admin.SourceReplica {
			printf(w, "\nThe table service does not answer; the list comes from the node's replica.\n")
		}
	})
}

func (a *app) showPresetStatus(ctx context.Context, c *client) error {
	st, err := read[admin.ActivationStatus](ctx, c, admin.MethodActivationStatus, admin.Empty{})
	if err != nil {
		return err
	}

	return a.print(st, func(w io.Writer) {
		if st.InForce == nil {
			printf(w, "no preset is in force\n")

			return
		}

		printf(w, "%s is in force as generation %d by %s\n", st.InForce.ID(), st.InForce.Generation, st.InForce.By)
		printf(w, "%d of %d nodes have it\n", len(st.Nodes)-len(st.Lagging), len(st.Nodes))

		for _, text := range laggingNodes(st, st.InForce.Generation) {
			printf(w, "lagging: %s\n", text)
		}
	})
}

func (a *app) showPreset(ctx context.Context, c *client, id string) error {
	result, err := read[admin.PresetShowResult](ctx, c, admin.MethodPresetShow, admin.PresetShowParams{ID: id})
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) {
		printf(w, "; %s by %s\n%s", result.Preset.ID(), result.Preset.By, result.Text)
	})
}

func (a *app) diffPresets(ctx context.Context, c *client, p admin.PresetDiffParams) error {
	result, err := read[admin.PresetDiffResult](ctx, c, admin.MethodPresetDiff, p)
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) {
		printf(w, "--- %s\n+++ %s\n", result.Before, result.After)

		for _, l := range result.Lines {
			printf(w, "%s\n", l)
		}
	})
}

func (a *app) checkPreset(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}

	_, faults := preset.Parse(data)
	if len(faults) == 0 {
		return a.print(admin.PresetCheckResult{Faults: []preset.Fault{}}, func(w io.Writer) {
			printf(w, "%s is valid\n", file)
		})
	}

	if err := a.print(admin.PresetCheckResult{Faults: faults}, func(w io.Writer) {
		for _, f := range faults {
			printf(w, "%s: %s\n", file, f)
		}
	}); err != nil {
		return err
	}

	return fail(ExitUsage, "%s has %d faults", file, len(faults))
}

func (a *app) createPreset(ctx context.Context, c *client, name, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}

	params := admin.PresetCreateParams{Name: name, Text: string(data), By: a.by, Op: a.op}

	result, err := send(ctx, c, a.op, admin.MethodPresetCreate, params,
		func(r admin.PresetCreateResult) change.Result { return r.Result })
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) { printf(w, "accepted: %s\n", result.Result.Detail) })
}

func (a *app) activatePreset(ctx context.Context, c *client, id string, seen int64, wait bool) error {
	if err := a.checkSeen(ctx, c, seen); err != nil {
		return err
	}

	name, version, err := preset.ParseID(id)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}

	// The newest version is resolved once, so that every attempt names the same version.
	if version == 0 {
		shown, err := read[admin.PresetShowResult](ctx, c, admin.MethodPresetShow, admin.PresetShowParams{ID: id})
		if err != nil {
			return err
		}

		version = shown.Preset.Version
	}

	params := preset.ActivateParams{Name: name, Version: version, Seen: seen, By: a.by, Op: a.op}

	return a.sendActivation(ctx, c, admin.MethodPresetForce, params, wait)
}

func (a *app) rollbackPreset(ctx context.Context, c *client, seen int64, wait bool) error {
	if err := a.checkSeen(ctx, c, seen); err != nil {
		return err
	}

	params := admin.RollbackParams{Seen: seen, By: a.by, Op: a.op}

	return a.sendActivation(ctx, c, admin.MethodPresetRollback, params, wait)
}

// checkSeen returns an error if --seen is missing. The error names the generation in force.
func (a *app) checkSeen(ctx context.Context, c *client, seen int64) error {
	if seen >= 0 {
		return nil
	}

	list, err := read[admin.PresetListResult](ctx, c, admin.MethodPresetList, admin.Empty{})
	if err != nil {
		return err
	}

	if list.InForce == nil {
		return fail(ExitUsage, "no preset is in force yet: give --seen 0")
	}

	return fail(ExitUsage, "%s is in force as generation %d by %s; to replace it, give --seen %d",
		list.InForce.ID(), list.InForce.Generation, list.InForce.By, list.InForce.Generation)
}

func (a *app) sendActivation(ctx context.Context, c *client, method string, params any, wait bool) error {
	result, err := send(ctx, c, a.op, method, params, func(r change.Result) change.Result { return r })
	if err != nil {
		return err
	}

	if wait {
		return a.waitForGeneration(ctx, c, result.Generation)
	}

	return a.print(result, func(w io.Writer) { printf(w, "accepted: %s\n", result.Detail) })
}
