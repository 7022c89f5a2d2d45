package rollout

import (
	"testing"
	"time"
)

// TestHoldAfterAPauseIsNotEndedEarly covers a process that did not run: any call of Refresh
// after the pause, as with each publication, must leave the upstream closed until the hold
// is over. Otherwise it gives its old upstream a request by a phase that the other daemons
// have left.
func TestHoldAfterAPauseIsNotEndedEarly(t *testing.T) {
	for _, c := range []struct{ pause, hold time.Duration }{
		{maxViewAge, 0}, {maxViewAge + 1, shortHold}, {mayBeGoneAfter - 1, shortHold}, {mayBeGoneAfter, longHold}, {8 * time.Second, longHold},
	} {
		const began = 100 * time.Second
		a := NewViewAge(began)
		resumed := began + c.pause
		if got := a.Current(resumed); got != (c.pause <= maxViewAge) {
			t.Errorf("pause of %s: open %t before the first refresh", c.pause, got)
		}
		for now := resumed; now <= resumed+c.hold; now += 10 * time.Millisecond {
			a.Refresh(now)
			if got, want := a.Current(now), now >= resumed+c.hold; got != want {
				t.Fatalf("pause of %s: open %t %s after it", c.pause, got, now-resumed)
			}
		}
	}
}
