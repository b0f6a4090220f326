package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sardinespar.example/spar/cmd/sparload/launch"
)

const (
	// requestTime bounds how long a caller pursues one request.
	requestTime = 20 * time.Second
	// downloadTime bounds one download.
	downloadTime = 60 * time.Second
	resendPause  = 200 * time.Millisecond
	// sendTime bounds one send of a request that is no download.
	sendTime    = 3 * time.Second
	dialTimeout = time.Second
	maxIdle     = 512
)

// Runner sends the traffic of a deployment to its nodes.
type Runner struct {
	entries []string
	client  *http.Client
	began   time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	results []Result
	tokens  map[string]string
	failed  map[string]bool
	wg      sync.WaitGroup
}

// NewRunner returns a runner that enters the system at the given addresses in random order.
func NewRunner(entries []string, seed uint64) *Runner {
	return &Runner{
		entries: entries,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
		rng:    rand.New(rand.NewPCG(seed, 0)),
		tokens: map[string]string{},
		failed: map[string]bool{},
	}
}

// Start begins the streams, which end with ctx. Requests already sent are pursued to their end.
func (r *Runner) Start(ctx context.Context, streams []launch.Traffic) {
	r.began = time.Now()

	for _, t := range streams {
		r.wg.Go(func() { r.loop(ctx, t) })
	}
}

// Began returns the start of the run.
func (r *Runner) Began() time.Time {
	return r.began
}

// Wait waits for all requests and returns their results.
func (r *Runner) Wait() []Result {
	r.wg.Wait()
	r.client.CloseIdleConnections()

	return r.results
}

// loop sends one stream with exponential gaps. Due times don't depend on answers, so that a slow
// system doesn't slow the load.
func (r *Runner) loop(ctx context.Context, t launch.Traffic) {
	due := time.Now()

	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.exponential() / t.Rate * float64(time.Second)))

		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()

			return
		case <-timer.C:
		}

		req := request{traffic: t, key: r.key(t), number: n, due: due}
		r.wg.Go(func() { r.run(context.WithoutCancel(ctx), req) })
	}
}

func (r *Runner) exponential() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.rng.ExpFloat64()
}

func (r *Runner) key(t launch.Traffic) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.rng.Float64() < t.HotShare {
		return "hot"
	}

	return fmt.Sprintf("k%d", r.rng.IntN(t.Keys))
}

// Fail marks the entry of a VM that was killed or frozen, or that is back. Callers learn of it at
// once, since the experiments measure the system and not the callers' health checks.
func (r *Runner) Fail(entry string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.failed[entry] = failed
}

func (r *Runner) hasFailed(entry string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.failed[entry]
}

func (r *Runner) entry() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	for {
		entry := r.entries[r.rng.IntN(len(r.entries))]
		if !r.failed[entry] {
			return entry
		}
	}
}

func (r *Runner) takeToken(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	token := r.tokens[key]
	delete(r.tokens, key)

	return token
}

func (r *Runner) putToken(key, token string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if token != "" {
		r.tokens[key] = token
	}
}

func (r *Runner) since(at time.Time) float64 {
	return float64(at.Sub(r.began)) / float64(time.Millisecond)
}

// run pursues one request and records its result.
func (r *Runner) run(ctx context.Context, q request) {
	limit := requestTime
	if q.traffic.Kind == launch.KindDownload {
		limit = downloadTime
	}

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	result := r.pursue(ctx, q)
	result.Traffic, result.Service, result.Key = q.traffic.Name, q.traffic.Service, q.key
	result.ArrivalMs = r.since(q.due)
	result.SentMs = max(result.SentMs, result.ArrivalMs)
	result.DoneMs = r.since(time.Now())

	r.mu.Lock()
	defer r.mu.Unlock()

	r.results = append(r.results, result)
}
