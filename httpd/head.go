package httpd

import (
	"bytes"
	"net/http"
	"strconv"
)

const (
	// maxEmptyLines is the number of empty lines that may precede a request.
	maxEmptyLines = 4
	// maxLengthDigits bounds a Content-Length, so that it fits into 63 bits.
	maxLengthDigits = 18
)

// refusal is the reason why a head is refused.
type refusal struct {
	status int
	// cause names the refusal in the metrics.
	cause string
	text  string
}

var (
	refusedLarge     = &refusal{http.StatusRequestHeaderFieldsTooLarge, "large", "head is too long"}
	refusedLines     = &refusal{http.StatusRequestHeaderFieldsTooLarge, "lines", "head has too many lines"}
	refusedEmpty     = &refusal{http.StatusBadRequest, "empty_lines", "too many empty lines before the request"}
	refusedLineEnd   = &refusal{http.StatusBadRequest, "malformed", "line does not end with CR LF"}
	refusedLine      = &refusal{http.StatusBadRequest, "malformed", "malformed request line"}
	refusedVersion   = &refusal{http.StatusBadRequest, "version", "version is not HTTP/1.0 or HTTP/1.1"}
	refusedField     = &refusal{http.StatusBadRequest, "malformed", "malformed header line"}
	refusedHost      = &refusal{http.StatusBadRequest, "host", "missing, repeated or malformed Host"}
	refusedLength    = &refusal{http.StatusBadRequest, "framing", "repeated or malformed Content-Length"}
	refusedCoding    = &refusal{http.StatusBadRequest, "framing", "Transfer-Encoding is not chunked"}
	refusedAmbiguous = &refusal{http.StatusBadRequest, "framing", "both Content-Length and Transfer-Encoding"}
	refusedExpect    = &refusal{http.StatusExpectationFailed, "expect", "unknown expectation"}
	refusedParse     = &refusal{http.StatusBadRequest, "malformed", "malformed request"}
	refusedSlow      = &refusal{http.StatusRequestTimeout, "slow", "head not received in time"}
	refusedMemory    = &refusal{http.StatusServiceUnavailable, "memory", "memory is short"}
)

// head checks the head of a request while it arrives. It refuses what is ambiguous, so that no other server along the
// path can see other requests in the same bytes.
type head struct {
	maxBytes, maxLines int

	// skip is the length of the empty lines before the request, and size the length of the head without them.
	skip, size int
	// lines is the number of complete lines, of which the first is the request line.
	lines    int
	complete bool

	// scanned is the length of the complete lines, and searched that of the bytes that contain no further line feed.
	scanned, searched int

	// plain is true for the methods GET and HEAD.
	plain, http10, expect bool
	// length is the value of Content-Length, or 0.
	length                  int64
	hosts, lengths, codings int
}

// feed checks the bytes that have arrived, which begin with those of the calls before.
func (h *head) feed(b []byte) *refusal {
	for !h.complete {
		i := bytes.IndexByte(b[h.searched:], '\n')
		if i < 0 {
			h.searched = len(b)

			break
		}

		line := b[h.scanned : h.searched+i+1]
		h.scanned += len(line)
		h.searched = h.scanned

		if h.scanned-h.skip > h.maxBytes {
			return refusedLarge
		}

		if bad := h.line(line); bad != nil {
			return bad
		}
	}

	if len(b)-h.skip > h.maxBytes && !h.complete {
		return refusedLarge
	}

	return nil
}

// line checks one complete line.
func (h *head) line(line []byte) *refusal {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))

	switch {
	case !ok:
		return refusedLineEnd
	case len(line) == 0 && h.lines == 0:
		h.skip = h.scanned
		if h.skip > maxEmptyLines*len("\r\n") {
			return refusedEmpty
		}

		return nil
	case len(line) == 0:
		h.complete = true
		h.size = h.scanned - h.skip

		return h.framing()
	}

	h.lines++

	switch {
	case h.lines == 1:
		return h.requestLine(line)
	case h.maxLines > 0 && h.lines-1 > h.maxLines:
		return refusedLines
	}

	return h.field(line)
}

// requestLine checks the method, the target and the version.
func (h *head) requestLine(line []byte) *refusal {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))

	if !ok || !isToken(method) || len(target) == 0 {
		return refusedLine
	}

	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return refusedLine
		}
	}

	h.plain = string(method) == http.MethodGet || string(method) == http.MethodHead

	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		return refusedVersion
	}

	return nil
}

// field checks a header line. A folded line begins with a space, which no name contains.
func (h *head) field(line []byte) *refusal {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return refusedField
	}

	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return refusedField
		}
	}

	value = bytes.Trim(value, " \t")

	switch {
	case isName(name, "host"):
		h.hosts++

		if h.hosts > 1 || !isHost(value) {
			return refusedHost
		}
	case isName(name, "content-length"):
		h.lengths++

		if h.lengths > 1 || !isDigits(value) || len(value) > maxLengthDigits {
			return refusedLength
		}

		h.length, _ = strconv.ParseInt(string(value), 10, 64)
	case isName(name, "transfer-encoding"):
		h.codings++

		if h.codings > 1 || !isName(value, "chunked") {
			return refusedCoding
		}
	case isName(name, "expect"):
		if len(value) > 0 && !isName(value, "100-continue") {
			return refusedExpect
		}

		h.expect = len(value) > 0
	}

	return nil
}

// framing checks the fields that determine where the request ends and for whom it is. HTTP/1.0 has no transfer
// codings: a server that ignores them reads the body as further requests.
func (h *head) framing() *refusal {
	switch {
	case h.lengths > 0 && h.codings > 0:
		return refusedAmbiguous
	case h.http10 && h.codings > 0:
		return refusedCoding
	case !h.http10 && h.hosts == 0:
		return refusedHost
	}

	return nil
}

// alone reports whether the request must not run while others of the connection do.
func (h *head) alone() bool {
	return !h.plain || h.hasBody()
}

func (h *head) hasBody() bool {
	return h.length > 0 || h.codings > 0
}

const (
	// requestBytes is the memory of a request in flight without its header, most of which is the stack of its handler.
	requestBytes = 12 << 10
	// lineBytes is the memory of a header line in addition to its text: TestBudgetCoversHeads measures 176 bytes for
	// lines with short distinct names, of which half are for the copy of the header that goes to another node.
	lineBytes = 200
	// textCopies is the number of times that the text is held: in the header, and in the buffer that sends it.
	textCopies = 2
)

// headCost returns the memory that a request with this head holds while it is in flight.
func headCost(h *head) int64 {
	return requestBytes + int64(h.lines)*lineBytes + int64(h.size)*textCopies
}

// isName reports whether b is name, which is in lower case, with any case of its letters.
func isName(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}

	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}

		if c != name[i] {
			return false
		}
	}

	return true
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}

	return len(b) > 0
}

// isToken reports whether b is a token, as methods and the names of headers are.
func isToken[T string | []byte](b T) bool {
	for i := range len(b) {
		if !tokenBytes[b[i]] {
			return false
		}
	}

	return len(b) > 0
}

// isHost reports whether b has only bytes that occur in a host with an optional port.
func isHost(b []byte) bool {
	for _, c := range b {
		if !hostBytes[c] {
			return false
		}
	}

	return true
}

var (
	tokenBytes = byteSet("!#$%&'*+-.^_`|~")
	hostBytes  = byteSet("!$%&'()*+,-.:;=[]_~")
)

// byteSet returns the set of the letters, the digits and the other bytes.
func byteSet(other string) (set [256]bool) {
	for c := range set {
		set[c] = '0' <= c && c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z'
	}

	for _, c := range []byte(other) {
		set[c] = true
	}

	return set
}
