package entry

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/mesh"
)

// candidates returns the nodes whose backend servers can serve a service.
func (e *Entry) candidates(service string) []Candidate {
	now := e.deps.Clock.Now()
	timeout := e.deps.Mesh.LivenessTimeout()

	var list []Candidate

	if u := e.deps.Gate.Upstream(); u.Service == service && e.localObstacle(u) == "" {
		list = append(list, e.localCandidate(u, now))
	}

	for _, p := range e.deps.Mesh.Peers() {
		if p.Service == service && e.peerObstacle(p, now, timeout) == "" {
			list = append(list, e.peerCandidate(p, now))
		}
	}

	return list
}

// The reasons why a node of a service is no candidate.
const (
	obstacleNotReady  = "not ready"
	obstacleDown      = "refuses connections"
	obstacleSilent    = "not heard from"
	obstacleWithdrawn = "zone withdrawn"
)

// localObstacle returns why this node's backend server is no candidate, or an empty text.
func (e *Entry) localObstacle(u gate.Upstream) string {
	switch {
	case !u.Ready:
		return obstacleNotReady
	case u.Down:
		return obstacleDown
	case e.deps.ZoneWithdrawn(e.cfg.Zone):
		return obstacleWithdrawn
	}

	return ""
}

// peerObstacle returns why a peer's backend server is no candidate, or an empty text.
func (e *Entry) peerObstacle(p mesh.Peer, now, timeout spar.Millis) string {
	switch {
	case !p.Ready:
		return obstacleNotReady
	case !p.Alive(now, timeout):
		return obstacleSilent
	case e.deps.ZoneWithdrawn(p.Zone):
		return obstacleWithdrawn
	}

	return ""
}

// localCandidate returns this node as a candidate.
func (e *Entry) localCandidate(u gate.Upstream, now spar.Millis) Candidate {
	return Candidate{
		Node: e.cfg.Node, InstanceID: u.Incarnation.ID, Local: true, SameZone: true, Cold: u.Cold(now),
		Load: e.deps.Gate.Load(), LoadAt: now,
	}
}

// peerCandidate returns a peer as a candidate.
func (e *Entry) peerCandidate(p mesh.Peer, now spar.Millis) Candidate {
	return Candidate{
		Node: p.Node, Addr: p.InboundAddr, InstanceID: p.ServerIncarnation.ID, SameZone: p.Zone == e.cfg.Zone,
		Cold: p.ColdMS > now-p.LastHeard, Load: p.Load, LoadAt: p.LoadAt,
	}
}
