package admission

import (
	"testing"
	"time"
)

// startTimes submits a request each interval for length and returns when requests
// started, given that each runs for 100 ms.
func startTimes(q *Queue, from, length, interval time.Duration) []time.Duration {
	var starts []time.Duration
	var ends []time.Duration
	start := func(now time.Duration) {
		starts = append(starts, now)
		ends = append(ends, now+100*ms)
	}
	next := from
	for now := from; now < from+length; now += ms {
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
			if ticket, _ := q.Release(now, "k", 100*ms, false); ticket != nil {
				start(now)
			}
		}
		if after := q.DispatchAfter(now); len(q.waiting) > 0 && after == 0 {
			if ticket, _ := q.Dispatch(now); ticket != nil {
				start(now)
			}
		}
		if now >= next {
			next += interval
			if ticket, reason, _ := q.Submit(now, requestInTime(now)); ticket == nil && reason == 0 {
				start(now)
			}
		}
	}
	return starts
}

// maxIn returns the largest number of starts in a sliding window.
func maxIn(starts []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range starts {
		for starts[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNamedLimitHoldsInEveryWindow covers three times as many requests as an upstream
// takes that has named a limit: it gets about that many, and none too many.
func TestNamedLimitHoldsInEveryWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, limit := range []float64{2, 14.4, 30.5} {
		q := openQueue(9)
		startTimes(q, 0, time.Second, 25*ms)
		q.SetRate(time.Second, true, limit)
		starts := startTimes(q, time.Second, 20*time.Second, time.Duration(float64(time.Second)/(3*limit)))
		wanted := limit * window.Seconds()
		if most := maxIn(starts, window); float64(most) > 1.5*wanted+5 {
			t.Errorf("limit %g: %d requests started in %s", limit, most, window)
		}
		if all := limit * 20; float64(len(starts)) < 0.9*all {
			t.Errorf("limit %g: %d requests started in 20 s, want about %g", limit, len(starts), all)
		}
	}
}

// TestPauseSavesNoMoreThanABurst covers a limited upstream without requests for a
// while: what it did not take then is not made up for.
func TestPauseSavesNoMoreThanABurst(t *testing.T) {
	q := openQueue(9)
	q.SetRate(0, true, 10)
	if starts := startTimes(q, time.Minute, 100*ms, ms); len(starts) > 4 {
		t.Errorf("%d requests started within 100 ms of a pause", len(starts))
	}
}

// TestLimitOfZeroStillShowsItsEnd covers a limit of 0: only an answer can end it.
func TestLimitOfZeroStillShowsItsEnd(t *testing.T) {
	q := openQueue(9)
	q.SetRate(0, true, 0)
	if starts := startTimes(q, 0, 20*time.Second, 100*ms); len(starts) == 0 || maxIn(starts, 4*time.Second) > 5 {
		t.Errorf("%d requests started in 20 s", len(starts))
	}
}

// TestEndOfLimitStartsWaitingRequests covers requests that wait for the rate alone.
func TestEndOfLimitStartsWaitingRequests(t *testing.T) {
	q := openQueue(9)
	q.SetRate(0, true, 20)
	for range 3 {
		q.Submit(0, requestInTime(0))
	}
	if len(q.waiting) != 2 {
		t.Fatalf("%d requests wait, want 2", len(q.waiting))
	}
	q.SetRate(10*ms, false, 0)
	for range 2 {
		if ticket, _ := q.Dispatch(10 * ms); ticket == nil {
			t.Error("a request still waits after the end of the limit")
		}
	}
}

// TestLimitedUpstreamAdvertisesTheSlotsThatItFills covers what other daemons see of an
// upstream that takes 15 requests of 100 ms a second.
func TestLimitedUpstreamAdvertisesTheSlotsThatItFills(t *testing.T) {
	q := openQueue(9)
	q.SetRate(0, true, 15)
	if slots := q.UsableSlots(); slots != 2 {
		t.Errorf("%d usable slots, want 2", slots)
	}
	q.SetRate(0, true, 1000)
	if slots := q.UsableSlots(); slots != 9 {
		t.Errorf("%d usable slots, want all 9", slots)
	}
}
