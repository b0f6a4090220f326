package shell

import (
	"io"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/config"
)

// setting is one setting of spard in the JSON output of the reference.
type setting struct {
	Section  string `json:"section"`
	Key      string `json:"key"`
	Default  string `json:"default"`
	Accepted string `json:"accepted"`
	Help     string `json:"help"`
}

func (a *app) settingsCommands(k *kingpin.Application) {
	s := k.Command("settings", "Show the settings of spard; calls no node.")
	a.offline(s.Command("reference", "Print every setting with its default, accepted values and meaning."),
		a.printSettings)
}

func (a *app) printSettings() error {
	list := make([]setting, 0, len(config.Keys()))
	for _, k := range config.Keys() {
		list = append(list, setting{k.Section, k.Name, k.DefaultText(), k.Accepted, k.Help})
	}

	return a.print(list, func(w io.Writer) { printf(w, "%s", config.Reference(config.Keys())) })
}
