package quota

import spar "sardinespar.example/spar"

// maxBatches is the maximum number of batches in a Stock. A batch that exceeds it is added to an older one.
const maxBatches = 6

// Credit permits one request of a tenant to reach a backend server. The zero Credit is that of a request without a
// limit.
type Credit struct {
	Tenant  string
	Expires spar.Millis
	// Granted is the coordinator's stamp of the grant.
	Granted Stamp
}

// batch is a number of credits that expire together.
type batch struct {
	n       int
	expires spar.Millis
	// granted is the stamp of the grant, or the older one of two that were combined. It is zero if they are of different
	// coordinators, so that the credits can't be returned.
	granted Stamp
}

// Stock holds the credits of a tenant at a node. It allocates nothing.
type Stock struct {
	// batches are sorted by expiry; the first used ones hold credits.
	batches [maxBatches]batch
	used    int
}

// Len returns the number of credits that are valid.
func (s *Stock) Len(now spar.Millis) int {
	s.dropExpired(now)

	n := 0
	for _, b := range s.batches[:s.used] {
		n += b.n
	}

	return n
}

// Take removes the credit that expires first, and returns its expiry and the stamp of its grant.
func (s *Stock) Take(now spar.Millis) (expires spar.Millis, granted Stamp, ok bool) {
	s.dropExpired(now)

	if s.used == 0 {
		return 0, Stamp{}, false
	}

	b := &s.batches[0]
	expires, granted = b.expires, b.granted
	b.n--

	if b.n == 0 {
		s.removeFirst()
	}

	return expires, granted, true
}

// Add adds credits. If there are too many batches, it adds them to the one that expires before them, so that no
// credit is valid for longer than granted.
func (s *Stock) Add(n int, expires spar.Millis, granted Stamp, now spar.Millis) {
	s.dropExpired(now)

	if n <= 0 || expires <= now {
		return
	}

	i := s.used
	for i > 0 && s.batches[i-1].expires > expires {
		i--
	}

	switch {
	case i > 0 && s.batches[i-1].expires == expires && s.batches[i-1].granted == granted:
		s.batches[i-1].n += n
	case s.used == maxBatches:
		b := &s.batches[max(0, i-1)]
		b.n += n
		b.expires = min(b.expires, expires)
		b.granted = older(b.granted, granted)
	default:
		copy(s.batches[i+1:], s.batches[i:s.used])
		s.batches[i] = batch{n: n, expires: expires, granted: granted}
		s.used++
	}
}

// older returns the older one of two stamps, or none if they are of different coordinators.
func older(a, b Stamp) Stamp {
	if a.Run != b.Run {
		return Stamp{}
	}

	return Stamp{Run: a.Run, At: min(a.At, b.At)}
}

// Surplus returns how many credits of a coordinator's process expire within a time and are more than the stock needs.
func (s *Stock) Surplus(now, within spar.Millis, need int, run uint64) int {
	most, n := s.Len(now)-need, 0

	for _, b := range s.batches[:s.used] {
		if b.granted.Run == run && b.expires <= now+within {
			n += b.n
		}
	}

	return max(0, min(n, most))
}

// Remove removes n credits of a coordinator's process, those that expire first, to return them.
func (s *Stock) Remove(n int, run uint64) []Unused {
	var unused []Unused

	for i := range s.batches[:s.used] {
		b := &s.batches[i]
		if k := min(n, b.n); k > 0 && b.granted.Run == run {
			b.n -= k
			n -= k
			unused = append(unused, Unused{At: b.granted.At, Credits: k})
		}
	}

	kept := 0

	for _, b := range s.batches[:s.used] {
		if b.n > 0 {
			s.batches[kept] = b
			kept++
		}
	}

	s.used = kept

	return unused
}

func (s *Stock) dropExpired(now spar.Millis) {
	for s.used > 0 && s.batches[0].expires <= now {
		s.removeFirst()
	}
}

func (s *Stock) removeFirst() {
	copy(s.batches[:], s.batches[1:s.used])
	s.used--
}
