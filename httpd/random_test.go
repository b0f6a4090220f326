package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/httpd"
)

// expected returns the body of the response to a request, which names its id and has a length that depends on it.
func expected(id int) string {
	return strings.Repeat(strconv.Itoa(id)+",", 1+id*7919%4001)
}

// randomHandler responds to /ID/ACTION after a random time and in random pieces.
type randomHandler struct {
	t testing.TB
	// running counts the requests per connection that must run alone, by the client's address.
	running sync.Map
	served  atomic.Int64
}

// ServeHTTP serves one request.
func (h *randomHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var (
		id     int
		action string
	)

	_, err := fmt.Sscanf(r.URL.Path, "/%d/%s", &id, &action)
	qt.Check(h.t, err, qt.IsNil)

	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}

	if r.Method == http.MethodPost {
		qt.Check(h.t, string(body), qt.Equals, expected(id))
	}

	if action == "once" && httpd.Serialize(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}

	if action == "once" || r.Method == http.MethodPost {
		h.alone(r)
	}

	select {
	case <-time.After(time.Duration(rand.IntN(3000)) * time.Microsecond):
	case <-r.Context().Done():
		if rand.IntN(2) == 0 {
			panic(http.ErrAbortHandler)
		}
	}

	h.respond(w, id, action)
}

// alone checks that no other request that must run alone runs on the connection.
func (h *randomHandler) alone(r *http.Request) {
	_, twice := h.running.LoadOrStore(r.RemoteAddr, true)
	qt.Check(h.t, twice, qt.IsFalse)
	time.Sleep(200 * time.Microsecond)
	h.served.Add(1)
	h.running.Delete(r.RemoteAddr)
}

func (h *randomHandler) respond(w http.ResponseWriter, id int, action string) {
	text := expected(id)

	if action == "close" {
		w.Header().Set("Connection", "close")
	}

	if rand.IntN(2) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}

	for len(text) > 0 {
		n := 1 + rand.IntN(len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			panic(http.ErrAbortHandler)
		}

		text = text[n:]

		if action == "abort" && rand.IntN(2) == 0 {
			panic(http.ErrAbortHandler)
		}
	}

	if action == "abort" {
		panic(http.ErrAbortHandler)
	}
}

// pipelineRandomly sends requests with consecutive ids and checks that the responses are a prefix of the expected
// ones, with nothing after a response that closes the connection. It returns the number of complete responses.
func pipelineRandomly(t testing.TB, addr string, rng *rand.Rand) int {
	const requests = 30

	var b strings.Builder

	for id := range requests {
		action := "plain"

		switch n := rng.IntN(100); {
		case n < 2:
			action = "close"
		case n < 4:
			action = "abort"
		case n < 20:
			action = "once"
		}

		if rng.IntN(10) == 0 {
			text := expected(id)
			fmt.Fprintf(&b, "POST /%d/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", id, action, len(text), text)
		} else {
			fmt.Fprintf(&b, "GET /%d/%s HTTP/1.1\r\nHost: a\r\n\r\n", id, action)
		}
	}

	c := dial(t, addr)
	leave := rng.IntN(5) == 0

	go func() {
		for text := b.String(); text != ""; {
			n := min(len(text), 1+rng.IntN(6000))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return
			}

			text = text[n:]
		}
	}()

	for id := range requests {
		if leave && id == 5 {
			_ = c.Close()

			return id
		}

		if !readExpected(t, c.r, id) {
			return id
		}
	}

	_ = c.Close()

	return requests
}

// readExpected reads the response to a request. It returns false if the connection ends with it or before it.
func readExpected(t testing.TB, r *bufio.Reader, id int) bool {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		qt.Check(t, strings.HasPrefix(expected(id), string(body)), qt.IsTrue)

		return false
	}

	qt.Check(t, string(body) == expected(id), qt.IsTrue, qt.Commentf("response to %d", id))

	return !resp.Close
}

// accounts is a budget that checks that each connection releases what it has taken for its requests.
type accounts struct {
	mu   sync.Mutex
	list []*account
}

// Open returns a new account.
func (a *accounts) Open(string) httpd.Account {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.list = append(a.list, &account{limit: 1 << 30})

	return a.list[len(a.list)-1]
}

// Guards against responses that reach the wrong request, are mixed, or come after a closing response, and memory that
// is not released, whatever the order in which handlers finish.
func TestRandomPipelines(t *testing.T) {
	const clients = 200

	h := &randomHandler{t: t}
	budget := &accounts{}
	addr := startWith(t, settings, httpd.Deps{Handler: h, Budget: budget})

	var (
		wg       sync.WaitGroup
		complete atomic.Int64
	)

	for seed := range clients {
		wg.Go(func() {
			complete.Add(int64(pipelineRandomly(t, addr, rand.New(rand.NewPCG(uint64(seed), 1)))))
		})

		if seed%20 == 19 {
			wg.Wait()
		}
	}

	wg.Wait()
	t.Logf("%d complete responses, %d requests ran alone", complete.Load(), h.served.Load())
	qt.Check(t, complete.Load() > clients*5, qt.IsTrue)

	for i, a := range budget.list {
		for range 200 {
			if _, _, closed := a.state(); closed {
				break
			}

			time.Sleep(10 * time.Millisecond)
		}

		taken, _, closed := a.state()
		qt.Check(t, closed, qt.IsTrue, qt.Commentf("connection %d", i))
		// What a connection itself has taken is returned by Close.
		qt.Check(t, taken, qt.Equals, int64(8<<10), qt.Commentf("connection %d", i))
	}
}
