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
	// requestTimeout bounds all attempts of one request together.
	requestTimeout = 20 * time.Second
	// downloadTimeout bounds all attempts of one download together.
	downloadTimeout = 60 * time.Second
	resendDelay     = 200 * time.Millisecond
	// sendTimeout bounds one attempt of a request that is not a download.
	sendTimeout  = 3 * time.Second
	dialTimeout  = time.Second
	maxIdleConns = 512
)

// Runner sends the traffic of a deployment to its nodes.
type Runner struct {
	entries []string
	client  *http.Client
	started time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	results []Result
	// tokens holds an unused token for each key that has one.
	tokens map[string]string
	// failed holds the entries that get no new requests.
	failed map[string]bool
	wg     sync.WaitGroup
}

// NewRunner returns a runner that sends each request to a random one of the given node addresses.
func NewRunner(entries []string, seed uint64) *Runner {
	return &Runner{
		entries: entries,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
		rng:    rand.New(rand.NewPCG(seed, 0)),
		tokens: map[string]string{},
		failed: map[string]bool{},
	}
}

// Start starts the streams, which end when ctx is done. Requests in flight continue until they have
// a result.
func (r *Runner) Start(ctx context.Context, streams []launch.Traffic) {
	r.started = time.Now()

	for _, t := range streams {
		r.wg.Go(func() { r.loopStream(ctx, t) })
	}
}

// Started returns the time at which the streams were started.
func (r *Runner) Started() time.Time {
	return r.started
}

// Wait waits for all requests and returns their results.
func (r *Runner) Wait() []Result {
	r.wg.Wait()
	r.client.CloseIdleConnections()

	return r.results
}

// loopStream sends one stream with exponentially distributed intervals. Due times do not depend on
// responses, so that a slow system does not reduce the load.
func (r *Runner) loopStream(ctx context.Context, t launch.Traffic) {
	due := time.Now()

	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.expInterval() / t.Rate * float64(time.Second)))

		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()

			return
		case <-timer.C:
		}

		req := request{traffic: t, key: r.pickKey(t), seq: n, due: due}
		r.wg.Go(func() { r.run(context.WithoutCancel(ctx), req) })
	}
}

func (r *Runner) expInterval() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.rng.ExpFloat64()
}

func (r *Runner) pickKey(t launch.Traffic) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.rng.Float64() < t.HotShare {
		return "hot"
	}

	return fmt.Sprintf("k%d", r.rng.IntN(t.Keys))
}

// SetFailed records whether the VM at the address entry has failed. No new requests are sent to a failed
// VM, since the experiments measure the system and not the callers' health checks.
func (r *Runner) SetFailed(entry string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.failed[entry] = failed
}

func (r *Runner) hasFailed(entry string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.failed[entry]
}

// pickEntry returns the address of a random node that has not failed.
func (r *Runner) pickEntry() string {
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

func (r *Runner) msSinceStart(at time.Time) float64 {
	return float64(at.Sub(r.started)) / float64(time.Millisecond)
}

// run sends one request until it has a result and records the result.
func (r *Runner) run(ctx context.Context, q request) {
	limit := requestTimeout
	if q.traffic.Kind == launch.KindDownload {
		limit = downloadTimeout
	}

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	result := r.sendUntilDone(ctx, q)
	result.Traffic, result.Service, result.Key = q.traffic.Name, q.traffic.Service, q.key
	result.ArrivalMs = r.msSinceStart(q.due)
	result.SentMs = max(result.SentMs, result.ArrivalMs)
	result.DoneMs = r.msSinceStart(time.Now())

	r.mu.Lock()
	defer r.mu.Unlock()

	r.results = append(r.results, result)
}
