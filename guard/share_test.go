package guard_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
)

// backend responds to each request after 100 ms with the number of its run.
type backend struct {
	mu   sync.Mutex
	runs int
	size int
	// end, unless nil, makes the body of a download last until it is closed.
	end chan struct{}
}

func (b *backend) remainingBody() io.Reader {
	if b.end == nil {
		return strings.NewReader("")
	}

	return blockingBody{b.end}
}

func (b *backend) contentLength(body string) int64 {
	if b.end == nil {
		return int64(len(body))
	}

	return 1 << 30
}

// blockingBody is a body that ends when its channel is closed.
type blockingBody struct{ end chan struct{} }

func (b blockingBody) Read([]byte) (int, error) {
	<-b.end

	return 0, io.EOF
}

func (b *backend) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	b.runs++
	body := fmt.Sprintf("run %d", b.runs) + strings.Repeat(".", b.size)
	b.mu.Unlock()

	select {
	case <-time.After(100 * time.Millisecond):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}

	return &http.Response{
		StatusCode: http.StatusOK, Body: io.NopCloser(io.MultiReader(strings.NewReader(body), b.remainingBody())),
		ContentLength: b.contentLength(body),
		Header:        http.Header{spar.HeaderRequest: {r.Header.Get(spar.HeaderRequest)}},
	}, nil
}

// reader is one read and its result. It starts at startAt and is canceled at cancelAt, in milliseconds; 0 means
// never.
type reader struct {
	method   string
	accept   string
	startAt  int
	cancelAt int
	deadline spar.Millis

	outcome spar.Outcome
	body    string
	id      string
}

// Guards against reads that share a run which started before them or belongs to a different request, a caller
// that cancels the answer of the others by disconnecting, and permits that are not released. The limit is one, and a
// first call holds the permit until 100 ms.
func TestShare(t *testing.T) {
	const wait = 5000

	get := func(startAt int) reader { return reader{method: http.MethodGet, startAt: startAt, deadline: wait} }
	canceledGet := func(startAt, cancelAt int) reader {
		return reader{method: http.MethodGet, startAt: startAt, cancelAt: cancelAt, deadline: wait}
	}

	for _, tt := range []struct {
		name  string
		size  int
		reads []reader
		runs  int
		want  []string
	}{
		{"waiting reads share", 0, []reader{get(10), get(20), get(30)}, 2, []string{"run 2", "run 2", "run 2"}},
		{"a read does not join a run that has begun", 0, []reader{get(10), get(150)}, 3, []string{"run 2", "run 3"}},
		{
			"different headers and methods run separately", 0,
			[]reader{
				get(10),
				{method: http.MethodGet, accept: "x", startAt: 20, deadline: wait},
				{method: http.MethodPut, startAt: 30, deadline: wait},
			},
			4,
			[]string{"run 2", "run 3", "run 4"},
		},
		{
			"the first caller leaves", 0,
			[]reader{canceledGet(10, 50), get(20), get(30)},
			2,
			[]string{"", "run 2", "run 2"},
		},
		{
			"all callers leave while waiting", 0,
			[]reader{canceledGet(10, 50), canceledGet(20, 60)},
			1,
			[]string{"", ""},
		},
		{
			"all callers leave during the run", 0,
			[]reader{canceledGet(10, 150), canceledGet(20, 160)},
			2,
			[]string{"", ""},
		},
		{
			"the first deadline passes", 0,
			[]reader{{method: http.MethodGet, startAt: 10, deadline: 50}, get(20)},
			2,
			[]string{"", "run 2"},
		},
		{"a large body is not shared", 100, []reader{get(10), get(20)}, 3, []string{"run 2", "run 3"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				clock := spar.RuntimeClock()
				limiter := admit.NewFixed(clock, 100)
				limiter.Reset(spar.Capacity{Slots: 1, Conns: 1})

				b := &backend{size: tt.size}
				g := guard.New(func() spar.NodeID { return "n" }, fleet.NewReplica(), nil, limiter, b, clock)
				g.ShareReads(50)
				g.SetBackend(&guard.Backend{Addr: "b"})

				var wg sync.WaitGroup

				serve := func(i int, r *reader) {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()

					if r.cancelAt > 0 {
						time.AfterFunc(time.Duration(r.cancelAt-r.startAt)*time.Millisecond, cancel)
					}

					r.id = fmt.Sprint("id", i)
					a := g.Serve(ctx, spar.Call{
						ID: r.id, Service: spar.Service{Name: "s", Mode: spar.ModeAny}, Key: "k", Method: r.method,
						URI: "/s/k", Header: http.Header{"Accept": {r.accept}}, Deadline: clock.Now() + r.deadline, Idempotent: true,
					})
					r.outcome = a.Outcome

					if a.Response != nil {
						body, _ := io.ReadAll(a.Response.Body)
						r.body = strings.TrimRight(string(body), ".")
						c.Check(a.Response.Header.Get(spar.HeaderRequest), qt.Equals, r.id)
						a.Close()
					}
				}

				wg.Go(func() { serve(-1, &reader{method: http.MethodPut, deadline: wait}) })

				for i := range tt.reads {
					wg.Go(func() {
						time.Sleep(time.Duration(tt.reads[i].startAt) * time.Millisecond)
						serve(i, &tt.reads[i])
					})
				}

				wg.Wait()
				time.Sleep(time.Second)

				for i, r := range tt.reads {
					c.Check(r.body, qt.Equals, tt.want[i], qt.Commentf("read %d", i))
					c.Check(r.outcome == spar.OutcomeCompleted, qt.Equals, tt.want[i] != "")
				}

				c.Check(b.runs, qt.Equals, tt.runs)
				c.Check(limiter.Load(), qt.Equals, spar.Load{Limit: 1})
			})
		})
	}
}

// recordingLimiter records the duration that is reported to a limiter.
type recordingLimiter struct {
	admit.Limiter

	duration spar.Millis
}

func (l *recordingLimiter) Acquire(ctx context.Context, c spar.Call) (admit.Done, spar.Reason) {
	done, reason := l.Limiter.Acquire(ctx, c)

	return func(took spar.Millis, ok bool) {
		l.duration = took
		done(took, ok)
	}, reason
}

// Guards against long downloads that make the backend server look slow, or release their permit before they end.
func TestLongDownload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := spar.RuntimeClock()
		l := &recordingLimiter{Limiter: admit.NewFixed(clock, 1)}
		l.Reset(spar.Capacity{Slots: 1, Conns: 1})

		b := &backend{end: make(chan struct{})}
		g := guard.New(func() spar.NodeID { return "n" }, fleet.NewReplica(), nil, l, b, clock)
		g.SetBackend(&guard.Backend{Addr: "b"})

		a := g.Serve(context.Background(), spar.Call{
			Service: spar.Service{Name: "s", Mode: spar.ModeAny}, Method: http.MethodGet, URI: "/s/k",
			Header: http.Header{}, Deadline: clock.Now() + 9000, Idempotent: true,
		})
		time.Sleep(5 * time.Second)
		qt.Check(t, l.Load().InFlight, qt.Equals, 1)
		close(b.end)
		synctest.Wait()
		a.Close()
		qt.Check(t, l.Load().InFlight, qt.Equals, 0)
		qt.Check(t, l.duration, qt.Equals, spar.Millis(100))
	})
}
