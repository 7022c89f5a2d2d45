package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestShortRequestStaysAtSlowLocalUpstream covers a service with one upstream in
// each data centre, of which the local one is half as fast. Its mean service time
// is that of long requests. Short ones that running requests wait for, with a
// tenth of that service time, answer within their goal there, so that sending them
// to a faster data centre would only cost the transfer.
func TestShortRequestStaysAtSlowLocalUpstream(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	slow, fast := candidate("slow", true, 5, 300*ms), candidate("fast", false, 0, 100*ms)
	remote := func(work float64, goal time.Duration, load float64) int {
		slow.Load = load
		sent := 0
		for range 100 {
			if Choose([]Candidate{slow, fast}, PlacementRequest{Bytes: 600, Work: work, Goal: goal, Rand: random.Float64}) == 1 {
				sent++
			}
		}
		return sent
	}
	if n := remote(0.1, 100*ms, 5); n > 0 {
		t.Errorf("%d of 100 short requests left a data centre that answers within the goal", n)
	}
	if n := remote(0.1, 100*ms, 14); n < 90 {
		t.Errorf("%d of 100 short requests left a data centre whose queue makes them late", n)
	}
	if n := remote(1, 400*ms, 5); n < 90 {
		t.Errorf("%d of 100 long requests went to the fast upstream that alone keeps their goal", n)
	}
	if n := remote(1, 600*ms, 5); n > 0 {
		t.Errorf("%d of 100 long requests left although the slow upstream keeps their goal", n)
	}
	if n := remote(1, 0, 5); n < 90 {
		t.Errorf("%d of 100 requests past their goal went to the faster upstream", n)
	}
}

// TestLargeRequestsAvoidBusyLinks covers two local upstreams, one of which has half a
// second of large answers to send. Small requests do not wait behind these.
func TestLargeRequestsAvoidBusyLinks(t *testing.T) {
	random := rand.New(rand.NewPCG(15, 16))
	busy, idle := candidate("busy", true, 2, 90*ms), candidate("idle", true, 4, 90*ms)
	busy.LinkBacklog = 500 * ms
	toBusy := func(bytes int) int {
		sent := 0
		for range 200 {
			if Choose([]Candidate{busy, idle}, PlacementRequest{Bytes: bytes, Goal: 800 * ms, Rand: random.Float64}) == 0 {
				sent++
			}
		}
		return sent
	}
	if n := toBusy(90_000); n > 20 {
		t.Errorf("%d of 200 large requests were sent to the busy link", n)
	}
	if n := toBusy(1_500); n < 100 {
		t.Errorf("%d of 200 small requests were sent to the less loaded upstream", n)
	}
}

// TestLargeRequestsAvoidSlowLinks covers an upstream whose network link needs 720 ms for a
// large request, beside a busier one on a fast link. Small requests do not notice the link,
// and the upstream beside the deciding daemon needs none.
func TestLargeRequestsAvoidSlowLinks(t *testing.T) {
	random := rand.New(rand.NewPCG(19, 20))
	toSlow := func(bytes int, self bool) int {
		slow, fast := candidate("slow", true, 2, 90*ms), candidate("fast", true, 4, 90*ms)
		slow.LinkKbps, fast.LinkKbps, slow.Self = 1000, 100_000, self
		sent := 0
		for range 200 {
			if Choose([]Candidate{slow, fast}, PlacementRequest{Bytes: bytes, Goal: 800 * ms, Rand: random.Float64}) == 0 {
				sent++
			}
		}
		return sent
	}
	if n := toSlow(90_000, false); n > 20 {
		t.Errorf("%d of 200 large requests were sent to the slow link", n)
	}
	if n := toSlow(LargeRequestBytes-1, false); n < 100 {
		t.Errorf("%d of 200 small requests were sent to the less loaded upstream", n)
	}
	if n := toSlow(90_000, true); n < 100 {
		t.Errorf("%d of 200 large requests stayed at the less loaded upstream on the same machine", n)
	}
}

// TestEvenLoadMakesNoRequestLate covers a fast upstream with two slots left and an idle
// one that is five times slower. Requests whose goal only the fast one keeps go there,
// and none leaves the data centre because the slow one would be its choice.
func TestEvenLoadMakesNoRequestLate(t *testing.T) {
	random := rand.New(rand.NewPCG(17, 18))
	fast, slow, remote := candidate("fast", true, 8, 60*ms), candidate("slow", true, 0, 300*ms), candidate("remote", false, 0, 60*ms)
	counts := func(goal time.Duration) map[string]int {
		chosen := map[string]int{}
		candidates := []Candidate{fast, slow, remote}
		for range 500 {
			chosen[candidates[Choose(candidates, PlacementRequest{Bytes: 2000, Goal: goal, Rand: random.Float64})].Instance]++
		}
		return chosen
	}
	// Exploration sends up to 20 of 500 requests to the slow upstream.
	if n := counts(200 * ms); n["slow"] > 30 || n["remote"] > 0 {
		t.Errorf("goal of 200 ms: %v", n)
	}
	if n := counts(400 * ms); n["slow"] < 400 || n["remote"] > 0 {
		t.Errorf("goal of 400 ms: %v", n)
	}
	if n := counts(0); n["remote"] > 0 {
		t.Errorf("past the goal: %v", n)
	}
}
