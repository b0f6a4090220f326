package pick

import (
	"context"
	"io"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// hedgeSamples is the number of recent attempts of which the quantile is computed.
	hedgeSamples = 512
	// minHedgeSamples is the number of samples that the quantile needs. Until then, nothing is hedged.
	minHedgeSamples = 50
	// hedgeRefreshSamples is the number of samples between two computations of the quantile.
	hedgeRefreshSamples = 16
	// minHedgeDelay is the minimum delay. With a shorter one, a hedge costs more than it saves.
	minHedgeDelay spar.Millis = 1
)

// Attempt makes one attempt at a call. It returns when ctx ends.
type Attempt func(ctx context.Context) spar.Answer

// Hedger makes a second attempt at calls that take longer than a quantile of the recent attempts.
type Hedger struct {
	clock    spar.Clock
	quantile float64
	budget   *Budget

	mu        sync.Mutex
	durations *Window[spar.Millis]
	added     int
	delay     spar.Millis
}

// NewHedger returns a hedger that starts second attempts after the given quantile of the times of its own recent
// attempts, as long as the budget allows it.
func NewHedger(clock spar.Clock, quantile float64, budget *Budget) *Hedger {
	return &Hedger{
		clock: clock, quantile: quantile, budget: budget, durations: NewWindow[spar.Millis](hedgeSamples),
	}
}

// Do makes an attempt, and a second one if the first takes longer than the hedging delay. It returns the answer
// of the first attempt that completes, and cancels the other one. If none completes, it returns the answer of
// an attempt whose outcome is unknown, if there is one.
func (h *Hedger) Do(ctx context.Context, attempt Attempt) spar.Answer {
	h.budget.Earn()

	delay, ok := h.currentDelay()
	if !ok {
		began := h.clock.Now()
		a := attempt(ctx)
		h.record(h.clock.Now()-began, a)

		return a
	}

	r := race{hedger: h, attempt: attempt, results: make(chan attemptResult, 2)}
	r.start(ctx)

	t := h.clock.Timer(delay)
	defer t.Stop()

	select {
	case first := <-r.results:
		r.pending--

		return first.answer
	case <-t.C:
	}

	if h.budget.Spend() {
		r.start(ctx)
	}

	return r.wait()
}

// currentDelay returns the delay of the second attempt. It returns false while there are too few samples.
func (h *Hedger) currentDelay() (spar.Millis, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.delay, h.delay > 0
}

// record adds the time of an attempt to the samples. Canceled attempts count with the time until they were
// canceled: without them, hedging itself would lower the quantile.
func (h *Hedger) record(took spar.Millis, a spar.Answer) {
	if a.Outcome == spar.OutcomeNotRun && a.Reason == spar.ReasonShed {
		return
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.durations.Add(took)
	h.added++

	if h.durations.Len() >= minHedgeSamples && (h.delay == 0 || h.added%hedgeRefreshSamples == 0) {
		h.delay = max(minHedgeDelay, h.durations.Quantile(h.quantile))
	}
}

// race holds the attempts at one call.
type race struct {
	hedger  *Hedger
	attempt Attempt
	results chan attemptResult
	cancels []context.CancelFunc
	pending int
}

type attemptResult struct {
	answer spar.Answer
	index  int
}

// start starts an attempt in its own goroutine.
func (r *race) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	r.pending++

	go r.run(ctx, cancel, len(r.cancels)-1)
}

// run makes one attempt. The context of the attempt is canceled when the body of its answer is closed.
func (r *race) run(ctx context.Context, cancel context.CancelFunc, index int) {
	began := r.hedger.clock.Now()
	a := r.attempt(ctx)
	r.hedger.record(r.hedger.clock.Now()-began, a)

	if a.Response == nil {
		cancel()
	} else {
		a.Response.Body = cancelingBody{ReadCloser: a.Response.Body, cancel: cancel}
	}

	r.results <- attemptResult{answer: a, index: index}
}

// wait returns the first completed answer. If there is none, it returns one whose outcome is unknown, or else
// the last one.
func (r *race) wait() spar.Answer {
	var last spar.Answer

	for r.pending > 0 {
		res := <-r.results
		r.pending--

		if res.answer.Outcome == spar.OutcomeCompleted {
			last.Close()
			r.cancelLosers(res.index)

			return res.answer
		}

		if last.Outcome != spar.OutcomeUnknown {
			last = res.answer
		}
	}

	return last
}

// cancelLosers cancels all attempts except the winner.
func (r *race) cancelLosers(winner int) {
	for index, cancel := range r.cancels {
		if index != winner {
			cancel()
		}
	}

	if r.pending > 0 {
		go r.loopDrain()
	}
}

// loopDrain closes the answers of the losers.
func (r *race) loopDrain() {
	for range r.pending {
		(<-r.results).answer.Close()
	}
}

// cancelingBody is the body of an answer. Closing it cancels the context of the attempt.
type cancelingBody struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the attempt.
func (c cancelingBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()

	return err
}
