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

// TestStopPlanBeginsWhatIsExpectedToEnd replays requests that get a slot in a planned stop.
func TestStopPlanBeginsWhatIsExpectedToEnd(t *testing.T) {
	began := time.Now()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	plan := &StopPlan{KnownAt: began.Add(ms(2200)), EndsAt: began.Add(ms(5700))}
	for _, c := range []struct {
		now, deadline, needs int
		want                 bool
	}{
		{0, 10000, 5700, true},
		{0, 10000, 5701, false},
		{0, 5700, 9000, true},
		{3000, 10000, 100, true},
		{3000, 10000, 3000, false},
		{5600, 5700, 3000, true},
		{5601, 10000, 100, false},
	} {
		if got := plan.allowsRun(began.Add(ms(c.now)), began.Add(ms(c.deadline)), ms(c.needs)); got != c.want {
			t.Errorf("at %d ms, %d ms long, with the deadline at %d ms: %t", c.now, c.needs, c.deadline, got)
		}
	}
	if !(*StopPlan)(nil).allowsRun(began, began.Add(ms(100000)), ms(100000)) {
		t.Error("a daemon that does not stop refuses")
	}
}
