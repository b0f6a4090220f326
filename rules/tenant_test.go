package rules_test

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/rules"
)

// newSet returns a set of rules without tenants.
func newSet(c *qt.C) *rules.Set {
	c.Helper()

	s, err := rules.New(7, nil, nil, rules.Limits{})
	c.Assert(err, qt.IsNil)

	return s
}

// Guards against a key that identifies another tenant than its own, a part of a key that is accepted, and values of a
// tenant that get lost.
func TestTenantIsFoundByKeyAndName(t *testing.T) {
	c := qt.New(t)
	priority := 0
	list := []rules.Tenant{
		{Name: "a", Keys: []string{"k1", "k2"}, Priority: &priority, Rate: 273, Burst: 27.5},
		{Name: "b", Keys: []string{"K1"}},
		{Name: "k3"},
	}
	s, err := newSet(c).WithTenants(list)
	c.Assert(err, qt.IsNil)
	c.Assert(s.HasTenants(), qt.IsTrue)

	for key, want := range map[string]string{
		"k1": "a", "k2": "a", "K1": "b", "k": "", "k11": "", "k3": "", "": "", "a": "", "k1,k2": "",
	} {
		tenant, ok := s.Tenant(key)
		c.Check(ok, qt.Equals, want != "", qt.Commentf("key %q", key))
		c.Check(tenant.Name, qt.Equals, want)
	}

	a, ok := s.TenantByName("a")
	c.Assert(ok, qt.IsTrue)
	c.Check(*a.Priority, qt.Equals, 0)
	c.Check([]float64{a.Rate, a.Burst}, qt.DeepEquals, []float64{273, 27.5})
	c.Check(a.Limited(), qt.IsTrue)

	b, ok := s.TenantByName("b")
	c.Assert(ok, qt.IsTrue)
	c.Check(b.Priority, qt.IsNil)
	c.Check(b.Limited(), qt.IsFalse)

	_, ok = s.TenantByName("c")
	c.Check(ok, qt.IsFalse)
}

// Guards against a set that changes after its construction, and against tenants of an earlier set that remain.
func TestWithTenantsReturnsNewSet(t *testing.T) {
	c := qt.New(t)
	empty := newSet(c)
	priority := 1
	list := []rules.Tenant{{Name: "a", Keys: []string{"k1"}, Priority: &priority}}
	first, err := empty.WithTenants(list)
	c.Assert(err, qt.IsNil)

	list[0].Name, list[0].Keys[0], priority = "x", "k9", 5
	second, err := first.WithTenants([]rules.Tenant{{Name: "b", Keys: []string{"k2"}}})
	c.Assert(err, qt.IsNil)

	tenant, ok := first.Tenant("k1")
	c.Check(ok, qt.IsTrue)
	c.Check(tenant.Name, qt.Equals, "a")
	c.Check(*tenant.Priority, qt.Equals, 1)

	for _, key := range []string{"k2", "k9"} {
		_, ok = first.Tenant(key)
		c.Check(ok, qt.IsFalse, qt.Commentf("key %s", key))
	}

	_, ok = second.Tenant("k1")
	c.Check(ok, qt.IsFalse)

	_, ok = second.TenantByName("a")
	c.Check(ok, qt.IsFalse)
	c.Check(second.Version, qt.Equals, uint64(7))
	c.Check(empty.HasTenants(), qt.IsFalse)

	none, err := first.WithTenants(nil)
	c.Assert(err, qt.IsNil)
	c.Check(none.HasTenants(), qt.IsFalse)
}

// Guards against rules with invalid tenants that take effect, and against a reason that contains a key.
func TestWithTenantsRejectsInvalid(t *testing.T) {
	c := qt.New(t)

	const key = "secret-key"

	one := func(x rules.Tenant) []rules.Tenant { return []rules.Tenant{x} }

	for name, tt := range map[string]struct {
		list []rules.Tenant
		want string
	}{
		"key in two tenants": {
			[]rules.Tenant{{Name: "a", Keys: []string{"k1", key}}, {Name: "b", Keys: []string{key}}},
			`version 7, tenant 2: key 1 is already a key of "a"`,
		},
		"key twice in one tenant": {
			one(rules.Tenant{Name: "a", Keys: []string{key, "k1", key}}),
			`version 7, tenant 1: key 3 is already a key of "a"`,
		},
		"same name": {
			[]rules.Tenant{{Name: "a", Keys: []string{key}}, {Name: "a", Keys: []string{"k1"}}},
			`version 7, tenant 2: another tenant is also named "a"`,
		},
		"empty name":    {one(rules.Tenant{Keys: []string{key}}), `version 7, tenant 1: name is empty`},
		"long name":     {one(rules.Tenant{Name: strings.Repeat("n", 129)}), `.*name has 129 bytes, at most 128 are allowed`},
		"space in name": {one(rules.Tenant{Name: "a b"}), `.*name has a byte other than visible ASCII at offset 1`},
		"empty key":     {one(rules.Tenant{Name: "a", Keys: []string{"k1", ""}}), `.*key 2 is empty`},
		"long key": {
			one(rules.Tenant{Name: "a", Keys: []string{strings.Repeat(key, 13)}}),
			`.*key 1 has 130 bytes, at most 128 are allowed`,
		},
		"space in key":   {one(rules.Tenant{Name: "a", Keys: []string{key + " "}}), `.*key 1 has a byte .* offset 10`},
		"control in key": {one(rules.Tenant{Name: "a", Keys: []string{key + "\r\n"}}), `.*key 1 has a byte .*`},
		"delete in key":  {one(rules.Tenant{Name: "a", Keys: []string{key + "\x7f"}}), `.*key 1 has a byte .*`},
		"letter in key":  {one(rules.Tenant{Name: "a", Keys: []string{key + "é"}}), `.*key 1 has a byte .*`},
		"negative rate":  {one(rules.Tenant{Name: "a", Rate: -1}), `.*rate -1 is negative or not finite`},
		"infinite rate":  {one(rules.Tenant{Name: "a", Rate: math.Inf(1)}), `.*rate \+Inf is negative or not finite`},
		"no number":      {one(rules.Tenant{Name: "a", Rate: math.NaN()}), `.*rate NaN is negative or not finite`},
		"negative burst": {one(rules.Tenant{Name: "a", Burst: -0.5}), `.*burst -0.5 is negative or not finite`},
		"infinite burst": {one(rules.Tenant{Name: "a", Burst: math.Inf(-1)}), `.*burst -Inf is negative or not finite`},
	} {
		s, err := newSet(c).WithTenants(tt.list)
		c.Check(s, qt.IsNil, qt.Commentf(name))
		c.Check(err, qt.ErrorMatches, tt.want, qt.Commentf(name))

		if err != nil {
			c.Check(strings.Contains(err.Error(), key), qt.IsFalse, qt.Commentf(name))
		}
	}

	longest := strings.Repeat("~!", 64)
	_, err := newSet(c).WithTenants([]rules.Tenant{{Name: longest, Keys: []string{longest}}})
	c.Check(err, qt.IsNil)
}
