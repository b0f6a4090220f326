package agent_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/agent"
)

const announcement = `{"service":"s","mode":"keyed","slots_of_service":256,"addr":"10.0.0.1:80","slots":10,` +
	`"conns":130,"checks_grants":false,"state":"up"}`

// Guards against an accepted address or service name that makes the process panic when it is used later.
func TestParseAnnouncement(t *testing.T) {
	for _, test := range []struct{ old, replacement, want string }{
		{"", "", ""},
		{`"s"`, `"a/b"`, "service must have .*"},
		{"10.0.0.1:80", "a b", "addr .*"},
		{"10.0.0.1:80", "10.0.0.1:80/x", "addr .*"},
		{":256", ":65537", "slots_of_service .*"},
		{":130", ":0", "slots and conns .*"},
		{":10,", ":99999999,", "slots and conns .*"},
		{`"up"}`, `"up"}{}`, ".* after its end"},
		{`"up"`, `"up","x":1`, ".*unknown field.*"},
	} {
		_, err := agent.ParseAnnouncement(strings.NewReader(strings.Replace(announcement, test.old, test.replacement, 1)))
		if test.want == "" {
			qt.Check(t, err, qt.IsNil)
		} else {
			qt.Check(t, err, qt.ErrorMatches, test.want)
		}
	}
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add(announcement)
	f.Add(`{"service":"s","mode":"any","addr":"[::1]:1","slots":1,"conns":1,"state":"leaving"}`)
	f.Fuzz(func(t *testing.T, text string) {
		n, err := agent.ParseAnnouncement(strings.NewReader(text))
		if err != nil {
			return
		}

		if _, err := http.NewRequest(http.MethodGet, "http://"+n.Addr+"/", nil); err != nil {
			t.Fatalf("address %q was accepted: %v", n.Addr, err)
		}
	})
}
