package main

import (
	"bytes"
	"fmt"
	"sync"
)

// sent is what is known of one client attempt.
type sent struct {
	request

	// services are those to which a manifest allows the request to go.
	services []string
	unsafe   bool
	answer   answer
	done     bool
}

// checker keeps all client attempts and finds broken rules.
type checker struct {
	rec *record

	mu     sync.Mutex
	all    map[string]*sent
	broken []string
	counts map[string]int
}

func newChecker(rec *record) *checker {
	return &checker{rec: rec, all: map[string]*sent{}, counts: map[string]int{}}
}

// begin records an attempt before it is sent.
func (k *checker) begin(s *sent) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.all[s.id] = s
	k.rec.line("client sends %s %s %s%s", s.id, s.method, s.host, s.path)
}

// finish records the answer of an attempt and checks that it is the whole answer of its own request.
func (k *checker) finish(s *sent, a answer) {
	k.mu.Lock()
	defer k.mu.Unlock()

	s.answer, s.done = a, true

	if a.err != nil {
		k.counts["no answer"]++
		k.rec.line("client gets no answer to %s: %v", s.id, a.err)

		return
	}

	k.counts[fmt.Sprint(a.status)]++
	k.rec.line("client gets %d for %s", a.status, s.id)

	seal := a.header.Get("Sardinespar-Response-Seal")

	switch {
	case a.status/100 == 2 && seal != "seal-"+s.id:
		k.breakLocked("MIXED: %s got status %d with seal %q and body %.40q", s.id, a.status, seal, a.body)
	case a.status/100 == 2 && !s.whole(a.body):
		k.breakLocked("MIXED: %s got %d bytes that are not its answer: %.40q", s.id, len(a.body), a.body)
	case a.status/100 != 2 && seal != "":
		k.breakLocked("MIXED: %s got status %d with a seal", s.id, a.status)
	}
}

// whole reports whether body is the complete answer of a service to the request.
func (s *sent) whole(body []byte) bool {
	for _, service := range s.services {
		if bytes.Equal(body, answerBody(service, s.id, len(body))) && len(body) >= minBody {
			return true
		}
	}

	return false
}

// minBody is the size of the shortest body that the servers send.
const minBody = 400

func (k *checker) break_(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.breakLocked(format, args...)
}

func (k *checker) breakLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.broken = append(k.broken, text)
	k.rec.line("BROKEN %s", text)
}

// checkRuns compares the runs of all servers with what was sent and answered.
func (k *checker) checkRuns(servers []*upstream) {
	runs := map[string]int{}

	for _, u := range servers {
		u.mu.Lock()
		for id, n := range u.runs {
			runs[id] += n
		}
		u.mu.Unlock()
	}

	k.mu.Lock()
	defer k.mu.Unlock()

	for id, n := range runs {
		s, ok := k.all[id]

		switch {
		case !ok:
			k.breakLocked("UNASKED: %s ran and no client sent it", id)
		case s.unsafe && n > 1:
			k.breakLocked("TWICE: %s ran %d times", id, n)
		case s.unsafe && s.done && s.answer.err == nil && promises(s.answer.status):
			k.breakLocked("REFUSED: %s was answered %d and ran", id, s.answer.status)
		}
	}
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
