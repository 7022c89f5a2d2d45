package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// noExploration returns a source of numbers for one call of Choose that disable
// exploration and add no jitter.
func noExploration() func() float64 {
	first := true
	return func() float64 {
		if first {
			first = false
			return 0.99
		}
		return 0
	}
}

func candidate(instance string, local bool, load float64, serviceTime time.Duration) Candidate {
	return Candidate{Instance: instance, Local: local, Available: true, Load: load, Slots: 10, ServiceTime: serviceTime}
}

func TestChoose(t *testing.T) {
	full, idle := 15.0, 1.0
	closed := candidate("closed", true, 0, 10*ms)
	closed.Available = false
	saturated := candidate("saturated", true, idle, 10*ms)
	saturated.RTT = 200 * ms
	unanswered := candidate("unanswered", true, 0, 10*ms)
	unanswered.PendingPingAge = 50 * ms
	for name, c := range map[string]struct {
		candidates []Candidate
		bytes      int
		tried      []string
		want       string
	}{
		"no candidates":                                  {nil, 0, nil, ""},
		"the faster local one":                           {[]Candidate{candidate("a", true, idle, 90*ms), candidate("b", true, idle, 60*ms)}, 2000, nil, "b"},
		"the less loaded local one":                      {[]Candidate{candidate("a", true, full, 60*ms), candidate("b", true, idle, 90*ms)}, 2000, nil, "b"},
		"local before remote":                            {[]Candidate{candidate("a", true, 9, 90*ms), candidate("b", false, idle, 90*ms)}, 2000, nil, "a"},
		"remote when the local one is full":              {[]Candidate{candidate("a", true, 40, 90*ms), candidate("b", false, idle, 90*ms)}, 2000, nil, "b"},
		"local when the remote one is full, too":         {[]Candidate{candidate("a", true, 40, 90*ms), candidate("b", false, 10, 90*ms)}, 2000, nil, "a"},
		"remote with free slots, not a faster full one":  {[]Candidate{candidate("a", true, 40, 90*ms), candidate("b", false, 9, 20*ms), candidate("c", false, idle, 90*ms)}, 2000, nil, "c"},
		"local for a large request":                      {[]Candidate{candidate("a", true, 40, 90*ms), candidate("b", false, idle, 90*ms)}, 90_000, nil, "a"},
		"remote for a large request without a local one": {[]Candidate{closed, candidate("b", false, full, 90*ms)}, 90_000, nil, "b"},
		"not one that accepts no requests":               {[]Candidate{closed, candidate("b", true, full, 90*ms)}, 0, nil, "b"},
		"not one that leaves a ping unanswered":          {[]Candidate{unanswered, candidate("b", true, idle, 90*ms)}, 0, nil, "b"},
		"one with an unanswered ping as a last resort":   {[]Candidate{unanswered, closed}, 0, nil, "unanswered"},
		"not one with a saturated link":                  {[]Candidate{saturated, candidate("b", true, idle, 90*ms)}, 0, nil, "b"},
		"not one that was tried":                         {[]Candidate{candidate("a", true, idle, 9*ms), candidate("b", true, idle, 90*ms)}, 0, []string{"a"}, "b"},
		"no remote one for a large request on retry":     {[]Candidate{candidate("a", true, idle, 9*ms), candidate("b", false, idle, 9*ms)}, 90_000, []string{"a"}, ""},
		"none when all were tried":                       {[]Candidate{candidate("a", true, idle, 9*ms)}, 0, []string{"a"}, ""},
	} {
		got := Choose(c.candidates, PlacementRequest{Bytes: c.bytes, Tried: c.tried, Rand: noExploration()})
		chosen := ""
		if got >= 0 {
			chosen = c.candidates[got].Instance
		}
		if chosen != c.want {
			t.Errorf("%s: chose %q, want %q", name, chosen, c.want)
		}
	}
}

// TestEachLocalUpstreamIsExplored covers an upstream that has just joined and
// was slow at first: without exploration it would get no requests that show it
// to be fast by now.
func TestEachLocalUpstreamIsExplored(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []Candidate{candidate("old", true, 1, 50*ms), candidate("new", true, 0, 500*ms), candidate("remote", false, 0, 50*ms)}
	counts := map[string]int{}
	for range 2000 {
		counts[candidates[Choose(candidates, PlacementRequest{Bytes: 2000, Rand: random.Float64})].Instance]++
	}
	if counts["new"] < 20 || counts["old"] < 1800 || counts["remote"] > 0 {
		t.Errorf("requests by instance: %v", counts)
	}
}

// TestUpstreamInSlowStartSharesTheLoad covers an upstream that advertises one slot, beside
// others with half of their slots taken. A penalty that counted the request itself
// would keep it idle until all others are full.
func TestUpstreamInSlowStartSharesTheLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(19, 20))
	starting := candidate("starting", true, 0, 90*ms)
	starting.Slots = 1
	candidates := []Candidate{starting, candidate("a", true, 5, 90*ms), candidate("b", true, 5, 90*ms), candidate("c", true, 5, 90*ms)}
	chosen := 0
	for range 500 {
		if Choose(candidates, PlacementRequest{Bytes: 2000, Goal: 300 * ms, Rand: random.Float64}) == 0 {
			chosen++
		}
	}
	if chosen < 200 {
		t.Errorf("%d of 500 requests went to its idle slot", chosen)
	}
}

// TestSmallDataCentreSpillsOnlyWhenFull covers a data centre with one upstream
// and another, large one with free slots: requests that would wait too long for
// the local upstream are sent to the large data centre, and none is sent there
// while a local slot is free.
func TestSmallDataCentreSpillsOnlyWhenFull(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	small, large := candidate("small", true, 0, 90*ms), candidate("large", false, 2, 90*ms)
	spilled := map[bool]int{}
	for load := range 30 {
		small.Load = float64(load)
		for range 100 {
			chosen := Choose([]Candidate{small, large}, PlacementRequest{Bytes: 1500, Rand: random.Float64})
			if chosen == 1 {
				spilled[load < 10]++
			}
		}
	}
	if spilled[true] > 0 || spilled[false] < 500 {
		t.Errorf("%d requests spilled with a free local slot, %d without", spilled[true], spilled[false])
	}
}

// TestLimitedDataCentreUsesBusyUpstreamsElsewhere covers a data centre whose only upstream
// takes a limited number of requests a second: what it refuses may wait for a slot in
// another data centre, which a spillover request may not.
func TestLimitedDataCentreUsesBusyUpstreamsElsewhere(t *testing.T) {
	limited, busy := candidate("limited", true, 2, 90*ms), candidate("busy", false, 10, 90*ms)
	limited.Slots = 2
	for _, c := range []struct {
		rateLimited bool
		want        int
	}{{true, 1}, {false, -1}} {
		limited.RateLimited = c.rateLimited
		candidates := []Candidate{limited, busy}
		request := PlacementRequest{Bytes: 1500, Goal: 300 * ms, Tried: []string{"limited"}, Rand: func() float64 { return 0.5 }}
		if got := Choose(candidates, request); got != c.want {
			t.Errorf("limited %t: chose %d, want %d", c.rateLimited, got, c.want)
		}
		if got := HasLocal(candidates); got == c.rateLimited {
			t.Errorf("limited %t: requests elsewhere are spillover: %t", c.rateLimited, got)
		}
	}
}

func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Share: 0.1, Extra: 2, Window: 10 * time.Second})
	spent := map[int]int{}
	for second := range 60 {
		now := time.Duration(second) * time.Second
		for range 20 {
			b.RecordRequest(now)
			for range 3 {
				if b.AllowsRetry(now, 1) {
					b.RecordRetry(now)
					spent[second]++
				}
			}
		}
		inWindow := 0
		for s := max(0, second-9); s <= second; s++ {
			inWindow += spent[s]
		}
		if limit := 20 + 2; inWindow > limit {
			t.Errorf("second %d: %d retries in the window, limit %d", second, inWindow, limit)
		}
	}
}

func TestRetryBudgetAllowsExtraWithoutRequests(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Share: 0.1, Extra: 1, Window: 10 * time.Second})
	if !b.AllowsRetry(0, 1) {
		t.Error("want one retry")
	}
	b.RecordRetry(0)
	if b.AllowsRetry(0, 1) {
		t.Error("want exactly one retry")
	}
	if !b.AllowsRetry(11*time.Second, 1) {
		t.Error("no retry in the next window")
	}
}

func TestRetryBudgetKeepsAShareForOthers(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Extra: 4, Window: 10 * time.Second})
	for range 2 {
		if !b.AllowsRetry(0, 0.5) {
			t.Error("want two retries of half of the budget")
		}
		b.RecordRetry(0)
	}
	if b.AllowsRetry(0, 0.5) || !b.AllowsRetry(0, 1) {
		t.Error("want the other half kept for those that may use all of it")
	}
	b.SetExtra(2)
	if b.AllowsRetry(0, 1) {
		t.Error("want no retry once more daemons share the budget")
	}
}
