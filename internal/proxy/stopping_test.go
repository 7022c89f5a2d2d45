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
		// caller and peer are whether requests of each are accepted.
		caller, peer bool
	}{
		{0, 2500, true, true},
		{0, 5701, true, false},
		{0, 10000, true, false},
		{2199, 10000, true, false},
		{2200, 10000, false, false},
		{2200, 5700, true, true},
		{3199, 5699, true, true},
		{3201, 5701, false, false},
	} {
		if got := plan.accepts(at(c.now), at(c.deadline)); got != c.caller {
			t.Errorf("a caller's at %d ms with the deadline at %d ms: %t", c.now, c.deadline, got)
		}
		if got := plan.acceptsFromPeer(at(c.deadline)); got != c.peer {
			t.Errorf("a peer's with the deadline at %d ms: %t", c.deadline, got)
		}
	}
	none := (*StopPlan)(nil)
	if !none.accepts(at(0), at(100000)) || !none.acceptsFromPeer(at(100000)) {
		t.Error("a daemon that does not stop refuses")
	}
}
