package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	spar "sardinespar.example/spar"
)

const secretBytes = 32

// book is the records of one slot under one owner.
type book struct {
	epoch  spar.Epoch
	base   spar.Epoch
	secret [secretBytes]byte
	// issued is the highest number issued, dropped the highest one whose record was dropped.
	issued  uint64
	dropped uint64
	// version counts the changes, so that a delayed copy never replaces a newer one.
	version uint64
	// gap says that records of this base are missing: tokens issued before can't be told from
	// made-up ones and count as unknown.
	gap     bool
	running int
	records map[uint64]*record
}

func newBook(a spar.Assignment, gap bool) *book {
	b := &book{epoch: a.Epoch, base: a.Base, gap: gap, records: map[uint64]*record{}}
	_, _ = rand.Read(b.secret[:])

	return b
}

func (b *book) tag(number uint64, key string) uint64 {
	data := make([]byte, 0, 128)
	data = append(data, b.secret[:]...)
	data = binary.BigEndian.AppendUint64(data, number)
	data = append(data, key...)
	sum := sha256.Sum256(data)

	return binary.BigEndian.Uint64(sum[:])
}

// state is what is known of a run.
type state int

const (
	stateRunning state = iota
	stateCompleted
	stateUnknown
)

// record is one run.
type record struct {
	book   *book
	number uint64
	digest uint64
	state  state
	result stored
	ended  spar.Millis
	size   int64
	gone   bool
	// waiters is closed when the run ends; it is nil until somebody waits.
	waiters chan struct{}
}

func (r *record) wake() {
	if r.waiters != nil {
		close(r.waiters)
		r.waiters = nil
	}
}
