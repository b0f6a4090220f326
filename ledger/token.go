// Package ledger lets non-idempotent calls run at most once: it issues the tokens that permit a
// run and keeps a record of each run for resends.
package ledger

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
)

// maxTokenBytes bounds a token's text: the widest numbers take 59 bytes.
const maxTokenBytes = 64

const (
	tokenParts = 4
	tagDigits  = 16
)

var errToken = errors.New("token must be slot.base.number.tag as it was issued")

// Token permits one run of a non-idempotent call. Its tag is a keyed hash over number and key under
// the random secret of the slot's records: a token can't be made up, can't be used for another key,
// and can't run where the records that it belongs to are missing.
type Token struct {
	Slot   spar.Slot
	Base   spar.Epoch
	Number uint64
	Tag    uint64
}

// String returns the text form, which ParseToken reads.
func (t Token) String() string {
	return fmt.Sprintf("%d.%d.%d.%016x", t.Slot, t.Base, t.Number, t.Tag)
}

// ParseToken reads a token's text form. It accepts exactly what String returns.
func ParseToken(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, errToken
	}

	parts := strings.Split(text, ".")
	if len(parts) != tokenParts || len(parts[3]) != tagDigits {
		return Token{}, errToken
	}

	slot, slotErr := strconv.ParseUint(parts[0], 10, 16)
	base, baseErr := strconv.ParseInt(parts[1], 10, 64)
	number, numberErr := strconv.ParseUint(parts[2], 10, 64)
	tag, tagErr := strconv.ParseUint(parts[3], 16, 64)
	t := Token{Slot: spar.Slot(slot), Base: spar.Epoch(base), Number: number, Tag: tag}

	err := errors.Join(slotErr, baseErr, numberErr, tagErr)
	if err != nil || base < 1 || number < 1 || t.String() != text {
		return Token{}, errToken
	}

	return t, nil
}
