package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// steady draws numbers that never explore and add nothing.
func steady() func() float64 {
	first := true
	return func() float64 {
		if first {
			first = false
			return 0.99
		}
		return 0
	}
}

func at(instance string, near bool, load float64, hold time.Duration) Candidate {
	return Candidate{Instance: instance, Near: near, Takes: true, Load: load, Slots: 10, Hold: hold}
}

func TestChoose(t *testing.T) {
	full, idle := 15.0, 1.0
	closed := at("closed", true, 0, 10*ms)
	closed.Takes = false
	filled := at("filled", true, idle, 10*ms)
	filled.Line = 200 * ms
	silent := at("silent", true, 0, 10*ms)
	silent.Silent = 50 * ms
	for name, c := range map[string]struct {
		candidates []Candidate
		bytes      int
		tried      []string
		want       string
	}{
		"none":                               {nil, 0, nil, ""},
		"the faster near one":                {[]Candidate{at("a", true, idle, 90*ms), at("b", true, idle, 60*ms)}, 2000, nil, "b"},
		"the less loaded near one":           {[]Candidate{at("a", true, full, 60*ms), at("b", true, idle, 90*ms)}, 2000, nil, "b"},
		"near before far":                    {[]Candidate{at("a", true, 9, 90*ms), at("b", false, idle, 90*ms)}, 2000, nil, "a"},
		"far when the near one is full":      {[]Candidate{at("a", true, 40, 90*ms), at("b", false, idle, 90*ms)}, 2000, nil, "b"},
		"not far where that is full, too":    {[]Candidate{at("a", true, 40, 90*ms), at("b", false, 9, 90*ms)}, 2000, nil, "a"},
		"far past a faster one without room": {[]Candidate{at("a", true, 40, 90*ms), at("b", false, 9, 20*ms), at("c", false, idle, 90*ms)}, 2000, nil, "c"},
		"a large one stays":                  {[]Candidate{at("a", true, 40, 90*ms), at("b", false, idle, 90*ms)}, 90_000, nil, "a"},
		"a large one goes when it must":      {[]Candidate{closed, at("b", false, full, 90*ms)}, 90_000, nil, "b"},
		"not one that takes nothing":         {[]Candidate{closed, at("b", true, full, 90*ms)}, 0, nil, "b"},
		"not one that says nothing":          {[]Candidate{silent, at("b", true, idle, 90*ms)}, 0, nil, "b"},
		"a silent one when it must":          {[]Candidate{silent, closed}, 0, nil, "silent"},
		"not one whose line is full":         {[]Candidate{filled, at("b", true, idle, 90*ms)}, 0, nil, "b"},
		"not one that was tried":             {[]Candidate{at("a", true, idle, 9*ms), at("b", true, idle, 90*ms)}, 0, []string{"a"}, "b"},
		"not far with a large one at last":   {[]Candidate{at("a", true, idle, 9*ms), at("b", false, idle, 9*ms)}, 90_000, []string{"a"}, ""},
		"nothing when all have been tried":   {[]Candidate{at("a", true, idle, 9*ms)}, 0, []string{"a"}, ""},
	} {
		got := Choose(c.candidates, Ask{Bytes: c.bytes, Tried: c.tried, Draw: steady()})
		name2 := ""
		if got >= 0 {
			name2 = c.candidates[got].Instance
		}
		if name2 != c.want {
			t.Errorf("%s: chose %q, want %q", name, name2, c.want)
		}
	}
}

// TestEachNearUpstreamIsHeardOf covers an upstream that has just joined and was
// slow at first: without exploration no request would find it to be fast.
func TestEachNearUpstreamIsHeardOf(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []Candidate{at("old", true, 1, 50*ms), at("new", true, 0, 500*ms), at("far", false, 0, 50*ms)}
	counts := map[string]int{}
	for range 2000 {
		counts[candidates[Choose(candidates, Ask{Bytes: 2000, Draw: random.Float64})].Instance]++
	}
	if counts["new"] < 20 || counts["old"] < 1800 || counts["far"] > 0 {
		t.Errorf("%v", counts)
	}
}

// TestSmallDataCentreSpills replays a data centre with one upstream beside a
// large one: what the small one cannot take in time goes to free slots, and
// nothing moves while there is room.
func TestSmallDataCentreSpills(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	small, large := at("small", true, 0, 90*ms), at("large", false, 2, 90*ms)
	moved := map[bool]int{}
	for load := range 30 {
		small.Load = float64(load)
		for range 100 {
			chosen := Choose([]Candidate{small, large}, Ask{Bytes: 1500, Draw: random.Float64})
			if chosen == 1 {
				moved[load < 10]++
			}
		}
	}
	if moved[true] > 0 || moved[false] < 500 {
		t.Errorf("moved with room %d, without %d", moved[true], moved[false])
	}
}

func TestBudgetHoldsInEveryWindow(t *testing.T) {
	b := NewBudget(BudgetConfig{Share: 0.1, Extra: 2, Window: 10 * time.Second})
	spent := map[int]int{}
	for second := range 60 {
		now := time.Duration(second) * time.Second
		for range 20 {
			b.Earn(now)
			for range 3 {
				if b.Spend(now) {
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

func TestBudgetWithoutRequests(t *testing.T) {
	b := NewBudget(BudgetConfig{Share: 0.1, Extra: 1, Window: 10 * time.Second})
	if !b.Spend(0) || b.Spend(0) {
		t.Error("want one retry")
	}
	if !b.Spend(11 * time.Second) {
		t.Error("the window has passed")
	}
}
