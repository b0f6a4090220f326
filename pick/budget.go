package pick

import "sync"

// budgetReserve is the number of extra calls that may be made at once before any were earned, so
// that a node with few calls can make one at all.
const budgetReserve = 10

// Budget bounds extra calls (hedges, retries) to a share of the calls. All methods may be used at
// the same time.
type Budget struct {
	share float64

	mu   sync.Mutex
	left float64
}

// NewBudget returns a budget for the given share of the calls. A share of 0 allows nothing.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.left = budgetReserve
	}

	return b
}

// Earn counts a call.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.left = min(b.left+b.share, budgetReserve)
}

// Spend takes an extra call and reports false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.left < 1 {
		return false
	}

	b.left--

	return true
}
