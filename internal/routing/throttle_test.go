package routing

import (
	"testing"
	"time"
)

// throttled offers calls per second for some seconds to upstreams that accept
// at most capacity of them, and returns what was let through in the last one.
func throttled(t *Throttle, from, seconds, offered, capacity int) (passed int) {
	random := uint64(1)
	for second := range seconds {
		passed = 0
		accepted := 0
		for i := range offered {
			now := time.Duration(from+second)*time.Second + time.Duration(i)*time.Second/time.Duration(offered)
			random = random*6364136223846793005 + 1442695040888963407
			if t.Refuses(now, random) {
				continue
			}
			passed++
			if accepted < capacity*(i+1)/offered {
				accepted++
				t.Accepted(now)
			}
		}
	}
	return passed
}

func TestThrottleLetsThroughAMultipleOfWhatIsAccepted(t *testing.T) {
	throttle := &Throttle{}
	if passed := throttled(throttle, 0, 5, 1000, 1000); passed != 1000 {
		t.Errorf("no overload: %d of 1000 passed", passed)
	}
	passed := throttled(throttle, 5, 5, 4000, 1000)
	if passed < 1200 || passed > 2200 {
		t.Errorf("overload: %d of 4000 passed for 1000 accepted", passed)
	}
	if passed := throttled(throttle, 10, 5, 1000, 1000); passed != 1000 {
		t.Errorf("after the overload: %d of 1000 passed", passed)
	}
}

func TestThrottleNeverShutsOutAFewCalls(t *testing.T) {
	throttle := &Throttle{}
	for second := range 10 {
		if passed := throttled(throttle, 10*second, 1, throttleSlack, 0); passed != throttleSlack {
			t.Errorf("%d of %d passed", passed, throttleSlack)
		}
	}
}
