package quota

import "github.com/cespare/xxhash/v2"

// Member is a node that may be a coordinator.
type Member struct {
	Node string `json:"node"`
	// Addr is the address for calls of peers; it is empty for the local node.
	Addr string `json:"addr,omitempty"`
}

// View is what a node knows of the fleet.
type View struct {
	// Live are the other nodes that are alive and may be coordinators: they have rules and are not leaving.
	Live []Member
	// Known is the number of all known nodes including this one, whether they are alive or not. It is 0 until the
	// nodes have been read from the table.
	Known int
}

// Choose returns the coordinator of a tenant by rendezvous hashing: the member with the highest hash of its name and
// the tenant's. If a member is added or removed, only the tenants that it coordinates change their coordinator.
func Choose(tenant string, members []Member) (Member, bool) {
	var (
		best    Member
		highest uint64
	)

	for i, m := range members {
		h := xxhash.Sum64String(tenant + "\x00" + m.Node)
		if i == 0 || h > highest || h == highest && m.Node < best.Node {
			best, highest = m, h
		}
	}

	return best, len(members) > 0
}
