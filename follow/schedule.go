package follow

import spar "sardinespar.example/spar"

const (
	// pollEndInterval is the intended time between the ends of two long polls of different nodes. A node whose poll
	// ends without a response learns that the store was unresponsive, and tells its peers what they have missed.
	pollEndInterval spar.Millis = 1000
	// minPollWait and maxPollWait bound how long the store may hold a long poll.
	minPollWait spar.Millis = 4000
	maxPollWait spar.Millis = 20_000
)

// Membership is the place of a node among the nodes that follow the same table.
type Membership struct {
	// Rank is the number of nodes before this one, in an order on which the nodes agree.
	Rank int
	// Nodes is the number of nodes, this one included.
	Nodes int
}

// alone reports whether the node knows no other node.
func (m Membership) alone() bool {
	return m.Nodes <= 1
}

// PollWait returns how long the store may hold the next long poll of a node. Polls that begin together, such as those
// after a change that all nodes have received, end one after the other, so that the first one notices soon if all were
// left without a response. Later polls keep that distance. A node that knows no other has none to tell.
func PollWait(m Membership, together bool) spar.Millis {
	if m.alone() {
		return maxPollWait
	}

	nodes := spar.Millis(m.Nodes)
	wait := min(maxPollWait, max(minPollWait, nodes*pollEndInterval))

	if !together {
		return wait
	}

	return wait * spar.Millis(m.Rank%m.Nodes+1) / nodes
}
