package ledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	spar "sardinespar.example/spar"
)

const secretBytes = 32

// slotLedger holds the records of one slot under one owner.
type slotLedger struct {
	epoch  spar.Epoch
	base   spar.Epoch
	secret [secretBytes]byte
	// issued is the highest token number issued, dropped the highest one whose record was dropped.
	issued  uint64
	dropped uint64
	// version counts changes, so that a delayed export never replaces a newer one.
	version uint64
	// incomplete is set if records of this base epoch are missing. Tokens issued before cannot be
	// distinguished from forged ones and have an unknown outcome.
	incomplete bool
	activeRuns int
	records    map[uint64]*record
}

func newSlotLedger(a spar.Assignment, incomplete bool) *slotLedger {
	sl := &slotLedger{epoch: a.Epoch, base: a.Base, incomplete: incomplete, records: map[uint64]*record{}}
	_, _ = rand.Read(sl.secret[:])

	return sl
}

// tag returns the keyed hash that binds a token to its number, its key and this secret.
func (sl *slotLedger) tag(number uint64, key string) uint64 {
	data := make([]byte, 0, 128)
	data = append(data, sl.secret[:]...)
	data = binary.BigEndian.AppendUint64(data, number)
	data = append(data, key...)
	sum := sha256.Sum256(data)

	return binary.BigEndian.Uint64(sum[:])
}

// state is the state of a run.
type state int

const (
	stateRunning state = iota
	stateCompleted
	stateUnknown
)

// record is the record of one run.
type record struct {
	parent  *slotLedger
	number  uint64
	digest  uint64
	state   state
	result  storedResult
	endedAt spar.Millis
	bytes   int64
	// untracked is set once the record no longer counts towards the limits.
	untracked bool
	// done is closed when the run ends; it is nil while nobody waits for it.
	done chan struct{}
}

func (r *record) closeDone() {
	if r.done != nil {
		close(r.done)
		r.done = nil
	}
}
