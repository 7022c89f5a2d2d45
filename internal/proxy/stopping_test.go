package proxy

import (
	"testing"
	"time"
)

// TestStopPlanAcceptsWhatEndsInTime replays the arrivals of a planned stop.
func TestStopPlanAcceptsWhatEndsInTime(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	plan := &StopPlan{KnownAt: at(2200), EndsAt: at(5700)}
	for _, c := range []struct {
		now, deadline int
		want          bool
	}{
		{0, 2500, true},
		{0, 10000, true},
		{2199, 10000, true},
		{2200, 10000, false},
		{2200, 5700, true},
		{3199, 5699, true},
		{3201, 5701, false},
	} {
		if got := plan.accepts(at(c.now), at(c.deadline)); got != c.want {
			t.Errorf("at %d ms with the deadline at %d ms: %t", c.now, c.deadline, got)
		}
	}
	if !(*StopPlan)(nil).accepts(at(0), at(100000)) {
		t.Error("a daemon that does not stop refuses")
	}
}
