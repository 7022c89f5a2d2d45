package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomChoice returns random candidates of either side and a random request, with loads,
// delays and failures from none to far too many.
func randomChoice(random *rand.Rand) ([]Candidate, PlacementRequest) {
	duration := func(most int) time.Duration { return time.Duration(random.IntN(most)) * ms }
	candidates := make([]Candidate, random.IntN(9))
	for i := range candidates {
		c := candidate(fmt.Sprint(i), random.IntN(2) == 0, random.Float64()*16, duration(300))
		c.Available = random.IntN(6) > 0
		c.Slots = random.IntN(12)
		c.RateLimited = random.IntN(6) == 0
		c.FailureShare = random.Float64() * random.Float64()
		c.RTT, c.ReportAge, c.LinkBacklog = duration(50), duration(3000), duration(400)
		if random.IntN(8) == 0 {
			c.PendingPingAge = duration(80)
		}
		candidates[i] = c
	}
	request := PlacementRequest{Work: random.Float64(), Goal: duration(800), Bytes: []int{600, 2000, 90_000}[random.IntN(3)]}
	for random.IntN(4) == 0 {
		request.Tried = append(request.Tried, fmt.Sprint(random.IntN(9)))
	}
	return candidates, request
}

// TestExplanationAgreesWithChoose compares the explanation with the choices for random
// upstreams: an operator must not be shown another upstream than the one that gets the
// request. The ranks are the order in which Choose takes the candidates when each refuses
// the request, and only candidates without a rank are excluded.
func TestExplanationAgreesWithChoose(t *testing.T) {
	random := rand.New(rand.NewPCG(23, 24))
	reasons := map[ChoiceReason]int{}
	for range 20_000 {
		candidates, request := randomChoice(random)
		// The caller may use the spare capacity of its list.
		used := len(request.Tried)
		spare := request.Tried[:cap(request.Tried)]
		before, tried := slices.Clone(candidates), slices.Clone(spare)
		e := Explain(candidates, request)
		if !slices.Equal(candidates, before) || !slices.Equal(spare, tried) {
			t.Fatalf("the explanation changed its input %+v, %v", before, tried)
		}
		reasons[e.Reason]++
		ranked := 0
		for want := -1; ; ranked++ {
			request.Rand = noExploration()
			want = Choose(candidates, request)
			if ranked == 0 && e.Chosen != want {
				t.Fatalf("explained as %d, chosen %d: %+v, %+v", e.Chosen, want, candidates, e)
			}
			if want < 0 {
				break
			}
			if e.Evaluations[want].Rank != ranked+1 {
				t.Fatalf("choice %d is %d: %+v, %+v", ranked+1, want, candidates, e)
			}
			request.Tried = append(slices.Clip(request.Tried), candidates[want].Instance)
		}
		request.Tried = tried[:used]
		checkEvaluations(t, candidates, request, e, ranked)
	}
	for r := NoCandidate; r <= RemoteCheaper; r++ {
		if reasons[r] < 100 {
			t.Errorf("%d cases are decided by %q; want 100 or more", reasons[r], r)
		}
	}
}

// checkEvaluations checks that exactly the given number of candidates have a rank and the
// others a bar, and that no candidate on the side of the chosen one that may get the
// request costs less.
func checkEvaluations(t *testing.T, candidates []Candidate, request PlacementRequest, e Explanation, ranked int) {
	t.Helper()
	for i := range e.Evaluations {
		v := &e.Evaluations[i]
		if (v.Rank > 0) == (v.Exclusion != NotExcluded) {
			t.Fatalf("candidate %d has rank %d and exclusion %q", i, v.Rank, v.Exclusion)
		}
		if v.Rank > 0 {
			ranked--
		}
		if e.Chosen < 0 || v.Rank == 0 || candidates[i].Local != candidates[e.Chosen].Local {
			continue
		}
		excluded := !candidates[i].Local && HasLocal(candidates) && candidates[i].spilloverExclusion(request.Bytes, e.Reason == OnlyRemote) != NotExcluded
		if !excluded && v.Cost.Total() < e.Evaluations[e.Chosen].Cost.Total() {
			t.Fatalf("candidate %d costs %s, the chosen %d %s", i, v.Cost.Total(), e.Chosen, e.Evaluations[e.Chosen].Cost.Total())
		}
	}
	if ranked != 0 {
		t.Fatalf("%d candidates too few have a rank", ranked)
	}
}

// TestExplanationSaysWhyACandidateIsExcluded covers an operator who asks why an upstream
// gets no requests.
func TestExplanationSaysWhyACandidateIsExcluded(t *testing.T) {
	closed := candidate("closed", true, 0, 90*ms)
	closed.Available = false
	for name, c := range map[string]struct {
		candidates []Candidate
		bytes      int
		tried      []string
		want       Exclusion
	}{
		"free":                             {[]Candidate{candidate("a", true, 1, 90*ms), candidate("b", true, 1, 90*ms)}, 2000, nil, NotExcluded},
		"closed":                           {[]Candidate{candidate("a", true, 1, 90*ms), closed}, 2000, nil, ExcludedUnavailable},
		"tried":                            {[]Candidate{candidate("a", true, 1, 90*ms), candidate("b", true, 1, 90*ms)}, 2000, []string{"b"}, ExcludedTried},
		"remote, large":                    {[]Candidate{candidate("a", true, 1, 90*ms), candidate("b", false, 1, 90*ms)}, 90_000, nil, ExcludedLarge},
		"remote, full":                     {[]Candidate{candidate("a", true, 1, 90*ms), candidate("b", false, 10, 90*ms)}, 2000, nil, ExcludedFull},
		"remote, full, without a local":    {[]Candidate{closed, candidate("b", false, 10, 90*ms)}, 2000, nil, NotExcluded},
		"remote, large, without one local": {[]Candidate{closed, candidate("b", false, 10, 90*ms)}, 90_000, nil, NotExcluded},
	} {
		e := Explain(c.candidates, PlacementRequest{Bytes: c.bytes, Goal: 300 * ms, Tried: c.tried})
		if got := e.Evaluations[1].Exclusion; got != c.want {
			t.Errorf("%s: excluded as %q, want %q", name, got, c.want)
		}
	}
}
