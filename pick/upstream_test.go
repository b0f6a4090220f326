package pick_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/pick"
)

// seedCount is the number of seeds of each experiment; more give the spread.
var seedCount = flag.Int("seeds", 1, "seeds per experiment")

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// The sizes of today (docs/design.md, 1.2) and a mean service time of 20 ms.
const (
	slots    = 10
	work     = 20.0
	capacity = slots * 1000 / work
)

type limiter = admit.Limiter

type nowhere struct{}

func (nowhere) Record(spar.Event) {}

// upstream is a backend server with its guard's limiter.
type upstream struct {
	clock   spar.Clock
	limiter limiter
	slow    func(now spar.Millis) float64
	// bears returns how many calls the server bears at once; most is the largest excess seen.
	bears func(now spar.Millis) float64
	most  float64

	mu       sync.Mutex
	inFlight int
}

func newUpstream(clock spar.Clock, l limiter) *upstream {
	l.Reset(spar.Capacity{Slots: slots, Conns: 130})

	return &upstream{
		clock: clock, limiter: l, slow: func(spar.Millis) float64 { return 1 },
		bears: func(spar.Millis) float64 { return slots },
	}
}

// serve runs a call of the given work, which is done early if ctx or the deadline ends.
func (u *upstream) serve(ctx context.Context, c spar.Call, work spar.Millis) spar.Answer {
	done, reason := u.limiter.Acquire(ctx, c)
	if reason != spar.ReasonNone {
		return spar.NotRun(http.StatusTooManyRequests, reason, "").WithLoad(u.limiter.Load())
	}

	began := u.clock.Now()
	u.count(1)

	time := work * spar.Millis(u.slow(began))
	ok := u.clock.Sleep(ctx, min(time, c.Deadline-began)) && began+time <= c.Deadline

	u.count(-1)
	done(u.clock.Now()-began, ok)

	if !ok {
		return spar.Uncertain(http.StatusGatewayTimeout, spar.ReasonBroken, "").WithLoad(u.limiter.Load())
	}

	return spar.Answer{Outcome: spar.OutcomeCompleted, Status: http.StatusOK}.WithLoad(u.limiter.Load())
}

func (u *upstream) count(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.inFlight += n
	u.most = max(u.most, float64(u.inFlight)/u.bears(u.clock.Now()))
}

// fleet is the upstreams of a service behind one entry node.
type fleet struct {
	clock  spar.Clock
	nodes  []spar.Node
	ups    map[spar.NodeID]*upstream
	picker pick.Picker
	hedger *pick.Hedger
	// extra counts second attempts.
	extra int
	mu    sync.Mutex
}

func newFleet(clock spar.Clock, n int, limiter func() limiter) *fleet {
	f := &fleet{clock: clock, ups: map[spar.NodeID]*upstream{}}

	for i := range n {
		id := spar.NodeID(fmt.Sprintf("n%d", i))
		f.nodes = append(f.nodes, spar.Node{ID: id, Service: "s"})
		f.ups[id] = newUpstream(clock, limiter())
	}

	return f
}

func (f *fleet) call(ctx context.Context, c spar.Call, work spar.Millis) spar.Answer {
	var tried []spar.NodeID

	attempt := func(ctx context.Context) spar.Answer {
		f.mu.Lock()
		n := f.picker.Pick(f.nodes, tried)
		f.extra += min(1, len(tried))
		tried = append(tried, n.ID)
		f.mu.Unlock()

		end := f.picker.Begin(n.ID)
		began := f.clock.Now()
		a := f.ups[n.ID].serve(ctx, c, work)
		end(f.clock.Now()-began, pick.EndOf(ctx, a))
		f.picker.Report(n.ID, a.Load)

		return a
	}

	if f.hedger == nil {
		return attempt(ctx)
	}

	return f.hedger.Do(ctx, attempt)
}

// load is an open loop of calls.
type load struct {
	rate     float64
	lasts    spar.Millis
	deadline spar.Millis
	key      func(r *rand.Rand) string
	// least is the share of the mean work that each call takes at least; the rest is exponential.
	least float64
}

// sample is one call's time, which is the deadline if it was not completed.
type sample struct {
	key    string
	at     spar.Millis
	took   spar.Millis
	answer spar.Answer
}

// run sends calls at random times regardless of earlier ones and returns them by time of arrival.
func (l load) run(
	clock spar.Clock, seed uint64, call func(context.Context, spar.Call, spar.Millis) spar.Answer,
) []*sample {
	r := rand.New(rand.NewPCG(seed, 7))

	var (
		wg  sync.WaitGroup
		out []*sample
	)

	for began := clock.Now(); clock.Now() < began+l.lasts; {
		time.Sleep(time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)))

		s := &sample{key: "k", at: clock.Now()}
		if l.key != nil {
			s.key = l.key(r)
		}

		c := spar.Call{
			Service: spar.Service{Name: "s", Mode: spar.ModeKeyed}, Method: http.MethodGet, Key: s.key,
			Deadline: s.at + l.deadline, Idempotent: true,
		}
		w := spar.Millis(work * (l.least + (1-l.least)*r.ExpFloat64()))
		out = append(out, s)

		wg.Go(func() {
			s.answer = call(context.Background(), c, w)

			if s.took = clock.Now() - s.at; s.answer.Outcome != spar.OutcomeCompleted {
				s.took = l.deadline
			}
		})
	}

	wg.Wait()

	return out
}

func quantile(samples []*sample, q float64) float64 {
	w := pick.NewWindow[spar.Millis](len(samples))
	for _, s := range samples {
		w.Add(s.took)
	}

	return float64(w.Quantile(q))
}

func where(samples []*sample, fits func(s *sample) bool) []*sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s *sample) bool { return !fits(s) })
}

func since(samples []*sample, at spar.Millis) []*sample {
	return where(samples, func(s *sample) bool { return s.at >= at })
}

func completed(samples []*sample) int {
	return len(where(samples, func(s *sample) bool { return s.answer.Outcome == spar.OutcomeCompleted }))
}

func adaptive(clock spar.Clock) limiter {
	return admit.NewAdaptive(clock, admit.Settings{Start: 2, Warmup: 6000, Slow: 3, MaxQueue: 200}, nowhere{})
}

// bubble runs f in virtual time.
func bubble(t *testing.T, f func(clock spar.Clock)) {
	synctest.Test(t, func(*testing.T) { f(spar.RuntimeClock()) })
}

func fixed(clock spar.Clock) limiter {
	return admit.NewFixed(clock, 200)
}

func choices(clock spar.Clock, share float64, seed uint64) *pick.Choices {
	return pick.NewChoices(clock, pick.Settings{
		EjectRatio: 3, EjectShare: share, EjectPause: 1000, EjectPauseMost: 30_000,
	}, nowhere{}, rand.NewPCG(seed, 1))
}
