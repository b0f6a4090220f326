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
	// minRoom is a free share of a zone that counts as little, if two zones are compared that have almost no room.
	minRoom = 0.05
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
	// noRoomFailureRate is the share of failed requests from which on a server of the chooser's zone counts as without
	// room. A server that fails quickly is idle, and would otherwise keep the requests of its zone.
	noRoomFailureRate = 0.5
	// minSlowdown bounds a reported slowdown from below. Without a bound, a server that reports 0.01 by mistake gets
	// nearly all requests.
	minSlowdown = 0.5
)

// Server is what a node knows of a backend server when it chooses.
type Server struct {
	Slots int
	// Load is the number of requests that were running or waiting at the server when it reported.
	Load int
	// ServiceTime is the time that the server usually takes for a request, as UsualTime keeps it; 0 means unknown.
	ServiceTime spar.Millis
	// Slowdown is the reported ratio of the current service time to the usual one; 0 means unknown.
	Slowdown float64
	// Age is the age of the report.
	Age spar.Millis
	// Sent is the number of requests that this node has sent to the server since the report.
	Sent int
	// InFlight is the number of requests of this node that the server has not yet answered.
	InFlight int
	// FailureRate is the share of this node's requests that the server failed.
	FailureRate float64
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
	// usual and service are the usual service time and the expected one.
	usual, service spar.Millis
	// capacity and room are the requests per millisecond that the server can run, and those that it can run beside its
	// present load. weight is the room with which it takes part in the choice.
	capacity, room, weight float64
}

// Choose returns the index of the server to use, or -1 if there is none. rnd returns random numbers from 0 to 1.
//
// The requests that were running when a server reported have ended after about one service time, so an old report says
// little about the server: it counts less the older it is, and the mean of its zone takes its place. Requests that
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

	if second >= 0 && preferSecond(servers, estimates, first, second) {
		return second
	}

	return first
}

// preferSecond reports whether the second server drawn is used instead of the first.
func preferSecond(servers []Server, estimates []estimate, first, second int) bool {
	// A cold server is mostly idle and would win the comparison. Of two servers both are always drawn, so the factor in
	// its free capacity has an effect only on which one is drawn first.
	if servers[second].Cold && !servers[first].Cold {
		return false
	}

	return cost(servers[second], estimates[second]) < cost(servers[first], estimates[first])
}

// estimateAll returns an estimate for each server.
func estimateAll(servers []Server) []estimate {
	var near, far utilization

	for _, s := range servers {
		if s.Near {
			near.add(s)
		} else {
			far.add(s)
		}
	}

	service := meanServiceTime(servers)
	list := make([]estimate, len(servers))

	for i, s := range servers {
		mean := far.mean()
		if s.Near {
			mean = near.mean()
		}

		list[i] = s.estimate(mean, service)
	}

	return list
}

// meanServiceTime returns the mean service time of the servers for which it is known.
func meanServiceTime(servers []Server) spar.Millis {
	var sum, known spar.Millis

	for _, s := range servers {
		if s.ServiceTime > 0 {
			sum += s.ServiceTime
			known++
		}
	}

	return sum / max(1, known)
}

// utilization is the reported load and the slots of some servers. The chooser's zone and the others are kept apart,
// since a zone stays full for longer than the report of one server means anything.
type utilization struct {
	load, slots float64
}

func (u *utilization) add(s Server) {
	u.load += float64(s.Load)
	u.slots += float64(max(1, s.Slots))
}

func (u *utilization) mean() float64 {
	return u.load / max(1, u.slots)
}

// estimate returns the present state of a server, given the mean utilization of its zone, and the mean service time of
// all servers, which is used if that of the server is unknown.
func (s Server) estimate(mean float64, meanService spar.Millis) estimate {
	slots := float64(max(1, s.Slots))

	usual := s.ServiceTime
	if usual <= 0 {
		usual = meanService
	}

	usual = max(1, usual)
	age := float64(max(0, s.Age))
	service := usual

	if s.Slowdown > 0 {
		service *= spar.Millis(1 + (max(minSlowdown, s.Slowdown)-1)*math.Exp(-age/float64(slowdownLife)))
	}

	trust := math.Exp(-reportDecay * age / float64(service))
	load := mean*slots + (float64(s.Load)-mean*slots)*trust + float64(s.Sent)
	load = max(load, float64(s.InFlight))

	perSlot := 1 / float64(service)
	if s.Cold {
		perSlot /= coldFactor
	}

	return estimate{
		load: load, usual: usual, service: service, capacity: slots * perSlot, room: max(0, slots-load) * perSlot,
		weight: max(minFree*slots, slots-load) * perSlot,
	}
}

// nearShare returns the probability with which a request stays in the chooser's zone. Cold and failing servers have no
// room for it: if they are the only ones of the zone, its requests go to all zones. If the other zones have as little
// room, crossing over would only cost bytes.
func nearShare(servers []Server, estimates []estimate) float64 {
	var near, far zoneRoom

	for i, s := range servers {
		if s.Near {
			near.add(s, estimates[i])
		} else {
			far.add(s, estimates[i])
		}
	}

	if near.capacity <= 0 {
		return 0
	}

	return max(near.share()/nearReserve, (near.share()+minRoom)/(far.share()+minRoom)-minRoom)
}

// zoneRoom is the capacity of some servers and its part that is free.
type zoneRoom struct {
	capacity, room float64
}

func (z *zoneRoom) add(s Server, e estimate) {
	z.capacity += e.capacity

	if !s.Cold {
		z.room += e.room * max(0, 1-s.FailureRate/noRoomFailureRate)
	}
}

// share returns the free share of the capacity.
func (z *zoneRoom) share() float64 {
	if z.capacity <= 0 {
		return 0
	}

	return z.room / z.capacity
}

// draw returns a random server that is usable and isn't except, with a probability in proportion to its free capacity.
// It returns -1 if there is none.
func draw(estimates []estimate, usable func(int) bool, rnd func() float64, except int) int {
	at, last := rnd()*totalWeight(estimates, usable, except), -1

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

// totalWeight returns the sum of the weights of the servers that are usable and aren't except.
func totalWeight(estimates []estimate, usable func(int) bool, except int) float64 {
	total := 0.0

	for i, e := range estimates {
		if i != except && usable(i) {
			total += e.weight
		}
	}

	return total
}

// cost ranks a server by the expected time of another request, as a multiple of the server's usual time. A faster
// server has no lower cost: it is already drawn more often, and would be overrun if it also won each comparison.
func cost(s Server, e estimate) float64 {
	slots := float64(max(1, s.Slots))
	utilization := e.load / slots
	waiting := max(0, e.load+1-slots) / slots
	return float64(e.service/e.usual)*(1+squareWeight*utilization*utilization+waiting) + float64(s.Penalty/e.usual)
}
