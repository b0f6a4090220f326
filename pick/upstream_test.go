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

// seedCount is the number of seeds of each experiment. More than one seed shows the variation.
var seedCount = flag.Int("seeds", 1, "seeds per experiment")

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// The current sizes (docs/design.md, 1.2), and a mean service time of 20 ms.
const (
	slots    = 10
	meanWork = 20.0
	capacity = slots * 1000 / meanWork
)

type limiter = admit.Limiter

type discardEvents struct{}

func (discardEvents) Record(spar.Event) {}

// upstream is a simulated backend server with the limiter of its guard.
type upstream struct {
	clock      spar.Clock
	limiter    limiter
	slowFactor func(now spar.Millis) float64
	// canHandle returns how many concurrent calls the server can handle, and peakLoad is the highest number in
	// flight so far as a multiple of that.
	canHandle func(now spar.Millis) float64
	peakLoad  float64

	mu       sync.Mutex
	inFlight int
}

func newUpstream(clock spar.Clock, l limiter) *upstream {
	l.Reset(spar.Capacity{Slots: slots, Conns: 130})

	return &upstream{
		clock: clock, limiter: l, slowFactor: func(spar.Millis) float64 { return 1 },
		canHandle: func(spar.Millis) float64 { return slots },
	}
}

// serve runs a call that takes the given time, unless ctx or the deadline ends it earlier.
func (u *upstream) serve(ctx context.Context, c spar.Call, work spar.Millis) spar.Answer {
	done, reason := u.limiter.Acquire(ctx, c)
	if reason != spar.ReasonNone {
		return spar.NotRun(http.StatusTooManyRequests, reason, "").WithLoad(u.limiter.Load())
	}

	began := u.clock.Now()
	u.count(1)

	time := work * spar.Millis(u.slowFactor(began))
	ok := u.clock.Sleep(ctx, min(time, c.Deadline-began)) && began+time <= c.Deadline

	u.count(-1)
	done(u.clock.Now()-began, ok)

	if !ok {
		return spar.UnknownOutcome(http.StatusGatewayTimeout, spar.ReasonBroken, "").WithLoad(u.limiter.Load())
	}

	return spar.Answer{Outcome: spar.OutcomeCompleted, Status: http.StatusOK}.WithLoad(u.limiter.Load())
}

func (u *upstream) count(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.inFlight += n
	u.peakLoad = max(u.peakLoad, float64(u.inFlight)/u.canHandle(u.clock.Now()))
}

// fleet holds the upstreams of a service, and the picker and hedger of one entry node.
type fleet struct {
	clock          spar.Clock
	nodes          []spar.Node
	upstreams      map[spar.NodeID]*upstream
	picker         pick.Picker
	hedger         *pick.Hedger
	secondAttempts int
	mu             sync.Mutex
}

func newFleet(clock spar.Clock, n int, limiter func() limiter) *fleet {
	f := &fleet{clock: clock, upstreams: map[spar.NodeID]*upstream{}}

	for i := range n {
		id := spar.NodeID(fmt.Sprintf("n%d", i))
		f.nodes = append(f.nodes, spar.Node{ID: id, Service: "s"})
		f.upstreams[id] = newUpstream(clock, limiter())
	}

	return f
}

func (f *fleet) call(ctx context.Context, c spar.Call, work spar.Millis) spar.Answer {
	var tried []spar.NodeID

	attempt := func(ctx context.Context) spar.Answer {
		f.mu.Lock()
		n := f.picker.Pick(f.nodes, tried)
		f.secondAttempts += min(1, len(tried))
		tried = append(tried, n.ID)
		f.mu.Unlock()

		end := f.picker.Begin(n.ID)
		began := f.clock.Now()
		a := f.upstreams[n.ID].serve(ctx, c, work)
		end(f.clock.Now()-began, pick.ResultOf(ctx, a))
		f.picker.Report(n.ID, a.Load)

		return a
	}

	if f.hedger == nil {
		return attempt(ctx)
	}

	return f.hedger.Do(ctx, attempt)
}

// load describes an open-loop load.
type load struct {
	rate     float64
	duration spar.Millis
	deadline spar.Millis
	key      func(r *rand.Rand) string
	// minWork is the constant part of each call's work as a share of the mean. The rest is exponential.
	minWork float64
}

// sample is the result of one call. If the call was not completed, took is its deadline.
type sample struct {
	key    string
	at     spar.Millis
	took   spar.Millis
	answer spar.Answer
}

// run starts calls at random times, whether or not earlier ones have ended, and returns them in order of arrival.
func (l load) run(
	clock spar.Clock, seed uint64, call func(context.Context, spar.Call, spar.Millis) spar.Answer,
) []*sample {
	r := rand.New(rand.NewPCG(seed, 7))

	var (
		wg  sync.WaitGroup
		out []*sample
	)

	for began := clock.Now(); clock.Now() < began+l.duration; {
		time.Sleep(time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)))

		s := &sample{key: "k", at: clock.Now()}
		if l.key != nil {
			s.key = l.key(r)
		}

		c := spar.Call{
			Service: spar.Service{Name: "s", Mode: spar.ModeKeyed}, Method: http.MethodGet, Key: s.key,
			Deadline: s.at + l.deadline, Idempotent: true,
		}
		w := spar.Millis(meanWork * (l.minWork + (1-l.minWork)*r.ExpFloat64()))
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

func filter(samples []*sample, keep func(s *sample) bool) []*sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s *sample) bool { return !keep(s) })
}

func arrivedSince(samples []*sample, at spar.Millis) []*sample {
	return filter(samples, func(s *sample) bool { return s.at >= at })
}

func completed(samples []*sample) int {
	return len(filter(samples, func(s *sample) bool { return s.answer.Outcome == spar.OutcomeCompleted }))
}

func newAdaptive(clock spar.Clock) limiter {
	return admit.NewAdaptive(clock, admit.Settings{
		StartLimit: 2, Warmup: 6000, SlowRatio: 3, MaxQueue: 200,
	}, discardEvents{})
}

// runInBubble runs f in a synctest bubble, that is in virtual time.
func runInBubble(t *testing.T, f func(clock spar.Clock)) {
	synctest.Test(t, func(*testing.T) { f(spar.RuntimeClock()) })
}

func newFixed(clock spar.Clock) limiter {
	return admit.NewFixed(clock, 200)
}

func newTwoChoices(clock spar.Clock, share float64, seed uint64) *pick.TwoChoices {
	return pick.NewTwoChoices(clock, pick.Settings{
		EjectRatio: 3, MaxEjectShare: share, EjectBackoff: 1000, MaxEjectBackoff: 30_000,
	}, discardEvents{}, rand.NewPCG(seed, 1))
}
