package keymap_test

import (
	"encoding/json"
	"testing"

	"sardinespar.example/spar/keymap"
)

// FuzzMap guards against a malformed stored map crashing the process or giving a key two owners, and against a
// map that changes when it is encoded and decoded.
func FuzzMap(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"ranges":[[0,9,1,0,""],[5,12,2,0,""]],"owners":[{"node":"n"}]}`))
	f.Add([]byte(`{"ranges":[[0,9,1,-1]],"owners":[]}`))

	f.Fuzz(func(t *testing.T, data []byte) {
		var m keymap.Map
		if json.Unmarshal(data, &m) != nil {
			return
		}

		last := -1
		for _, r := range m.Ranges {
			if r.From <= last || r.To < r.From || r.To >= keymap.Keys {
				t.Fatalf("range %+v after key %d", r, last)
			}

			last = r.To
		}

		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}

		var again keymap.Map
		if err := json.Unmarshal(text, &again); err != nil {
			t.Fatal(err)
		}

		if len(again.Ranges) != len(m.Ranges) || len(again.Gaps()) != len(m.Gaps()) {
			t.Fatalf("%s decodes to %+v", text, again)
		}
	})
}
