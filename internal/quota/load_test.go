package quota

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

// driveAll sends requests of all customers at the given rates.
func (m *mesh) driveAll(dcs []float64, rate func(name string, limit Limit) float64) {
	for _, name := range slices.Sorted(maps.Keys(m.limits)) {
		limit := m.limits[name]
		m.drive(name, dcs, end, func() float64 { return rate(name, limit) })
	}
}

// drive sends requests of a customer from begin to until, at random times and to daemons
// that are chosen by weight. The traffic of daemons differs by up to 4 times, that of
// data centres by their weights.
func (m *mesh) drive(customer string, dcs []float64, until time.Duration, rate func() float64) {
	m.weights[customer] = m.uneven(4, dcs)
	var next func()
	next = func() {
		if m.now > until {
			return
		}
		peak := m.peak(customer)
		m.after(time.Duration(m.rng.ExpFloat64()/peak*float64(time.Second)), func() {
			if m.rng.Float64() < rate()/peak {
				m.request(m.pick(m.weights[customer]), customer)
			}
			next()
		})
	}
	m.at(begin, next)
}

// peak returns the highest rate at which a customer sends requests.
func (m *mesh) peak(customer string) float64 { return max(m.limits[customer].Rate*7*usualShare, 100) }

// pick draws a daemon by its weight.
func (m *mesh) pick(weights []float64) *node {
	for {
		i := m.rng.IntN(len(weights))
		if m.rng.Float64()*slices.Max(weights) < weights[i] {
			return m.nodes[i]
		}
	}
}

// uneven returns the weights of daemons whose traffic differs by up to spread times,
// in data centres with the given weights.
func (m *mesh) uneven(spread float64, dcs []float64) []float64 {
	weights := make([]float64, len(m.nodes))
	for i, n := range m.nodes {
		weights[i] = dcs[n.dc] * math.Pow(spread, m.rng.Float64())
	}
	return weights
}

// worst returns the largest number of requests that ran and were sent within one
// window that begins in [from, to).
func (s *stats) worst(window, from, to time.Duration) int {
	ran := slices.Clone(s.ran)
	slices.Sort(ran)
	most, end := 0, 0
	for i, at := range ran {
		for end < len(ran) && ran[end] < at+window {
			end++
		}
		if at >= from && at < to {
			most = max(most, end-i)
		}
	}
	return most
}

// bound returns the largest number of requests allowed in one window.
func bound(l Limit) float64 {
	return (l.Rate*testParams.Window.Seconds()+l.Burst)*(1+testParams.Excess) + testParams.Slack
}

// checkBound checks requirement 4 for each window, and that no request waited for too
// long. It returns the largest part of the bound that was used.
func (m *mesh) checkBound(t *testing.T, seed uint64, limits map[string]Limit, from, to time.Duration) float64 {
	t.Helper()
	used := 0.0
	for name, limit := range limits {
		worst := m.stats[name].worst(testParams.Window, from, to)
		used = max(used, float64(worst)/bound(limit))
		if float64(worst) > bound(limit) {
			t.Errorf("seed %d: %d requests of %s ran in a window, bound %.1f", seed, worst, name, bound(limit))
		}
		if longest := m.stats[name].longest; longest > askLimit {
			t.Errorf("seed %d: a request of %s waited %v", seed, name, longest)
		}
	}
	return used
}
