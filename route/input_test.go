package route_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/route"
)

// Guards against invalid requests that stop the process, or that get a wrong status or a message other than one
// plain line.
func TestBadInput(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: x\r\n"

	long := strings.Repeat("x", 50<<10)

	for _, test := range []struct {
		name   string
		text   string
		status int
		want   string
	}{
		{"unknown service", "GET /nope/x" + head, 404, `not_run: unknown service "nope"` + "\n"},
		{"no key", "GET /s/" + head, 400, "not_run: key must have .*\n"},
		{"key with a control character", "GET /s/a%0Db" + head, 400, "not_run: key must have .*\n"},
		{"key with surrounding space", "GET /s/%20a" + head, 400, "not_run: key must have .*\n"},
		{"two keys", "GET /s/a" + head + "Spar-Key: a\r\nSpar-Key: b\r\n", 400, "not_run: Spar-Key is given .*\n"},
		{"zero deadline", "GET /s/a" + head + "Spar-Deadline-Ms: 0\r\n", 400, "not_run: Spar-Deadline-Ms must .*\n"},
		{"deadline out of range", "GET /s/a" + head + "Spar-Deadline-Ms: 99999999999999999999\r\n", 400, "not_run: .*\n"},
		{"signed deadline", "GET /s/a" + head + "Spar-Deadline-Ms: +5\r\n", 400, "not_run: .*\n"},
		{"large header", "GET /s/a" + head + "X: " + long + "\r\n", 431, "not_run: request line and headers .*\n"},
		{"large path", "GET /s/" + long + head, 431, "not_run: request line and headers .*\n"},
		{"large body", "POST /s/a" + head + "Content-Length: 1048577\r\n", 413, "not_run: body has more .*\n"},
		{"malformed chunk", "POST /s/a" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "not_run: body can't .*\n"},
		{"no token", "POST /s/a" + head, 428, "not_run: POST needs the token in Spar-Token\n"},
		{"malformed token", "POST /s/a" + head + "Spar-Token: x\r\n", 400, "not_run: token must be .*\n"},
		{"made-up token", "POST /s/a" + head + "Spar-Token: 9.1.1.0000000000000000\r\n", 400, "not_run: token is for .*\n"},
		{"other slot's token", "POST /s/b" + head + "Spar-Token: TOKEN\r\n", 400, "not_run: token is for .*\n"},
		{"other key's token", "POST /s/SAME" + head + "Spar-Token: TOKEN\r\n", 400, "not_run: token is for another key.*\n"},
		{"non-idempotent method in mode any", "POST /f/a" + head, 405, "not_run: service f takes idempotent methods only\n"},
		{"malformed line", "GET\r\n", 400, "400 Bad Request"},
		{"malformed header", "GET /s/a" + head + "X\x00: y\r\n", 400, "400 Bad Request.*"},
		{"forwarded without request id", "GET /s/a" + head + "Spar-Hop: 1\r\n", 400, "not_run: forwarded request .*\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fileNodes+3, false)
				defer c.close()

				_, _, _, token := c.send(0, http.MethodPost, "/s/a/x", "", "")
				text := strings.ReplaceAll(test.text, "TOKEN", token)
				text = strings.ReplaceAll(text, "SAME", sameSlot("a"))

				for via := range c.vms {
					status, body := c.raw(t, via, text+"\r\n")
					qt.Assert(t, status, qt.Equals, test.status)
					qt.Assert(t, body, qt.Matches, test.want)
				}

				status, _, _, _ := c.send(0, http.MethodGet, "/s/a", "", "")
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			})
		})
	}
}

// sameSlot returns another key that belongs to the same slot.
func sameSlot(key string) string {
	for i := 0; ; i++ {
		if other := "k" + strconv.Itoa(i); keyedService.SlotOf(other) == keyedService.SlotOf(key) {
			return other
		}
	}
}

// raw writes text to a node's connection and returns the status and body of the response.
func (c *cluster) raw(t *testing.T, via int, text string) (int, string) {
	conn, err := c.net.Dial(t.Context(), c.vms[via].httpListener.addr)
	qt.Assert(t, err, qt.IsNil)

	defer conn.Close()

	go func() { _, _ = io.WriteString(conn, text) }()

	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)

	body, _ := io.ReadAll(resp.Body)

	return resp.StatusCode, string(body)
}

// Guards against a slow or stalled request body that occupies a connection without limit.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+1, false)
		defer c.close()

		began := time.Now()
		status, body := c.raw(t, 0, "POST /s/a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx")
		qt.Assert(t, status, qt.Equals, http.StatusBadRequest)
		qt.Assert(t, body, qt.Matches, "not_run: body can't be read: .*\n")
		qt.Assert(t, time.Since(began), qt.Equals, 10*time.Second)
	})
}

// Guards against a request that is accepted although it can't be forwarded, which would stop the process at the
// next hop.
func FuzzParse(f *testing.F) {
	r := fleet.NewReplica()
	r.Merge([]spar.Row{
		{Key: fleet.ServiceKey("s"), Value: fleet.Encode(keyedService), Revision: 1},
		{Key: fleet.ServiceKey("f"), Value: fleet.Encode(fileService), Revision: 1},
	}, 1)

	f.Add("GET /s/a HTTP/1.1\r\nHost: x\r\nSpar-Deadline-Ms: 5\r\n\r\n")
	f.Add("POST http:s/%0a HTTP/1.1\r\nHost: x\r\nSpar-Key: k\r\nContent-Length: 1\r\n\r\nx")
	f.Add("TRACE /f/?%zz HTTP/1.1\r\nHost: x\r\nConnection: X, Y\r\nSpar-Hop: 1\r\nSpar-Request: a\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}

		c, _, ok := route.Parse(r.View(), req, 0)
		if !ok {
			return
		}

		sent, err := c.Request(t.Context(), "10.0.0.1:80")
		if err != nil {
			t.Fatalf("accepted call can't be forwarded: %v", err)
		}

		sent.Header.Set(spar.HeaderKey, c.Key)

		written := httptest.NewRecorder()
		if err := sent.Write(written); err != nil {
			t.Fatalf("accepted call can't be written: %v", err)
		}

		again, err := http.ReadRequest(bufio.NewReader(written.Body))
		if err != nil || c.Service.Mode == spar.ModeKeyed && again.Header.Get(spar.HeaderKey) != c.Key {
			t.Fatalf("call for key %q arrives as %v: %v", c.Key, again, err)
		}
	})
}

// Guards against deadlines outside of the permitted range.
func FuzzDeadline(f *testing.F) {
	f.Add("")
	f.Add("600000")
	f.Add("-1")
	f.Fuzz(func(t *testing.T, text string) {
		if d, ok := route.ParseDeadline(text); ok && (d < 1 || d > route.MaxDeadline) {
			t.Fatalf("%q parsed as %v", text, d)
		}
	})
}
