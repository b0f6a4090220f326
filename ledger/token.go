// Package ledger ensures that non-idempotent calls run at most once. It issues the tokens that
// permit a run, and records each run so that a resent call gets the recorded result.
package ledger

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
)

// maxTokenBytes is the longest text that is parsed as a token. The largest numbers take 59 bytes.
const maxTokenBytes = 64

const (
	tokenParts = 4
	tagDigits  = 16
)

var errMalformedToken = errors.New("token must be slot.base.number.tag as it was issued")

// Token permits one run of a non-idempotent call. Its tag is a keyed hash of number and key with
// the random secret of the slot's records. A token therefore cannot be forged, cannot be used for
// another key, and cannot run where the records that it belongs to are missing.
type Token struct {
	Slot   spar.Slot
	Base   spar.Epoch
	Number uint64
	Tag    uint64
}

// String returns the text form that ParseToken accepts.
func (t Token) String() string {
	return fmt.Sprintf("%d.%d.%d.%016x", t.Slot, t.Base, t.Number, t.Tag)
}

// ParseToken parses a token's text form. It accepts exactly what String returns.
func ParseToken(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, errMalformedToken
	}

	parts := strings.Split(text, ".")
	if len(parts) != tokenParts || len(parts[3]) != tagDigits {
		return Token{}, errMalformedToken
	}

	slot, slotErr := strconv.ParseUint(parts[0], 10, 16)
	base, baseErr := strconv.ParseInt(parts[1], 10, 64)
	number, numberErr := strconv.ParseUint(parts[2], 10, 64)
	tag, tagErr := strconv.ParseUint(parts[3], 16, 64)
	t := Token{Slot: spar.Slot(slot), Base: spar.Epoch(base), Number: number, Tag: tag}

	err := errors.Join(slotErr, baseErr, numberErr, tagErr)
	if err != nil || base < 1 || number < 1 || t.String() != text {
		return Token{}, errMalformedToken
	}

	return t, nil
}
