package quota

import spar "sardinespar.example/spar"

// maxBatches is the maximum number of batches in a Stock. A batch that exceeds it is added to an older one.
const maxBatches = 6

// Credit permits one request of a tenant to reach a backend server. The zero Credit is that of a request without a
// limit.
type Credit struct {
	Tenant  string
	Expires spar.Millis
}

// batch is a number of credits that expire together.
type batch struct {
	n       int
	expires spar.Millis
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

// Take removes the credit that expires first, and returns its expiry.
func (s *Stock) Take(now spar.Millis) (expires spar.Millis, ok bool) {
	s.dropExpired(now)

	if s.used == 0 {
		return 0, false
	}

	b := &s.batches[0]
	expires = b.expires
	b.n--

	if b.n == 0 {
		s.removeFirst()
	}

	return expires, true
}

// Add adds credits. If there are too many batches, it adds them to the one that expires before them, so that no
// credit is valid for longer than granted.
func (s *Stock) Add(n int, expires, now spar.Millis) {
	s.dropExpired(now)

	if n <= 0 || expires <= now {
		return
	}

	i := s.used
	for i > 0 && s.batches[i-1].expires > expires {
		i--
	}

	switch {
	case i > 0 && (s.batches[i-1].expires == expires || s.used == maxBatches):
		s.batches[i-1].n += n
	case s.used == maxBatches:
		s.batches[0].n += n
		s.batches[0].expires = expires
	default:
		copy(s.batches[i+1:], s.batches[i:s.used])
		s.batches[i] = batch{n: n, expires: expires}
		s.used++
	}
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
