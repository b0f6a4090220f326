package fleet

import (
	spar "sardinespar.example/spar"
)

// ZoneKey returns the row key of an availability zone's withdrawal.
func ZoneKey(z spar.Zone) string {
	return PrefixZone + string(z)
}

// ServerKey returns the row key of the withdrawal of one VM's backend server. The VM's name is
// used because the node id changes with each registration.
func ServerKey(vm string) string {
	return PrefixServer + vm
}

// Withdrawn reports whether operators have taken out the node's zone or its backend server.
func (v *View) Withdrawn(n spar.Node) bool {
	return v.out(ZoneKey(n.Zone)) || v.out(ServerKey(n.VM))
}

func (v *View) out(key string) bool {
	row, ok := v.Row(key)
	if !ok {
		return false
	}

	w, ok := decode[spar.Withdrawal](row)

	return ok && w.Out
}
