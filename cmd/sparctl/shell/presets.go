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
	p := k.Command("preset", "Look at presets, create versions, and put one in force.")
	a.on(p.Command("list", "List all presets and the one in force."), a.presetList)
	a.on(p.Command("status", "Show which generation is in force on each node."), a.presetStatus)

	show := p.Command("show", "Print a preset as an INI file.")
	shown := show.Arg("preset", "NAME/VERSION, or NAME for its newest version; without it, the one in force.").String()
	a.on(show, func(ctx context.Context, c *client) error { return a.presetShow(ctx, c, *shown) })

	diff := p.Command("diff", "Print what would change if a preset came into force.")
	after := diff.Arg("preset", "NAME or NAME/VERSION.").Required().String()
	before := diff.Arg("base", "Preset to compare with, as NAME or NAME/VERSION; without it, the one in force.").String()
	a.on(diff, func(ctx context.Context, c *client) error {
		return a.presetDiff(ctx, c, admin.PresetDiffParams{Before: *before, After: *after})
	})

	check := p.Command("check", "Check a preset file and name every fault; asks no node.")
	checked := check.Arg("file", "INI file.").Required().ExistingFile()
	a.offline(check, func() error { return a.presetCheck(*checked) })

	a.offline(p.Command("reference", "Print the reference of all keys of a preset file; asks no node."), func() error {
		return a.print(preset.Reference(), func(w io.Writer) { printf(w, "%s", preset.Reference()) })
	})

	create := p.Command("create", "Add the next version of a preset; it comes into force by preset force.")
	name := create.Arg("name", "Name of the preset.").Required().String()
	file := create.Arg("file", "INI file.").Required().ExistingFile()
	a.on(create, func(ctx context.Context, c *client) error { return a.presetCreate(ctx, c, *name, *file) })

	a.forceCommands(p)
}

func (a *app) forceCommands(p *kingpin.CmdClause) {
	const seenHelp = "Generation in force that you saw (see status); the change is refused if it is no longer in force."

	force := p.Command("force", "Put a preset in force.")
	id := force.Arg("preset", "NAME/VERSION, or NAME for its newest version.").Required().String()
	seen := force.Flag("seen", seenHelp).Default("-1").Int64()
	wait := force.Flag("wait", "Wait until it is in force on every node.").Bool()
	a.on(force, func(ctx context.Context, c *client) error {
		return a.presetForce(ctx, c, *id, *seen, *wait)
	})

	back := p.Command("rollback", "Put the preset in force that was so before the generation that you saw.")
	backSeen := back.Flag("seen", seenHelp).Default("-1").Int64()
	backWait := back.Flag("wait", "Wait until it is in force on every node.").Bool()
	a.on(back, func(ctx context.Context, c *client) error {
		return a.rollback(ctx, c, *backSeen, *backWait)
	})
}

func (a *app) presetList(ctx context.Context, c *client) error {
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

		for _, f := range list.History[max(0, len(list.History)-listed):] {
			printf(w, "%d\t%s\t%s\t%s\n", f.Generation, f.ID(), f.By, clock(f.AtMs))
		}

		if list.Source == admin.SourceReplica {
			printf(w, "\nThe table service does not answer; this is what the node knows.\n")
		}
	})
}

func (a *app) presetStatus(ctx context.Context, c *client) error {
	st, err := read[admin.ForceStatus](ctx, c, admin.MethodForceStatus, admin.Empty{})
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

		for _, text := range behind(st, st.InForce.Generation) {
			printf(w, "lagging: %s\n", text)
		}
	})
}

func (a *app) presetShow(ctx context.Context, c *client, id string) error {
	result, err := read[admin.PresetShowResult](ctx, c, admin.MethodPresetShow, admin.PresetShowParams{ID: id})
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) {
		printf(w, "; %s by %s\n%s", result.Preset.ID(), result.Preset.By, result.Text)
	})
}

func (a *app) presetDiff(ctx context.Context, c *client, p admin.PresetDiffParams) error {
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

func (a *app) presetCheck(file string) error {
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

func (a *app) presetCreate(ctx context.Context, c *client, name, file string) error {
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

func (a *app) presetForce(ctx context.Context, c *client, id string, seen int64, wait bool) error {
	if err := a.checkSeen(ctx, c, seen); err != nil {
		return err
	}

	name, version, err := preset.SplitID(id)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}

	// The newest version is looked up once, so that every sending asks for the same one.
	if version == 0 {
		shown, err := read[admin.PresetShowResult](ctx, c, admin.MethodPresetShow, admin.PresetShowParams{ID: id})
		if err != nil {
			return err
		}

		version = shown.Preset.Version
	}

	params := preset.Change{Name: name, Version: version, Seen: seen, By: a.by, Op: a.op}

	return a.sendForce(ctx, c, admin.MethodPresetForce, params, wait)
}

func (a *app) rollback(ctx context.Context, c *client, seen int64, wait bool) error {
	if err := a.checkSeen(ctx, c, seen); err != nil {
		return err
	}

	params := admin.RollbackParams{Seen: seen, By: a.by, Op: a.op}

	return a.sendForce(ctx, c, admin.MethodPresetRollback, params, wait)
}

// checkSeen refuses a change without the generation that the operator saw and names it.
func (a *app) checkSeen(ctx context.Context, c *client, seen int64) error {
	if seen >= 0 {
		return nil
	}

	list, err := read[admin.PresetListResult](ctx, c, admin.MethodPresetList, admin.Empty{})
	if err != nil {
		return err
	}

	if list.InForce == nil {
		return fail(ExitUsage, "nothing is in force yet: give --seen 0")
	}

	return fail(ExitUsage, "in force is %s as generation %d by %s; if that is what you want to replace, give --seen %d",
		list.InForce.ID(), list.InForce.Generation, list.InForce.By, list.InForce.Generation)
}

func (a *app) sendForce(ctx context.Context, c *client, method string, params any, wait bool) error {
	result, err := send(ctx, c, a.op, method, params, func(r change.Result) change.Result { return r })
	if err != nil {
		return err
	}

	if wait {
		return a.wait(ctx, c, result.Generation)
	}

	return a.print(result, func(w io.Writer) { printf(w, "accepted: %s\n", result.Detail) })
}
