package rules

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
)

// maxTenantText is the maximum length of a tenant's name and of an API key in bytes. Both are sent in headers.
const maxTenantText = 128

// Tenant is a customer whose requests are identified by API keys.
type Tenant struct {
	Name string
	// Keys are the tenant's API keys. They are nil in the tenants that a Set returns, so that keys can't get into logs
	// through them.
	Keys []string
	// Priority replaces the priority of the rule; nil means that the rule's applies.
	Priority *int
	// Rate is the number of requests per second that the tenant may send; 0 means that there is no limit.
	Rate float64
	// Burst is the number of requests that the tenant may send at once in addition to Rate.
	Burst float64
}

// Limited reports whether the tenant's number of requests is limited.
func (t Tenant) Limited() bool {
	return t.Rate > 0
}

// validate returns an error if one of the tenant's values is invalid. The error contains no key.
func (t Tenant) validate() error {
	if err := validateText(t.Name); err != nil {
		return fmt.Errorf("name %w", err)
	}

	for i, key := range t.Keys {
		if err := validateText(key); err != nil {
			return fmt.Errorf("key %d %w", i+1, err)
		}
	}

	if !validAmount(t.Rate) {
		return fmt.Errorf("rate %v is negative or not finite", t.Rate)
	}

	if !validAmount(t.Burst) {
		return fmt.Errorf("burst %v is negative or not finite", t.Burst)
	}

	return nil
}

// validateText returns an error if a name or key can't be sent unchanged as the value of a header. The error does not
// contain the text, which may be a key.
func validateText(text string) error {
	switch {
	case text == "":
		return errors.New("is empty")
	case len(text) > maxTenantText:
		return fmt.Errorf("has %d bytes, at most %d are allowed", len(text), maxTenantText)
	}

	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return fmt.Errorf("has a byte other than visible ASCII at offset %d", i)
		}
	}

	return nil
}

func validAmount(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}

// keyDigest identifies an API key. Keys are looked up by digest, so that the time of the comparison reveals nothing
// about a key.
type keyDigest [sha256.Size]byte

func digestOf(key string) keyDigest {
	return sha256.Sum256([]byte(key))
}

// WithTenants returns a copy of s with these tenants in place of its own. It returns an error without any key if one of
// them is invalid, or if two of them have the same name or key.
func (s *Set) WithTenants(list []Tenant) (*Set, error) {
	next := *s
	next.tenants = make(map[string]Tenant, len(list))
	next.tenantNames = map[keyDigest]string{}

	for i, t := range list {
		if err := next.addTenant(t); err != nil {
			// An invalid name is not repeated, since it may have any length and content.
			return nil, fmt.Errorf("version %d, tenant %d: %w", s.Version, i+1, err)
		}
	}

	return &next, nil
}

// addTenant validates a tenant and adds it.
func (s *Set) addTenant(t Tenant) error {
	if err := t.validate(); err != nil {
		return err
	}

	if _, ok := s.tenants[t.Name]; ok {
		return fmt.Errorf("another tenant is also named %q", t.Name)
	}

	for i, key := range t.Keys {
		digest := digestOf(key)
		if name, ok := s.tenantNames[digest]; ok {
			return fmt.Errorf("key %d is already a key of %q", i+1, name)
		}

		s.tenantNames[digest] = t.Name
	}

	t.Keys = nil

	if t.Priority != nil {
		priority := *t.Priority
		t.Priority = &priority
	}

	s.tenants[t.Name] = t

	return nil
}

// HasTenants reports whether s contains tenants, so that requests need keys unless their rule is public.
func (s *Set) HasTenants() bool {
	return len(s.tenants) > 0
}

// Tenant returns the tenant that has an API key.
func (s *Set) Tenant(key string) (Tenant, bool) {
	name, ok := s.tenantNames[digestOf(key)]
	if !ok {
		return Tenant{}, false
	}

	return s.TenantByName(name)
}

// TenantByName returns a tenant by name.
func (s *Set) TenantByName(name string) (Tenant, bool) {
	t, ok := s.tenants[name]

	return t, ok
}
