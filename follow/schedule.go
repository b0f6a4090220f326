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

// Fleet is the position of a node among the nodes that follow the same table.
type Fleet struct {
	// Rank is the number of nodes before this one, in an order on which the nodes agree.
	Rank int
	// Nodes is the number of nodes, this one included.
	Nodes int
}

// PollWait returns how long the store may hold the next long poll of a node. Polls that begin together, such as those
// after a change that all nodes have received, end one after the other, so that the first one notices soon if all were
// left without a response. Later polls keep that distance.
func PollWait(f Fleet, together bool) spar.Millis {
	nodes := max(1, f.Nodes)
	wait := min(maxPollWait, max(minPollWait, spar.Millis(nodes)*pollEndInterval))

	if !together {
		return wait
	}

	return wait * spar.Millis(f.Rank%nodes+1) / spar.Millis(nodes)
}
