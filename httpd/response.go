package httpd

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxWaitingBytes bounds the bytes of a response that waits for its turn.
	maxWaitingBytes = 16 << 10
	// maxUnframedBytes bounds a body that is held until its length is known. A longer one is sent in chunks.
	maxUnframedBytes = 2 << 10
	// maxStatus is the highest status that can be written.
	maxStatus = 999
)

// response is the response of an exchange. Only its handler uses it until it is complete.
type response struct {
	x      *exchange
	header http.Header
	// status is 0 until the header was written.
	status int
	// length is the length of the body; negative if it is not known.
	length  int64
	written int64
	// out holds the bytes that are not sent yet, and unframed a body until its length is known.
	out      *buffer
	unframed *buffer
	// open is true until the head in out is complete. sniff is true if the head lacks a content type.
	open, sniff bool
	chunked     bool
	closes      bool
	aborted     bool
}

// Header returns the header, which WriteHeader sends.
func (r *response) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}

	return r.header
}

// WriteHeader writes the head of the response except for its last lines, which depend on the body. Interim responses
// are not supported.
func (r *response) WriteHeader(status int) {
	if status < http.StatusContinue || status > maxStatus {
		panic(fmt.Sprintf("httpd: invalid status %d", status))
	}

	if r.status != 0 || status < http.StatusOK {
		return
	}

	r.status = status
	r.length = r.declaredLength()

	if b := r.x.body; b != nil && !b.skip() {
		r.closes = true
	}

	if r.x.req.Close || !r.x.http11() || hasToken(r.header["Connection"], "close") {
		r.closes = true
	}

	if r.closes {
		r.x.conn.closeAfter(r.x)
	}

	if r.out == nil && r.mayBuffer(bufferBytes) {
		r.out = r.x.conn.server.pools.buffer()
	} else if r.out == nil {
		// Without memory the response waits for its turn, of which the connection's own memory is part.
		_ = r.x.awaitTurn(&r.x.ctx)
		r.out = r.x.conn.server.pools.buffer()
	}

	r.appendHead()
}

// declaredLength returns the length that the handler has set, or -1.
func (r *response) declaredLength() int64 {
	if v := r.header["Content-Length"]; len(v) > 0 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil && n >= 0 {
			return n
		}
	}

	return -1
}

// mayBuffer reports whether n more bytes may be held. What is held while the turn has not come counts as memory of
// the request; afterwards it is part of the connection's own memory.
func (r *response) mayBuffer(n int64) bool {
	if r.x.turn.Load() {
		return true
	}

	if !r.x.conn.account.Take(n) {
		return false
	}

	r.x.held += n

	return true
}

// head reports whether the response is that to a HEAD request.
func (r *response) head() bool {
	return r.x.req != nil && r.x.req.Method == http.MethodHead
}

// bodyAllowed reports whether a response with this status may have a body.
func (r *response) bodyAllowed() bool {
	return r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// closeDelimited reports whether the end of the connection ends the body.
func (r *response) closeDelimited() bool {
	return r.status != 0 && !r.open && r.length < 0 && !r.chunked && r.bodyAllowed() && !r.head()
}

// appendHead appends the status line and the header, without the lines that depend on the body.
func (r *response) appendHead() {
	b := r.out.b

	if r.x.http11() {
		b = append(b, "HTTP/1.1 "...)
	} else {
		b = append(b, "HTTP/1.0 "...)
	}

	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, ' ')

	if text := http.StatusText(r.status); text != "" {
		b = append(b, text...)
	} else {
		b = append(b, "status code "...)
		b = strconv.AppendInt(b, int64(r.status), 10)
	}

	b = append(b, "\r\n"...)

	for name, values := range r.header {
		if r.sendsHeader(name) {
			for _, v := range values {
				b = appendField(b, name, v)
			}
		}
	}

	if _, ok := r.header["Date"]; !ok {
		b = append(b, "Date: "...)
		b = append(b, r.x.conn.server.date.now()...)
		b = append(b, "\r\n"...)
	}

	if r.closes && r.x.http11() {
		b = append(b, "Connection: close\r\n"...)
	}

	r.out.b = b
	r.open = true
	_, typed := r.header["Content-Type"]
	r.sniff = !typed && r.bodyAllowed() && len(r.header["Content-Encoding"]) == 0
}

// sendsHeader reports whether a header of the handler is sent as it is.
func (r *response) sendsHeader(name string) bool {
	switch name {
	case "Content-Length", "Transfer-Encoding":
		return false
	case "Connection":
		return !r.closes || !r.x.http11()
	case "Content-Type":
		return r.status != http.StatusNotModified
	}

	return isToken(name)
}

// lineEnds replaces line ends, which would begin another header line.
var lineEnds = strings.NewReplacer("\r", " ", "\n", " ")

func appendField(b []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		value = lineEnds.Replace(value)
	}

	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, strings.Trim(value, " \t")...)

	return append(b, "\r\n"...)
}

// endHead completes the head. body is the first part of the body. complete is true if there is no other part, so
// that the length is known.
func (r *response) endHead(body []byte, complete bool) {
	r.open = false
	b := r.out.b

	if r.sniff && len(body) > 0 {
		b = appendField(b, "Content-Type", http.DetectContentType(body))
	}

	if r.length < 0 && complete && !r.head() && r.bodyAllowed() {
		r.length = int64(len(body))
	}

	switch {
	case !r.bodyAllowed():
	case r.length >= 0:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, r.length, 10)
		b = append(b, "\r\n"...)
	case r.x.http11() && !r.head():
		r.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}

	b = append(b, "\r\n"...)
	r.out.b = b
}

// Write sends a part of the body, or buffers it while other responses come before.
func (r *response) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}

	if len(p) == 0 {
		return 0, nil
	}

	if !r.bodyAllowed() {
		return 0, http.ErrBodyNotAllowed
	}

	r.written += int64(len(p))

	if r.length >= 0 && r.written > r.length {
		return 0, http.ErrContentLength
	}

	if err := r.sendPart(p); err != nil {
		return 0, err
	}

	return len(p), nil
}

// sendPart sends a part of the body in the framing of the response.
func (r *response) sendPart(p []byte) error {
	if r.open {
		if r.length < 0 && r.written <= maxUnframedBytes && !r.head() {
			r.hold(p)

			return nil
		}

		if err := r.beginBody(p); err != nil {
			return err
		}
	}

	if r.head() {
		return nil
	}

	return r.sendFramed(p)
}

// hold keeps a part of a body whose length is not known.
func (r *response) hold(p []byte) {
	if r.unframed == nil {
		r.unframed = r.x.conn.server.pools.buffer()
	}

	r.unframed.b = append(r.unframed.b, p...)
}

// beginBody completes the head and sends the part of the body that was held. p is the part that follows.
func (r *response) beginBody(p []byte) error {
	if r.unframed == nil {
		r.endHead(p, false)

		return nil
	}

	r.endHead(r.unframed.b, false)

	return r.sendFramed(r.unframed.b)
}

// sendFramed sends a part of the body, as a chunk if the body is chunked.
func (r *response) sendFramed(p []byte) error {
	if !r.chunked {
		return r.send(p)
	}

	var line [18]byte

	if err := r.send(append(strconv.AppendInt(line[:0], int64(len(p)), 16), "\r\n"...)); err != nil {
		return err
	}

	if err := r.send(p); err != nil {
		return err
	}

	return r.send([]byte("\r\n"))
}

// send buffers bytes as far as the buffer allows, and then sends them. It waits for the response's turn if its buffer
// is full.
func (r *response) send(p []byte) error {
	size := len(r.out.b) + len(p)
	if size <= cap(r.out.b) {
		r.out.b = append(r.out.b, p...)

		return nil
	}

	if !r.x.turn.Load() {
		if size <= maxWaitingBytes && r.mayBuffer(int64(maxWaitingBytes-cap(r.out.b))) {
			r.enlarge(p)

			return nil
		}

		if err := r.x.awaitTurn(&r.x.ctx); err != nil {
			return err
		}
	}

	return r.flush(p)
}

// enlarge moves what is buffered to a buffer that holds all that may wait.
func (r *response) enlarge(p []byte) {
	large := &buffer{b: make([]byte, 0, maxWaitingBytes)}
	large.b = append(append(large.b, r.out.b...), p...)

	r.x.conn.server.pools.putBuffer(r.out)
	r.out = large
}

// flush writes what is buffered, and p, with one system call.
func (r *response) flush(p []byte) error {
	var err error

	switch {
	case len(p) == 0:
		err = r.x.conn.write(r.out.b)
	case len(r.out.b) == 0:
		err = r.x.conn.write(p)
	default:
		err = r.x.conn.write(r.out.b, p)
	}

	r.out.b = r.out.b[:0]

	if err != nil {
		r.x.conn.fail()
	}

	return err
}

// Flush sends what is buffered if it is the response's turn.
func (r *response) Flush() {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}

	if !r.x.turn.Load() || r.x.ctx.Err() != nil {
		return
	}

	if r.open && r.beginBody(nil) != nil {
		return
	}

	if len(r.out.b) > 0 {
		_ = r.flush(nil)
	}
}

// errShort marks a response whose handler has written less than the length that it set.
var errShort = errors.New("response is shorter than its length")

// finish completes the response after its handler.
func (r *response) finish() {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}

	if err := r.end(); err != nil {
		r.x.abort()
	}
}

// end writes the end of the body.
func (r *response) end() error {
	if r.open {
		var held []byte
		if r.unframed != nil {
			held = r.unframed.b
		}

		r.endHead(held, true)

		if err := r.send(held); err != nil {
			return err
		}
	}

	switch {
	case r.head() || !r.bodyAllowed():
		return nil
	case r.chunked:
		return r.send([]byte("0\r\n\r\n"))
	case r.length >= 0 && r.written != r.length:
		return errShort
	}

	return nil
}

// release returns the buffers of a response that was sent.
func (r *response) release() {
	r.x.conn.server.pools.putBuffer(r.out)
	r.x.conn.server.pools.putBuffer(r.unframed)
	r.out, r.unframed = nil, nil
}

// hasToken reports whether a list of header values has a token.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), token) {
				return true
			}
		}
	}

	return false
}
