package routing

import "sync/atomic"

// Budget bounds retries as a share of first sends: each first send earns a
// share of a token and each retry spends one. It is safe for concurrent use
// and takes no lock.
type Budget struct {
	// hundredths of a token
	balance atomic.Int64
}

const (
	// tokenHundredths is one retry.
	tokenHundredths = 100
	// budgetReserve is the balance a budget starts with and may at most save
	// up, so that a quiet route can retry at all.
	budgetReserve = 10 * tokenHundredths
)

// NewBudget returns a full budget for a rule that allows percent retries for
// each hundred first sends; with 0 there are none.
func NewBudget(percent int) *Budget {
	b := &Budget{}
	if percent > 0 {
		b.balance.Store(budgetReserve)
	}
	return b
}

// Earn counts one first send under a rule that allows percent retries for
// each hundred.
func (b *Budget) Earn(percent int) {
	for {
		old := b.balance.Load()
		if old >= budgetReserve {
			return
		}
		if b.balance.CompareAndSwap(old, min(old+int64(percent), budgetReserve)) {
			return
		}
	}
}

// Spend takes the price of one retry, or reports false.
func (b *Budget) Spend() bool {
	for {
		old := b.balance.Load()
		if old < tokenHundredths {
			return false
		}
		if b.balance.CompareAndSwap(old, old-tokenHundredths) {
			return true
		}
	}
}

// Balance returns the retries that are left.
func (b *Budget) Balance() float64 {
	return float64(b.balance.Load()) / tokenHundredths
}
