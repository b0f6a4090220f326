// Package spread chooses a backend server for a request from load reports that are a little old, while many other
// nodes choose at the same moment. It reads no clock and does no input or output.
package spread

import (
	"math"

	spar "sardinespar.example/spar"
)

const (
	// minFree is the smallest share of a server's slots that counts as free. Reports overstate the differences between
	// servers, since all nodes act on the same ones.
	minFree = 0.2
	// nearReserve is the share of the slots of the chooser's zone that must be free for all of its requests to stay
	// there. Below it, the part that goes to all zones grows in proportion, since a limit that switches all requests at
	// once makes the zones overrun each other in turns.
	nearReserve = 0.3
	// squareWeight is the weight of the squared utilization in the assumed slowdown of a server, since some servers slow
	// down under load.
	squareWeight = 0.6
	// slowdownLife is the time in which a reported slowdown loses most of its meaning: servers share their machines with
	// others, whose load changes within some tenths of a second.
	slowdownLife spar.Millis = 300
	// reportDecay is how fast a report loses its weight, per service time of its age. It is well above 1, since the other
	// nodes have acted on the same report meanwhile.
	reportDecay = 4
	// coldFactor divides the capacity of a server that has just started.
	coldFactor = 3
)

// Server is what a node knows of a backend server when it chooses.
type Server struct {
	Slots int
	// Load is the number of requests that were running or waiting at the server when it reported.
	Load int
	// ServiceTime is the time that the server usually takes for a request, as UsualTime keeps it.
	ServiceTime spar.Millis
	// Slowdown is the reported ratio of the current service time to the usual one; 0 means unknown.
	Slowdown float64
	// Age is the age of the report.
	Age spar.Millis
	// Sent is the number of requests that this node has sent to the server since the report.
	Sent int
	// Penalty is added to the expected time, for failures or a longer way.
	Penalty spar.Millis
	// Near is true if the server is in the chooser's availability zone.
	Near bool
	// Cold is true if the server has started recently and should get few requests.
	Cold bool
}

// usualTimeLife is the time in which UsualTime replaces most of what it has learned.
const usualTimeLife spar.Millis = 4000

// UsualTime returns the usual service time of a server after a report that came since after the last one. A server that
// was slowed by others on its machine reports a high mean for some tenths of a second. By the time that all nodes have
// the report it no longer holds, and if they all relied on it they would overrun the other servers.
func UsualTime(usual, reported, since spar.Millis) spar.Millis {
	if usual <= 0 {
		return reported
	}

	return usual + (reported-usual)*spar.Millis(1-math.Exp(-float64(since/usualTimeLife)))
}

// estimate is what a Server's report implies for the present.
type estimate struct {
	// load is the expected number of requests running or waiting.
	load float64
	// service is the expected service time.
	service spar.Millis
	// capacity and room are the requests per millisecond that the server can run, and those that it can run beside its
	// present load. weight is the room with which it takes part in the choice.
	capacity, room, weight float64
}

// Choose returns the index of the server to use, or -1 if there is none. rnd returns random numbers from 0 to 1.
//
// The requests that were running when a server reported have ended after about one service time, so an old report says
// little about the server: it counts less the older it is, and the mean of all servers takes its place. Requests that
// the node itself has sent since then are known, and are added. Two servers are drawn with probabilities in proportion
// to their free capacity, and the one that would complete the request first is used. Comparing all servers instead
// would send the requests of all nodes to the same one until its next report.
func Choose(servers []Server, rnd func() float64) int {
	estimates := estimateAll(servers)
	onlyNear := rnd() < nearShare(servers, estimates)
	usable := func(i int) bool { return !onlyNear || servers[i].Near }

	first := draw(estimates, usable, rnd, -1)
	if first < 0 {
		return -1
	}

	second := draw(estimates, usable, rnd, first)
	if second >= 0 && cost(servers[second], estimates[second]) < cost(servers[first], estimates[first]) {
		return second
	}

	return first
}

// estimateAll returns an estimate for each server.
func estimateAll(servers []Server) []estimate {
	var load, slots float64

	for _, s := range servers {
		load += float64(s.Load)
		slots += float64(max(1, s.Slots))
	}

	list := make([]estimate, len(servers))
	for i, s := range servers {
		list[i] = s.estimate(load / slots)
	}

	return list
}

// estimate returns the present state of a server, given the mean utilization of all servers.
func (s Server) estimate(mean float64) estimate {
	slots := float64(max(1, s.Slots))
	service := max(1, s.ServiceTime)

	if s.Slowdown > 0 {
		service *= spar.Millis(1 + (s.Slowdown-1)*math.Exp(-float64(s.Age/slowdownLife)))
	}

	trust := math.Exp(-reportDecay * float64(s.Age/service))
	load := mean*slots + (float64(s.Load)-mean*slots)*trust + float64(s.Sent)

	perSlot := 1 / float64(service)
	if s.Cold {
		perSlot /= coldFactor
	}

	return estimate{
		load: load, service: service, capacity: slots * perSlot, room: max(0, slots-load) * perSlot,
		weight: max(minFree*slots, slots-load) * perSlot,
	}
}

// nearShare returns the probability with which a request stays in the chooser's zone.
func nearShare(servers []Server, estimates []estimate) float64 {
	var room, capacity float64

	for i, s := range servers {
		if s.Near {
			room += estimates[i].room
			capacity += estimates[i].capacity
		}
	}

	if capacity <= 0 {
		return 0
	}

	return room / capacity / nearReserve
}

// draw returns a random server that is usable and isn't except, with a probability in proportion to its free capacity.
// It returns -1 if there is none.
func draw(estimates []estimate, usable func(int) bool, rnd func() float64, except int) int {
	total := 0.0

	for i, e := range estimates {
		if i != except && usable(i) {
			total += e.weight
		}
	}

	at, last := rnd()*total, -1

	for i, e := range estimates {
		if i == except || !usable(i) {
			continue
		}

		last = i

		if at -= e.weight; at < 0 {
			break
		}
	}

	return last
}

// cost ranks a server by the expected time of another request, as a multiple of the server's usual time. A faster
// server has no lower cost: it is already drawn more often, and would be overrun if it also won each comparison.
func cost(s Server, e estimate) float64 {
	slots := float64(max(1, s.Slots))
	utilization := e.load / slots
	waiting := max(0, e.load+1-slots) / slots
	usual := max(1, s.ServiceTime)

	return float64(e.service/usual)*(1+squareWeight*utilization*utilization+waiting) + float64(s.Penalty/usual)
}
