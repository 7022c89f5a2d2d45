package routing

import (
	"testing"
	"time"
)

// TestRTTEstimateFollowsSaturatedLink covers a machine that gets 50 requests a
// second and whose network link is saturated by large answers for half a second.
func TestRTTEstimateFollowsSaturatedLink(t *testing.T) {
	var estimator RTTEstimator
	now := time.Duration(0)
	observe := func(rtt time.Duration, samples int) {
		for range samples {
			now += 20 * ms
			estimator.Observe(now, rtt)
		}
	}
	observe(5*ms, 100)
	if got := estimator.Estimate(now); got > 6*ms {
		t.Errorf("idle link: RTT %s", got)
	}
	observe(300*ms, 25)
	if got := estimator.Estimate(now); got < 200*ms {
		t.Errorf("saturated link: RTT %s", got)
	}
	observe(5*ms, 50)
	if got := estimator.Estimate(now); got > 30*ms {
		t.Errorf("link idle again: RTT %s", got)
	}
	observe(300*ms, 25)
	if got := estimator.Estimate(now + 2*time.Second); got > ms {
		t.Errorf("two seconds after the last sample: RTT %s", got)
	}
}
