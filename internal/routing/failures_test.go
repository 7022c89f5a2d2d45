package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFailureShareFollowsOutcomes covers an upstream that fails half of its
// requests for a while, and then gets few or none.
func TestFailureShareFollowsOutcomes(t *testing.T) {
	var e FailureEstimator
	now := time.Duration(0)
	observe := func(count int, failed func(int) bool) {
		for i := range count {
			now += 50 * ms
			e.Observe(now, failed(i))
		}
	}
	observe(200, func(int) bool { return false })
	if got := e.Share(now); got != 0 {
		t.Errorf("no failures: share %.2f", got)
	}
	observe(200, func(i int) bool { return i%2 == 0 })
	if got := e.Share(now); got < 0.4 || got > 0.5 {
		t.Errorf("every second request fails: share %.2f", got)
	}
	if got := e.Share(now + 15*time.Second); got > 0.1 {
		t.Errorf("15 s without requests: share %.2f", got)
	}
	var rare FailureEstimator
	rare.Observe(0, true)
	if got := rare.Share(0); got > 0.2 {
		t.Errorf("a single failed request: share %.2f", got)
	}
}

// failingFleet is a data centre with upstreams of one service, of which the first
// fails part of its requests at once, and is idle and looks fast for it.
type failingFleet struct {
	random     *rand.Rand
	candidates []Candidate
	estimators []FailureEstimator
}

// place places requests for a second, 100 of them, and returns how many went to the
// first upstream, which fails the given share.
func (f *failingFleet) place(second int, failing float64) int {
	toFirst := 0
	for i := range 100 {
		now := time.Duration(second)*time.Second + time.Duration(i)*10*ms
		for j := range f.candidates {
			f.candidates[j].FailureShare = f.estimators[j].Share(now)
		}
		chosen := Choose(f.candidates, PlacementRequest{Bytes: 2000, Goal: 300 * ms, Rand: f.random.Float64})
		failed := chosen == 0 && f.random.Float64() < failing
		f.estimators[chosen].Observe(now, failed)
		if chosen == 0 {
			toFirst++
		}
	}
	return toFirst
}

// TestUpstreamThatFailsRequestsIsAvoided covers an upstream that accepts requests
// and reports itself ready but fails nearly half of them, and later recovers.
func TestUpstreamThatFailsRequestsIsAvoided(t *testing.T) {
	f := &failingFleet{random: rand.New(rand.NewPCG(11, 12)), estimators: make([]FailureEstimator, 4)}
	for _, instance := range []string{"failing", "b", "c", "d"} {
		f.candidates = append(f.candidates, candidate(instance, true, 4, 90*ms))
	}
	f.candidates[0].Load = 0
	counts := make([]int, 40)
	for second := range counts {
		failing := 0.0
		if second >= 5 && second < 15 {
			failing = 0.45
		}
		counts[second] = f.place(second, failing)
	}
	if counts[4] < 40 {
		t.Errorf("the idle upstream got %d of 100 requests before it failed any", counts[4])
	}
	for second := 8; second < 15; second++ {
		if counts[second] > 20 {
			t.Errorf("second %d: the failing upstream got %d of 100 requests", second, counts[second])
		}
		if second > 10 && counts[second-1]+counts[second] == 0 {
			t.Errorf("second %d: nothing would show that the upstream has recovered", second)
		}
	}
	if counts[39] < 40 {
		t.Errorf("the recovered upstream gets %d of 100 requests", counts[39])
	}
}

// TestUpstreamsThatFailAlikeShareTheLoad covers a service whose upstreams all fail
// half of their requests. Their estimates differ by chance, which must not move the
// load to one of them.
func TestUpstreamsThatFailAlikeShareTheLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(13, 14))
	var candidates []Candidate
	for i, instance := range []string{"a", "b", "c", "d"} {
		c := candidate(instance, true, 4, 90*ms)
		c.FailureShare = 0.45 + 0.03*float64(i)
		candidates = append(candidates, c)
	}
	counts := map[string]int{}
	for range 1000 {
		counts[candidates[Choose(candidates, PlacementRequest{Bytes: 2000, Goal: 300 * ms, Rand: random.Float64})].Instance]++
	}
	if counts["d"] < 200 {
		t.Errorf("requests by instance: %v", counts)
	}
}
