package entry

import (
	"errors"
	"io"
	"net/http"

	"sardinespar.example/spar/budget"
)

// firstPieceBytes is the first piece of memory for a body whose length is not known.
const firstPieceBytes = 16 << 10

const (
	// lineBytes is the memory of a line of a parsed header and of its copy for the next hop, in addition to its text,
	// which both share. docs/design/memory.md has the measurement.
	lineBytes = 200
	// requestBytes is the memory of a request without its header lines and its body.
	requestBytes = 12 << 10
)

// headBytes returns the memory that a request holds without its body.
func headBytes(h http.Header) int64 {
	n := int64(requestBytes)

	for name, values := range h {
		for _, v := range values {
			n += lineBytes + int64(len(name)+len(v))
		}
	}

	return n
}

var (
	errBodyTooLong = errors.New("body is too long")
	errNoMemory    = errors.New("no memory for the body")
)

// readBody reads a request's body of at most limit bytes, which is allocated once if its length is known. Its bytes are
// counted already; account counts what else is allocated.
func readBody(r *http.Request, limit int64, account *budget.Account) ([]byte, error) {
	switch n := r.ContentLength; {
	case n > limit:
		return nil, errBodyTooLong
	case n < 0:
		return readPieces(r.Body, limit, account)
	default:
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)

		return body, err
	}
}

// readPieces reads a body whose length is not known. The memory doubles whenever it is full; while it is copied, there
// is both the old and the new memory.
func readPieces(r io.Reader, limit int64, account *budget.Account) ([]byte, error) {
	var (
		body []byte
		// unread is the part of the memory that no byte had been read into when it was allocated.
		unread int64
	)

	for {
		if len(body) == cap(body) {
			// One more byte than the limit shows that a body is too long.
			size := min(limit+1, max(firstPieceBytes, 2*int64(cap(body))))
			if !account.Take(size) {
				return nil, errNoMemory
			}

			larger := make([]byte, len(body), size)
			copy(larger, body)
			// The bytes in the new memory are counted already, and what was taken for the old memory is free.
			account.Release(int64(len(body)) + unread)
			unread = size - int64(len(body))
			body = larger
		}

		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]

		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
