package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// open returns a queue whose requests of kind "k" take about 100 ms.
func open(slots int) *Queue {
	q := NewQueue()
	q.Open(slots, 0)
	for range 200 {
		q.running++
		q.Release(0, "k", 100*ms)
	}
	return q
}

// fill takes all slots.
func fill(t *testing.T, q *Queue) {
	t.Helper()
	for q.running < q.slots {
		if ticket, reason, _ := q.Offer(0, fresh(0)); ticket != nil || reason != 0 {
			t.Fatalf("no free slot: %v", reason)
		}
	}
}

func fresh(now time.Duration) Ask {
	return Ask{Kind: "k", Priority: 2, Goal: now + 300*ms, Deadline: now + time.Second}
}

func late(now time.Duration) Ask {
	return Ask{Kind: "k", Priority: 2, Goal: now, Deadline: now + 500*ms, Patient: true}
}

func TestClosedQueueTakesNothing(t *testing.T) {
	q := NewQueue()
	if _, reason, _ := q.Offer(0, fresh(0)); reason != Closed {
		t.Errorf("reason %v", reason)
	}
	q.Open(1, 0)
	fill(t, q)
	ticket, _, _ := q.Offer(0, fresh(0))
	if waiting := q.Close(); len(waiting) != 1 || waiting[0] != ticket {
		t.Errorf("closing returned %d tickets", len(waiting))
	}
}

func TestOrderOfTheQueue(t *testing.T) {
	q := open(10)
	fill(t, q)
	asks := []Ask{late(0), fresh(0), {Kind: "k", Priority: 1, Goal: 300 * ms, Deadline: time.Second},
		{Kind: "k", Nested: true, Priority: 2, Goal: 300 * ms, Deadline: time.Second}}
	tickets := make([]*Ticket, len(asks))
	for i, ask := range asks {
		ticket, reason, _ := q.Offer(0, ask)
		if ticket == nil {
			t.Fatalf("ask %d: %v", i, reason)
		}
		tickets[i] = ticket
	}
	for _, want := range []int{3, 2, 1, 0} {
		next, _ := q.Release(10*ms, "k", 100*ms)
		if next != tickets[want] {
			t.Errorf("ask %d is not next", want)
		}
	}
}

// TestWhatCannotMeetItsGoalIsRefusedAtOnce covers a burst: the queue takes as
// many as can be answered in time and names a pause to the others.
func TestWhatCannotMeetItsGoalIsRefusedAtOnce(t *testing.T) {
	q := open(10)
	fill(t, q)
	taken := 0
	for range 100 {
		ticket, reason, retry := q.Offer(0, fresh(0))
		if ticket != nil {
			taken++
			continue
		}
		if reason != Full || retry <= 0 {
			t.Fatalf("refused as %v with a pause of %s", reason, retry)
		}
	}
	// 10 slots give one every 10 ms; 200 ms may pass before a run of 100 ms.
	if taken < 10 || taken > 20 {
		t.Errorf("%d requests wait", taken)
	}
}

func TestVisitingRequestsTakeFreeSlotsOnly(t *testing.T) {
	q := open(1)
	ask := fresh(0)
	ask.Visiting = true
	if ticket, reason, _ := q.Offer(0, ask); ticket != nil || reason != 0 {
		t.Fatalf("free slot not given: %v", reason)
	}
	if ticket, reason, _ := q.Offer(0, ask); ticket != nil || reason != Full {
		t.Errorf("queued: %v", reason)
	}
}

// TestSlowUpstreamStillLetsWait covers a cold or slow upstream, where a run
// takes most of the time to the goal: refusing all that would have to wait
// would leave its slots empty.
func TestSlowUpstreamStillLetsWait(t *testing.T) {
	q := NewQueue()
	q.Open(10, 0)
	for i := range 200 {
		q.running++
		q.Release(0, "k", time.Duration(100+i%2*400)*ms)
	}
	fill(t, q)
	if ticket, reason, _ := q.Offer(0, fresh(0)); ticket == nil {
		t.Errorf("refused: %v", reason)
	}
}

func TestExpiredTicketsAreLeftOut(t *testing.T) {
	q := open(1)
	fill(t, q)
	stale, _, _ := q.Offer(0, fresh(0))
	next, late := q.Release(400*ms, "k", 100*ms)
	if next != nil || len(late) != 1 || late[0] != stale {
		t.Errorf("next %v, %d late", next, len(late))
	}
	if q.running != 0 {
		t.Errorf("%d running", q.running)
	}
}

// replay plays arrivals against a queue: each request runs for 100 ms, and one
// that is refused comes back twice, 250 ms later, as callers do. It returns how
// many were answered within their goal and how many late.
func replay(q *Queue, arrivals int, gap time.Duration, ask func(now, first time.Duration) Ask) (inTime, tooLate int) {
	type request struct {
		first time.Duration
		tries int
	}
	const run, back, step, tries = 100 * ms, 250 * ms, ms, 3
	random := rand.New(rand.NewPCG(5, 6))
	jitter := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	coming := map[time.Duration][]request{}
	for i := range arrivals {
		at := (time.Duration(i)*gap + jitter(20*ms)).Truncate(step)
		coming[at] = append(coming[at], request{first: at})
	}
	ends := map[time.Duration]int{}
	waiting := map[*Ticket]request{}
	start := func(now time.Duration, r request) {
		ends[now+run]++
		if now+run-r.first <= 300*ms {
			inTime++
		} else {
			tooLate++
		}
	}
	horizon := time.Duration(arrivals)*gap + 3*time.Second
	for now := time.Duration(0); now < horizon; now += step {
		for range ends[now] {
			next, _ := q.Release(now, "k", run)
			if next != nil {
				start(now, waiting[next])
			}
		}
		for _, r := range coming[now] {
			ticket, reason, _ := q.Offer(now, ask(now, r.first))
			switch {
			case ticket != nil:
				waiting[ticket] = r
			case reason == 0:
				start(now, r)
			case r.tries+1 < tries:
				again := now + (back + jitter(50*ms)).Truncate(step)
				coming[again] = append(coming[again], request{r.first, r.tries + 1})
			}
		}
	}
	return inTime, tooLate
}

// TestOverloadIsSpentOnWhatIsInTime replays twice the load that the slots can
// carry, with callers that come back. Work that can be in time goes first, so
// that nearly all that is run is in time; a queue that takes every return for a
// new request runs late work instead.
func TestOverloadIsSpentOnWhatIsInTime(t *testing.T) {
	const arrivals, gap = 2000, 5 * ms // 200 a second for 10 slots of 100 ms
	inTime, tooLate := replay(open(10), arrivals, gap, func(now, first time.Duration) Ask {
		ask := Ask{Kind: "k", Priority: 2, Goal: first + 300*ms, Deadline: first + 2*time.Second}
		ask.Patient = now >= ask.Goal
		return ask
	})
	naive, naiveLate := replay(open(10), arrivals, gap, func(now, first time.Duration) Ask {
		return Ask{Kind: "k", Priority: 2, Goal: now + 300*ms, Deadline: first + 2*time.Second}
	})
	t.Logf("in time %d, late %d; returns taken for new: in time %d, late %d", inTime, tooLate, naive, naiveLate)
	if capacity := 1000; inTime < capacity*9/10 {
		t.Errorf("%d of %d in time", inTime, capacity)
	}
	if naive >= inTime {
		t.Errorf("the naive queue does as well: %d", naive)
	}
}

// TestNestedRequestsDoNotWaitPastTheirGoal covers a service under load whose
// own callers hold slots of another one while they wait.
func TestNestedRequestsDoNotWaitPastTheirGoal(t *testing.T) {
	q := open(10)
	fill(t, q)
	ask := Ask{Kind: "k", Nested: true, Goal: 120 * ms, Deadline: 250 * ms}
	taken := 0
	for range 100 {
		if ticket, _, _ := q.Offer(0, ask); ticket != nil {
			taken++
		}
	}
	// 10 slots give one every 10 ms; a run may take 90 ms of the 120.
	if taken < 1 || taken > 5 {
		t.Errorf("%d requests wait", taken)
	}
}

// TestQueueLimitBinds covers a service whose operator allows few to wait.
func TestQueueLimitBinds(t *testing.T) {
	q := NewQueue()
	q.Open(1, 2)
	ask := Ask{Kind: "k", Goal: time.Minute, Deadline: time.Minute}
	for i := range 3 {
		if _, reason, _ := q.Offer(0, ask); reason != 0 {
			t.Errorf("request %d was refused: %s", i, reason)
		}
	}
	if _, reason, _ := q.Offer(0, ask); reason != Full {
		t.Errorf("a third one may wait: %s", reason)
	}
}

// TestRamp covers an upstream that needs ten seconds to get warm.
func TestRamp(t *testing.T) {
	for age, want := range map[time.Duration]int{0: 1, 2 * time.Second: 2, 5 * time.Second: 5, 10 * time.Second: 10, time.Hour: 10} {
		if got := Ramp(10, age, 10*time.Second); got != want {
			t.Errorf("after %s: %d slots, want %d", age, got, want)
		}
	}
	if got := Ramp(10, 0, 0); got != 10 {
		t.Errorf("without a slow start: %d slots", got)
	}
}
