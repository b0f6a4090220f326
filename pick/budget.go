package pick

import "sync"

// budgetReserve is the initial and the maximum balance. It is the number of extra calls that may be made at once,
// and lets a node with few calls make any at all.
const budgetReserve = 10

// Budget limits extra calls (hedges, retries) to a share of the calls. Its methods are safe for concurrent use.
type Budget struct {
	share float64

	mu      sync.Mutex
	balance float64
}

// NewBudget returns a budget for the given share of the calls. A share of 0 allows nothing.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.balance = budgetReserve
	}

	return b
}

// Earn adds the share of one call to the balance.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.balance = min(b.balance+b.share, budgetReserve)
}

// Spend takes one extra call from the balance, and reports whether the balance allowed it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.balance < 1 {
		return false
	}

	b.balance--

	return true
}
