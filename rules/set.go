package rules

import (
	"fmt"
	"strings"
)

// Set is one version of all rules. It is immutable.
type Set struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	// hosts maps each lower-case host to its rules by path prefix.
	hosts map[string]map[string]Rule
	// tenants holds the tenants by name, and tenantNames their names by the digests of their keys.
	tenants     map[string]Tenant
	tenantNames map[keyDigest]string
}

// New returns a set of rules, or an error if one of them is invalid.
func New(version uint64, list []Rule, services []Service, limits Limits) (*Set, error) {
	s := &Set{
		Version: version, Limits: limits,
		services: make(map[string]Service, len(services)),
		hosts:    map[string]map[string]Rule{},
	}

	for _, service := range services {
		s.services[service.Name] = service
	}

	for _, r := range list {
		if err := s.add(r); err != nil {
			return nil, fmt.Errorf("version %d, rule %q: %w", version, r.Name, err)
		}
	}

	return s, nil
}

// add validates a rule and adds it.
func (s *Set) add(r Rule) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case !r.Kind.Valid():
		return fmt.Errorf("unknown kind %q", r.Kind)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v ms is not positive", r.Timeout)
	case len(r.Destinations) == 0:
		return fmt.Errorf("no destination service")
	}

	for _, destination := range r.Destinations {
		if _, ok := s.services[destination.Service]; !ok {
			return fmt.Errorf("unknown service %q", destination.Service)
		}
	}

	host := strings.ToLower(r.Host)
	if s.hosts[host] == nil {
		s.hosts[host] = map[string]Rule{}
	}

	s.hosts[host][r.Prefix] = r

	return nil
}

// Match returns the rule of the host with the longest prefix of path. A port in host is ignored.
func (s *Set) Match(host, path string) (Rule, bool) {
	name, _, _ := strings.Cut(host, ":")

	prefixes := s.hosts[strings.ToLower(name)]
	if len(prefixes) == 0 {
		return Rule{}, false
	}

	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}

	return Rule{}, false
}

// Service returns a service by name.
func (s *Set) Service(name string) (Service, bool) {
	service, ok := s.services[name]

	return service, ok
}
