package rules

// LimitedTenants returns the names of the tenants whose number of requests is limited, in any order.
func (s *Set) LimitedTenants() []string {
	names := make([]string, 0, len(s.tenants))

	for name, t := range s.tenants {
		if t.Limited() {
			names = append(names, name)
		}
	}

	return names
}
