package fleet

import (
	spar "sardinespar.example/spar"
)

// ZoneKey returns the row key of an availability zone's withdrawal.
func ZoneKey(z spar.Zone) string {
	return PrefixZone + string(z)
}

// ServerKey returns the row key of the withdrawal of a VM's backend server. The key has the VM's name,
// because the node id changes with each registration.
func ServerKey(vm string) string {
	return PrefixServer + vm
}

// Withdrawn reports whether operators have withdrawn the node's zone or its backend server.
func (v *View) Withdrawn(n spar.Node) bool {
	return v.withdrawn(ZoneKey(n.Zone)) || v.withdrawn(ServerKey(n.VM))
}

func (v *View) withdrawn(key string) bool {
	row, ok := v.Row(key)
	if !ok {
		return false
	}

	w, ok := decode[spar.Withdrawal](row)

	return ok && w.Withdrawn
}
