package ledger

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strings"
)

// Result is the answer of a completed run.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	// Kept is false if the answer was too large to keep; header and body are then missing.
	Kept bool
}

// stored is a result in compact form: a header map takes several times the memory of its text.
type stored struct {
	Status int    `json:"status"`
	Header string `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Kept   bool   `json:"kept"`
}

func pack(r Result) stored {
	if !r.Kept {
		return stored{Status: r.Status}
	}

	var text strings.Builder

	// Writing to a strings.Builder can't fail.
	_ = r.Header.Write(&text)

	return stored{Status: r.Status, Header: text.String(), Body: r.Body, Kept: true}
}

func (s stored) unpack() Result {
	h, err := s.header()
	if err != nil {
		panic("ledger: checked header can't be read: " + err.Error())
	}

	return Result{Status: s.Status, Header: h, Body: s.Body, Kept: s.Kept}
}

func (s stored) header() (http.Header, error) {
	if s.Header == "" {
		return http.Header{}, nil
	}

	h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(s.Header + "\r\n"))).ReadMIMEHeader()

	return http.Header(h), err
}

func (s stored) size() int64 {
	return int64(len(s.Header) + len(s.Body))
}
