package entry

import "sync"

const (
	// budgetShare is the part of a service's requests that a node may send once more.
	budgetShare = 0.1
	// budgetSlack is the number of repeats that a node may make without any requests.
	budgetSlack = 2
	// budgetMost bounds saved repeats, so that a burst of them stays within a window of some seconds.
	budgetMost = 12
)

// Budget bounds the repeats of each service. Each node spends its own share of what the fleet may
// repeat, so that no node has to ask another.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget with its slack.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// Earn counts a caller's request for a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens[service] = min(budgetMost, b.saved(service)+budgetShare)
}

// Spend takes one repeat, if there is one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	n := b.saved(service)
	if n < 1 {
		return false
	}

	b.tokens[service] = n - 1

	return true
}

func (b *Budget) saved(service string) float64 {
	n, ok := b.tokens[service]
	if !ok {
		return budgetSlack
	}

	return n
}
