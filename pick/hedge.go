package pick

import (
	"context"
	"io"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	hedgeSamples = 512
	// hedgeLeast is the number of samples before the quantile means anything.
	hedgeLeast = 50
	// hedgeRefresh is the number of samples between two computations of the quantile.
	hedgeRefresh = 16
	// hedgeFloor is the least delay; below it a hedge costs more than it saves.
	hedgeFloor spar.Millis = 1
)

// Attempt makes one attempt at a call. It ends when ctx ends.
type Attempt func(ctx context.Context) spar.Answer

// Hedger makes a second attempt at calls that take longer than a quantile of the recent ones.
type Hedger struct {
	clock    spar.Clock
	quantile float64
	budget   *Budget

	mu    sync.Mutex
	times *Window[spar.Millis]
	added int
	delay spar.Millis
}

// NewHedger returns a hedger that starts second attempts after the given quantile of the times of
// its own calls, as long as the budget allows.
func NewHedger(clock spar.Clock, quantile float64, budget *Budget) *Hedger {
	return &Hedger{
		clock: clock, quantile: quantile, budget: budget, times: NewWindow[spar.Millis](hedgeSamples),
	}
}

// Do makes the attempt, and a second one if the first takes long. The first attempt that completes
// wins, and the other is canceled. Without one, an attempt that may have run decides.
func (h *Hedger) Do(ctx context.Context, attempt Attempt) spar.Answer {
	h.budget.Earn()

	delay, ok := h.after()
	if !ok {
		began := h.clock.Now()
		a := attempt(ctx)
		h.learn(h.clock.Now()-began, a)

		return a
	}

	r := race{hedger: h, attempt: attempt, results: make(chan result, 2)}
	r.start(ctx)

	t := h.clock.Timer(delay)
	defer t.Stop()

	select {
	case first := <-r.results:
		r.out--

		return first.answer
	case <-t.C:
	}

	if h.budget.Spend() {
		r.start(ctx)
	}

	return r.finish()
}

// after returns the delay of the second attempt, and false while too little is known.
func (h *Hedger) after() (spar.Millis, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.delay, h.delay > 0
}

// learn takes the time of an attempt. Canceled attempts count with the time until then: without
// them, hedging itself would pull the quantile down.
func (h *Hedger) learn(took spar.Millis, a spar.Answer) {
	if a.Outcome == spar.OutcomeNotRun && a.Reason == spar.ReasonShed {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.times.Add(took)
	h.added++

	if h.times.Len() >= hedgeLeast && (h.delay == 0 || h.added%hedgeRefresh == 0) {
		h.delay = max(hedgeFloor, h.times.Quantile(h.quantile))
	}
}

// race is the attempts at one call.
type race struct {
	hedger  *Hedger
	attempt Attempt
	results chan result
	cancels []context.CancelFunc
	out     int
}

type result struct {
	answer spar.Answer
	lane   int
}

func (r *race) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	r.out++

	go r.run(ctx, cancel, len(r.cancels)-1)
}

// run makes one attempt; its context ends with the answer's body.
func (r *race) run(ctx context.Context, cancel context.CancelFunc, lane int) {
	began := r.hedger.clock.Now()
	a := r.attempt(ctx)
	r.hedger.learn(r.hedger.clock.Now()-began, a)

	if a.Response == nil {
		cancel()
	} else {
		a.Response.Body = canceling{ReadCloser: a.Response.Body, cancel: cancel}
	}

	r.results <- result{answer: a, lane: lane}
}

// finish returns the first completed answer, or the one that says most if none is.
func (r *race) finish() spar.Answer {
	var last spar.Answer

	for r.out > 0 {
		res := <-r.results
		r.out--

		if res.answer.Outcome == spar.OutcomeCompleted {
			last.Close()
			r.settle(res.lane)

			return res.answer
		}

		if last.Outcome != spar.OutcomeUnknown {
			last = res.answer
		}
	}

	return last
}

// settle cancels all attempts but the winner's.
func (r *race) settle(winner int) {
	for lane, cancel := range r.cancels {
		if lane != winner {
			cancel()
		}
	}

	if r.out > 0 {
		go r.loop()
	}
}

// loop closes the answers that come too late.
func (r *race) loop() {
	for range r.out {
		(<-r.results).answer.Close()
	}
}

// canceling ends an attempt's context with its body.
type canceling struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close closes the body and ends the attempt.
func (c canceling) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()

	return err
}
