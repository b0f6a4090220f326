package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ready asks a relay whether it takes clients.
func ready(m *machine) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := client.Get("http://" + m.addr(portReady) + "/sardinespar/ready")
	if err != nil {
		return false
	}

	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// request is one client attempt.
type request struct {
	id       string
	method   string
	host     string
	path     string
	body     string
	key      int
	deadline time.Duration
	// leave is when the client closes its connection, if that is earlier than the deadline.
	leave time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is the reason why there is no complete answer.
	err error
}

// caller is a client with one connection that it keeps.
type caller struct {
	m    *machine
	conn net.Conn
	r    *bufio.Reader
}

var lastID atomic.Int64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("q%06d", lastID.Add(1)) }

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request to the outbound address of the machine and returns the answer.
func (c *caller) send(q request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.addr(portOutbound), time.Second)
		if err != nil {
			return answer{err: err}
		}

		c.conn, c.r = conn, bufio.NewReader(conn)
	}

	var b strings.Builder

	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nSardinespar-Request-Id: %s\r\nSardinespar-Deadline-Ms: %d\r\n",
		q.method, q.path, q.host, q.id, q.deadline.Milliseconds())

	if q.key >= 0 {
		fmt.Fprintf(&b, "Sardinespar-Shard-Key: %d\r\n", q.key)
	}

	if q.method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}

	b.WriteString("\r\n" + q.body)

	wait := q.deadline
	if q.leave > 0 {
		wait = min(wait, q.leave)
	}

	_ = c.conn.SetDeadline(time.Now().Add(wait))

	a := c.exchange(q.method, b.String())
	if a.err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
		c.close()
	}

	return a
}

func (c *caller) exchange(method, text string) answer {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err}
	}

	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}

	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}

	return answer{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}
