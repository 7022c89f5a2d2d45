package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// replayResult holds the sums of a replay.
type replayResult struct {
	requests, refused, offersRefused, inGoal, remote int
	waited                                           time.Duration
	// busiest is the sum over windows of the ratio of the busiest upstream to the
	// mean by slots, queued requests included.
	busiest float64
	windows int
	// served is the ratio of the upstream that served most by its capacity to the
	// mean over the whole replay.
	served float64
}

// String returns the figures of the replay.
func (r replayResult) String() string {
	n := float64(r.requests)
	return fmt.Sprintf("wait %5.1f ms, refused %.4f, offers refused %.4f, in goal %.4f, remote %.3f, busiest %.2f, served %.2f",
		r.waited.Seconds()*1000/n, float64(r.refused)/n, float64(r.offersRefused)/n, float64(r.inGoal)/n, float64(r.remote)/n,
		r.busiest/float64(r.windows), r.served)
}

func (r *replayResult) add(other replayResult) {
	r.requests += other.requests
	r.refused += other.refused
	r.offersRefused += other.offersRefused
	r.inGoal += other.inGoal
	r.remote += other.remote
	r.waited += other.waited
	r.busiest += other.busiest
	r.windows += other.windows
	r.served += other.served / replaySeeds
}

// bounds are limits of the figures of a service's replays.
type bounds struct {
	service
	// refused is the largest share of requests that are refused, inGoal the smallest
	// that are answered within their goal.
	refused, inGoal float64
	// wait is the longest mean wait for a slot, busiest the largest ratio of the
	// busiest upstream to the mean.
	wait    time.Duration
	busiest float64
}

// TestLoadOfReplays guards against daemons that fill some upstreams while others of
// the service are idle, because they all choose by reports that are up to seconds old.
// With peaks, the load exceeds the capacity by a sixth for some seconds.
func TestLoadOfReplays(t *testing.T) {
	unequal := []float64{0.7, 0.7, 1.7}
	const moderate, peaks = 0.5, 0.75
	for _, b := range []bounds{
		{service{3, 3, nil, 600 * ms, moderate}, 0.01, 0.92, 70 * ms, 1.5},
		{service{3, 3, nil, 600 * ms, peaks}, 0.07, 0.85, 140 * ms, 1.4},
		{service{17, 3, nil, 600 * ms, moderate}, 0.001, 0.93, 20 * ms, 1.7},
		{service{17, 3, nil, 600 * ms, peaks}, 0.04, 0.88, 150 * ms, 1.5},
		{service{17, 3, unequal, 600 * ms, moderate}, 0.001, 0.89, 40 * ms, 1.6},
		{service{17, 3, unequal, 600 * ms, peaks}, 0.06, 0.84, 120 * ms, 1.5},
		{service{33, 4, nil, 600 * ms, moderate}, 0.001, 0.93, 15 * ms, 1.8},
		{service{33, 4, nil, 600 * ms, peaks}, 0.03, 0.89, 150 * ms, 1.6},
		{service{60, 4, nil, 600 * ms, moderate}, 0.001, 0.93, 15 * ms, 2.2},
		{service{60, 4, nil, 600 * ms, peaks}, 0.025, 0.9, 140 * ms, 1.7},
		{service{60, 4, unequal, 600 * ms, moderate}, 0.001, 0.93, 15 * ms, 2.6},
		{service{60, 4, unequal, 600 * ms, peaks}, 0.025, 0.9, 130 * ms, 1.9},
	} {
		t.Run(fmt.Sprintf("%d upstreams, speeds %v, load %.2f", b.upstreams, b.speeds, b.load), func(t *testing.T) {
			t.Parallel()
			var sum replayResult
			for seed := range uint64(replaySeeds) {
				sum.add(play(b.service, seed))
			}
			t.Log(sum)
			b.check(t, sum)
		})
	}
}

// check reports figures that exceed the bounds.
func (b *bounds) check(t *testing.T, r replayResult) {
	t.Helper()
	n := float64(r.requests)
	if share := float64(r.refused) / n; share > b.refused {
		t.Errorf("refused %.4f, bound %.4f", share, b.refused)
	}
	if share := float64(r.inGoal) / n; share < b.inGoal {
		t.Errorf("in goal %.4f, bound %.4f", share, b.inGoal)
	}
	if wait := time.Duration(float64(r.waited) / n); wait > b.wait {
		t.Errorf("wait %s, bound %s", wait, b.wait)
	}
	if ratio := r.busiest / float64(r.windows); ratio > b.busiest {
		t.Errorf("busiest %.2f, bound %.2f", ratio, b.busiest)
	}
}

// BenchmarkChoose measures one decision among 18 local and 8 remote upstreams.
func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(21, 22))
	var candidates []Candidate
	for i := range 26 {
		c := candidate(fmt.Sprint(i), i < 18, 0, 90*ms)
		c.OtherLoad, c.ReportAge = float64(i%7), time.Duration(i)*100*ms
		candidates = append(candidates, c)
	}
	for b.Loop() {
		EstimateLoads(candidates)
		Choose(candidates, PlacementRequest{Bytes: 2000, Goal: 300 * ms, Rand: random.Float64})
	}
}
