package routing

import "time"

// BudgetConfig bounds the retries of one service through one daemon.
type BudgetConfig struct {
	// Share is the retries allowed for each request in Window.
	Share float64
	// Extra is allowed besides.
	Extra  float64
	Window time.Duration
}

// windowParts is how many parts a window is counted in.
const windowParts = 10

// Budget bounds retries as a share of the requests in a sliding window. It is
// used by one goroutine at a time.
type Budget struct {
	cfg   BudgetConfig
	parts [windowParts]budgetPart
}

type budgetPart struct {
	number   int64
	requests int
	retries  int
}

// NewBudget returns a budget without requests.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{cfg: cfg} }

// Earn counts a request.
func (b *Budget) Earn(now time.Duration) { b.part(now).requests++ }

// Spend takes one retry, or reports false.
func (b *Budget) Spend(now time.Duration) bool {
	current := b.part(now)
	requests, retries := 0, 0
	for _, part := range b.parts {
		if part.number > current.number-windowParts {
			requests += part.requests
			retries += part.retries
		}
	}
	if float64(retries+1) > b.cfg.Share*float64(requests)+b.cfg.Extra {
		return false
	}
	current.retries++
	return true
}

// part returns the part of the window that a moment lies in.
func (b *Budget) part(now time.Duration) *budgetPart {
	number := int64(now / (b.cfg.Window / windowParts))
	part := &b.parts[number%windowParts]
	if part.number != number {
		*part = budgetPart{number: number}
	}
	return part
}
