package entry

import "sync"

const (
	// retryRatio is the number of retries that each request of a service adds to the budget.
	retryRatio = 0.1
	// initialRetries is the number of retries that a node may make before the service has had any requests.
	initialRetries = 2
	// maxRetries bounds the unused retries, so that a burst of them is limited to what some seconds of
	// requests have added.
	maxRetries = 12
)

// RetryBudget bounds the retries of each service. Each node has its own share of the retries that the fleet
// may make, so that nodes need not coordinate.
type RetryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRetryBudget returns a budget that holds the initial retries for each service.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: map[string]float64{}}
}

// Earn counts a caller's request for a service, which adds a part of a retry.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens[service] = min(maxRetries, b.balance(service)+retryRatio)
}

// Spend takes one retry and reports whether there was one.
func (b *RetryBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	n := b.balance(service)
	if n < 1 {
		return false
	}

	b.tokens[service] = n - 1

	return true
}

// Available reports whether Spend would take a retry now.
func (b *RetryBudget) Available(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.balance(service) >= 1
}

// Return returns a retry that Spend took and that was not made.
func (b *RetryBudget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens[service] = min(maxRetries, b.balance(service)+1)
}

func (b *RetryBudget) balance(service string) float64 {
	n, ok := b.tokens[service]
	if !ok {
		return initialRetries
	}

	return n
}
