package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var requestNumber atomic.Int64

// newID returns the id of a new request.
func newID() string {
	return fmt.Sprintf("%016x", uint64(0x9c41d07be2a30000)+uint64(requestNumber.Add(1)))
}

// call is one request of a client.
type call struct {
	id, host, target string
	deadlineMS       int
	size             int
	sent             time.Time
}

func newCall(host, target string, deadlineMS, size int) *call {
	return &call{id: newID(), host: host, target: target, deadlineMS: deadlineMS, size: size}
}

func (c *call) bytes() []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nSardinespar-Request-Id: %s\r\nSardinespar-Deadline-Ms: %d\r\n\r\n",
		c.target, c.host, c.id, c.deadlineMS)
}

// answer is what a client got for a request. err is nil if it is complete.
type answer struct {
	status int
	closes bool
	body   []byte
	seal   string
	err    error
}

// whole reports whether an answer is the upstream's success, complete and unchanged.
func (a answer) whole(c *call) bool {
	return a.err == nil && a.status == http.StatusOK && bytes.Equal(a.body, content(c.id, c.size)) &&
		a.seal == seal(c.id, a.status, a.body)
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}

	text := fmt.Sprintf("status %d with %d bytes", a.status, len(a.body))
	if a.closes {
		text += ", connection: close"
	}

	if a.err != nil {
		text += fmt.Sprintf(", cut: %v", a.err)
	}

	return text
}

// clientConn is a connection of a client.
type clientConn struct {
	name string
	nc   net.Conn
	r    *bufio.Reader
	rec  *record
}

// dial connects to a node. The receive buffer has a size of receiveBytes, unless that is 0.
func dial(name, addr string, receiveBytes int, rec *record) (*clientConn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBytes == 0 {
			return nil
		}

		var failure error

		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		if err != nil {
			return err
		}

		return failure
	}}

	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}

	return &clientConn{name: name, nc: nc, r: bufio.NewReader(nc), rec: rec}, nil
}

// send sends requests with one write.
func (c *clientConn) send(calls ...*call) error {
	var data []byte
	for _, x := range calls {
		data = append(data, x.bytes()...)
	}

	_, err := c.nc.Write(data)

	for _, x := range calls {
		x.sent = time.Now()
		c.rec.add("%s sends %s GET %s", c.name, x.id, x.target)
	}

	return err
}

// receive reads the next answer. pace is called after each part of the body, with the number of its bytes.
func (c *clientConn) receive(x *call, pace func(n int)) answer {
	a := c.read(pace)
	c.rec.add("%s gets for %s after %d ms: %v", c.name, x.id, time.Since(x.sent).Milliseconds(), a)

	return a
}

func (c *clientConn) read(pace func(n int)) answer {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{err: err}
	}

	a := answer{
		status: resp.StatusCode, seal: resp.Header.Get("Sardinespar-Response-Seal"),
		closes: resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close"),
	}
	part := make([]byte, 32<<10)

	for {
		n, err := resp.Body.Read(part)
		a.body = append(a.body, part[:n]...)

		if n > 0 && pace != nil {
			pace(n)
		}

		if err == io.EOF {
			return a
		}

		if err != nil {
			a.err = err

			return a
		}
	}
}

func (c *clientConn) close() {
	_ = c.nc.Close()
}
