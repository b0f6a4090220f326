package preset

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"sardinespar.example/spar/config"
)

const sectionPrefix = "department "

// Upper bounds of the numbers in a preset.
const (
	maxTargetValue     = 86_400_000
	maxQueueLength     = 100_000
	maxConcurrentMoves = 64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

const acceptedName = "1 to 64 letters, digits, - or _"

// key describes one key of a department's section.
type key struct {
	name     string
	accepted string
	help     string
	required bool
	set      func(*Department, string) bool
	get      func(Department) string
}

// keys returns all keys of a department's section in the order in which the reference lists them.
func keys() []key {
	return slices.Concat(objectiveKeys(), policyKeys())
}

func objectiveKeys() []key {
	kinds := []string{string(TailLatency), string(UnavailableTime), string(Churn)}

	return []key{
		{
			name: "service", accepted: acceptedName, help: "service that the department runs", required: true,
			set: func(d *Department, v string) bool {
				d.Service = v

				return namePattern.MatchString(v)
			},
			get: func(d Department) string { return d.Service },
		},
		{
			name: "objective", accepted: strings.Join(kinds, ", "), help: "what the target bounds", required: true,
			set: func(d *Department, v string) bool {
				d.Objective.Kind = ObjectiveKind(v)

				return slices.Contains(kinds, v)
			},
			get: func(d Department) string { return string(d.Objective.Kind) },
		},
		number("target", 1, maxTargetValue, "target in the unit that the objective names", true,
			func(d *Department) *int { return &d.Objective.Target }),
	}
}

func policyKeys() []key {
	return []key{
		choice("admission", []string{config.AdmissionAdaptive, config.AdmissionFixed}, "how calls are admitted",
			func(d *Department) *string { return &d.Policy.Admission }),
		choice("picker", []string{config.PickerTwoChoices, config.PickerRoundRobin}, "how upstreams are chosen",
			func(d *Department) *string { return &d.Policy.Picker }),
		flag("hedging", "send slow idempotent calls to a second upstream",
			func(d *Department) *bool { return &d.Policy.Hedging }),
		flag("resume", "resume cut downloads on another upstream",
			func(d *Department) *bool { return &d.Policy.Resume }),
		number("max_queue", 0, maxQueueLength, "calls that may wait for a slot of one backend server", false,
			func(d *Department) *int { return &d.Policy.MaxQueue }),
		number("moves", 1, maxConcurrentMoves, "slots that one receiver takes in at a time in planned moves", false,
			func(d *Department) *int { return &d.Policy.MaxConcurrentMoves }),
	}
}

func choice(name string, values []string, help string, field func(*Department) *string) key {
	return key{
		name: name, accepted: strings.Join(values, ", "), help: help,
		set: func(d *Department, v string) bool {
			*field(d) = v

			return slices.Contains(values, v)
		},
		get: func(d Department) string { return *field(&d) },
	}
}

func flag(name, help string, field func(*Department) *bool) key {
	return key{
		name: name, accepted: "true, false", help: help,
		set: func(d *Department, v string) bool {
			*field(d) = v == "true"

			return v == "true" || v == "false"
		},
		get: func(d Department) string { return strconv.FormatBool(*field(&d)) },
	}
}

func number(name string, minValue, maxValue int, help string, required bool, field func(*Department) *int) key {
	return key{
		name: name, accepted: fmt.Sprintf("a whole number from %d to %d", minValue, maxValue), help: help,
		required: required,
		set: func(d *Department, v string) bool {
			n, err := strconv.Atoi(v)
			*field(d) = n

			return err == nil && n >= minValue && n <= maxValue
		},
		get: func(d Department) string { return strconv.Itoa(*field(&d)) },
	}
}

// Reference returns a Markdown table of all keys of a preset.
func Reference() string {
	var b strings.Builder

	b.WriteString("| key | default | accepted | meaning |\n|---|---|---|---|\n")

	def := Department{Policy: DefaultPolicy()}

	for _, k := range keys() {
		value := k.get(def)
		if k.required {
			value = "required"
		}

		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.name, value, k.accepted, k.help)
	}

	return b.String()
}
