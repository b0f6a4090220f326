package rules_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/rules"
)

func rule(host, prefix string, destinations ...rules.Destination) rules.Rule {
	return rules.Rule{
		Name: prefix, Host: host, Prefix: prefix, Kind: rules.Safe, Destinations: destinations, Timeout: 1000,
	}
}

// Guards against routing a request by a prefix that is not the longest, or that ends within a path element.
func TestMatchTakesLongestPrefix(t *testing.T) {
	c := qt.New(t)
	destination := rules.Destination{Service: "a", Weight: 1}
	s, err := rules.New(1, []rules.Rule{
		rule("one.example", "/", destination), rule("one.example", "/x/", destination),
		rule("one.example", "/x/y/", destination), rule("two.example", "/z/", destination),
	}, []rules.Service{{Name: "a"}}, rules.Limits{})
	c.Assert(err, qt.IsNil)

	for _, tt := range []struct {
		host, path, want string
		found            bool
	}{
		{"one.example", "/x/y/z", "/x/y/", true},
		{"ONE.example:80", "/x/y", "/x/", true},
		{"one.example", "/xy", "/", true},
		{"two.example", "/z/", "/z/", true},
		{"two.example", "/zz/1", "", false},
		{"three.example", "/x/", "", false},
	} {
		r, ok := s.Match(tt.host, tt.path)
		c.Check(ok, qt.Equals, tt.found, qt.Commentf("%s%s", tt.host, tt.path))
		c.Check(r.Prefix, qt.Equals, tt.want)
	}
}

// Guards against accepting a version of the rules that has an invalid rule.
func TestNewRejectsInvalidRules(t *testing.T) {
	c := qt.New(t)
	destination := rules.Destination{Service: "a", Weight: 1}

	for _, r := range []rules.Rule{
		{Name: "no host", Prefix: "/", Kind: rules.Safe, Destinations: []rules.Destination{destination}, Timeout: 1},
		{Name: "bare", Host: "h", Prefix: "x", Kind: rules.Safe, Destinations: []rules.Destination{destination}, Timeout: 1},
		{Name: "kind", Host: "h", Prefix: "/", Kind: "odd", Destinations: []rules.Destination{destination}, Timeout: 1},
		{Name: "timeout", Host: "h", Prefix: "/", Kind: rules.Safe, Destinations: []rules.Destination{destination}},
		{
			Name: "service", Host: "h", Prefix: "/", Kind: rules.Safe,
			Destinations: []rules.Destination{{Service: "b"}}, Timeout: 1,
		},
		{Name: "none", Host: "h", Prefix: "/", Kind: rules.Safe, Timeout: 1},
	} {
		_, err := rules.New(1, []rules.Rule{r}, []rules.Service{{Name: "a"}}, rules.Limits{})
		c.Check(err, qt.ErrorMatches, `version 1, rule "`+r.Name+`": .*`)
	}
}

// Guards against destinations getting a share of the requests that differs from their weight.
func TestDestinationFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := rule("h", "/", rules.Destination{Service: "a", Weight: 90}, rules.Destination{Service: "b", Weight: 10})
	counts := map[string]int{}

	for h := range uint64(1000) {
		counts[r.Destination(h)]++
	}

	c.Assert(counts, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}
