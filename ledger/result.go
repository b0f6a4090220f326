package ledger

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strings"
)

// Result is the response of a completed run.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Kept is false if the response was too large to keep; header and body are then missing.
	Kept bool
}

// storedResult is a result in compact form. The header is kept as text, since a header map takes
// several times the memory.
type storedResult struct {
	Status int    `json:"status"`
	Header string `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Kept   bool   `json:"kept"`
}

func pack(r Result) storedResult {
	if !r.Kept {
		return storedResult{Status: r.Status}
	}

	var text strings.Builder

	// Writing to a strings.Builder cannot fail.
	_ = r.Header.Write(&text)

	return storedResult{Status: r.Status, Header: text.String(), Body: r.Body, Kept: true}
}

func (s storedResult) unpack() Result {
	h, err := s.header()
	if err != nil {
		panic("ledger: parse validated header: " + err.Error())
	}

	return Result{Status: s.Status, Header: h, Body: s.Body, Kept: s.Kept}
}

func (s storedResult) header() (http.Header, error) {
	if s.Header == "" {
		return http.Header{}, nil
	}

	h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(s.Header + "\r\n"))).ReadMIMEHeader()

	return http.Header(h), err
}

func (s storedResult) size() int64 {
	return int64(len(s.Header) + len(s.Body))
}
