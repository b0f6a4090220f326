package budget

import spar "sardinespar.example/spar"

// Progress is tested without sockets.
type Progress = progress

// IsSlow records whether a connection is receiving, and reports whether it is slow.
func (p *progress) IsSlow(receiving bool, requests int64, now, slowTime spar.Millis) bool {
	s := stateBusy
	if receiving {
		s = stateReceiving
	}

	return p.isSlow(s, requests, now, slowTime)
}
