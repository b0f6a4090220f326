package follow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/follow"
)

// Guards against a fleet whose long polls all end together, so that none of them shows for 20 s that the store left
// them without a response.
func TestLongPollsEndOneAfterTheOther(t *testing.T) {
	const (
		// maxGap is the longest time between the ends of two polls in a fleet of at least minNodes.
		maxGap   spar.Millis = 1000
		minNodes             = 4
		maxWait  spar.Millis = 20_000
	)

	for _, nodes := range []int{2, 3, minNodes, 6, 14, 20, 74, 295, 440} {
		var last spar.Millis

		for rank := range nodes {
			end := follow.PollWait(follow.Membership{Rank: rank, Nodes: nodes}, true)
			gap := end - last
			last = end

			qt.Check(t, gap > 0, qt.IsTrue, qt.Commentf("%d nodes, rank %d", nodes, rank))
			qt.Check(t, nodes < minNodes || gap <= maxGap, qt.IsTrue, qt.Commentf("%d nodes: gap of %v", nodes, gap))
		}

		// The next polls of all nodes are equally long, and so keep the distance.
		wait := follow.PollWait(follow.Membership{Rank: nodes - 1, Nodes: nodes}, false)
		qt.Check(t, wait, qt.Equals, last)
		qt.Check(t, wait <= maxWait, qt.IsTrue)
	}

	qt.Check(t, follow.PollWait(follow.Membership{Nodes: 1}, true), qt.Equals, maxWait)
}
