// Package admission decides beside the upstream which requests it is given: as
// many at once as it has slots, a queue for those that can still be answered
// within their goal, and an immediate refusal for the rest.
//
// Queue holds the decisions and does no I/O; Gate lets goroutines wait on it.
package admission

import (
	"math"
	"slices"
	"time"
)

// Reason is why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// Closed: the upstream takes no new requests.
	Closed Reason = iota + 1
	// Full: the request would wait longer than its goal allows.
	Full
	// TooLate: the request cannot be answered by its deadline.
	TooLate
	// Cancelled: the caller went away while the request waited.
	Cancelled
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	names := [...]string{"admitted", "closed", "full", "too-late", "cancelled"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Ask is one request that wants a slot. Times are on one monotonic clock.
type Ask struct {
	// Kind groups requests that take about the same time: the route's name.
	Kind string
	// Nested is set for a request that a running request waits for. It goes
	// before all others: refusing it would waste the work already done.
	Nested bool
	// Priority ranks the others; 0 goes first.
	Priority int
	// Goal is until when the answer has its full value, Deadline until when it
	// has any.
	Goal     time.Duration
	Deadline time.Duration
	// Patient requests have missed their goal. They wait behind others of
	// their priority, and only for a short while.
	Patient bool
	// Visiting requests come from another data centre that has upstreams of
	// its own. They take a free slot or none: where all are busy, moving a
	// request serves nobody better and costs its way.
	Visiting bool
}

const (
	// defaultHold is the time that a request is taken to hold a slot before
	// any has been seen.
	defaultHold = 100 * time.Millisecond
	// patientWait is how long a request that has missed its goal waits.
	patientWait = 60 * time.Millisecond
	// ampleDeviations is how many mean deviations above its mean a duration is
	// reckoned with: about one in ten is longer.
	ampleDeviations = 1.6
	// needsShare is the largest part of the time to its goal that a request is
	// reckoned to need: at a slow upstream it may still wait a little.
	needsShare = 0.75
	// holdWeight is the weight of a new figure in a mean over recent ones.
	holdWeight = 0.05
)

// Ticket is a request that waits in a queue.
type Ticket struct {
	Ask
	order uint64
	// since is when it began to wait.
	since time.Duration
	ready chan Reason
}

// Queue is the slots of one upstream and the requests that wait for them. It
// is used by one goroutine at a time.
type Queue struct {
	slots int
	// limit is how many tickets may wait; 0 is no limit.
	limit   int
	running int
	open    bool
	waiting []*Ticket
	order   uint64
	hold    mean
	kinds   map[string]*mean
}

// NewQueue returns a queue that is closed.
func NewQueue() *Queue { return &Queue{kinds: map[string]*mean{}} }

// Offer asks for a slot. The request starts at once when the reason is 0 and
// the ticket nil, waits with a ticket, or is refused with a reason and the
// time after which it would be taken.
func (q *Queue) Offer(now time.Duration, ask Ask) (*Ticket, Reason, time.Duration) {
	if !q.open {
		return nil, Closed, 0
	}
	needs := q.needs(ask.Kind)
	if now >= ask.Deadline {
		return nil, TooLate, 0
	}
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		return nil, 0, 0
	}
	if ask.Visiting || q.limit > 0 && len(q.waiting) >= q.limit {
		return nil, Full, 0
	}
	ticket := &Ticket{Ask: ask, order: q.order, since: now}
	position := q.position(ticket)
	start := now + q.wait(position)
	limit := ask.limit()
	if ask.Patient {
		limit = min(limit, now+patientWait+needs)
	} else {
		needs = min(needs, time.Duration(needsShare*float64(limit-now)))
	}
	if start+needs > limit {
		return nil, Full, start + needs - limit
	}
	q.order++
	q.waiting = slices.Insert(q.waiting, position, ticket)
	return ticket, 0, 0
}

// limit is until when the answer must be there for waiting to make sense. That
// of a nested request is its goal as well: while it waits, its parent holds a
// slot that others want.
func (a *Ask) limit() time.Duration {
	if a.Patient {
		return a.Deadline
	}
	return min(a.Goal, a.Deadline)
}

// giveUp is until when a ticket waits for a slot.
func (t *Ticket) giveUp() time.Duration {
	if t.Patient {
		return min(t.since+patientWait, t.Deadline)
	}
	return t.limit()
}

// before tells whether t is served before other.
func (t *Ticket) before(other *Ticket) bool {
	if t.Nested != other.Nested {
		return t.Nested
	}
	if t.Priority != other.Priority {
		return t.Priority < other.Priority
	}
	if t.Patient != other.Patient {
		return other.Patient
	}
	return t.order < other.order
}

func (q *Queue) position(t *Ticket) int {
	for i, other := range q.waiting {
		if t.before(other) {
			return i
		}
	}
	return len(q.waiting)
}

// wait is how long a request at a position of the queue waits for a slot.
func (q *Queue) wait(position int) time.Duration {
	slots := max(q.slots, 1)
	return q.Hold() * time.Duration(position+1) / time.Duration(slots)
}

// Hold is the recent mean time for which a request holds a slot.
func (q *Queue) Hold() time.Duration { return q.hold.get() }

// needs is the time with a slot that a request of a kind is reckoned to need.
func (q *Queue) needs(kind string) time.Duration {
	if known := q.kinds[kind]; known != nil {
		return known.ample()
	}
	return q.hold.ample()
}

// Release gives back a slot that a request of a kind held. It returns the
// ticket that has the slot from now on, if any.
func (q *Queue) Release(now time.Duration, kind string, held time.Duration) (next *Ticket, late []*Ticket) {
	q.running--
	q.hold.add(held)
	if q.kinds[kind] == nil {
		q.kinds[kind] = &mean{}
	}
	q.kinds[kind].add(held)
	return q.Next(now)
}

// Next gives a free slot to the first ticket that can still make it. Tickets
// that cannot are returned as late; they are not in the queue any more.
func (q *Queue) Next(now time.Duration) (next *Ticket, late []*Ticket) {
	for len(q.waiting) > 0 && q.running < q.slots {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now >= t.giveUp() {
			late = append(late, t)
			continue
		}
		q.running++
		return t, late
	}
	return nil, late
}

// Leave takes a ticket out of the queue; false when it is no longer in it.
func (q *Queue) Leave(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Open lets requests in, for an upstream with a number of slots. At most limit
// requests wait, if that is above 0.
func (q *Queue) Open(slots, limit int) {
	q.open = true
	q.slots = slots
	q.limit = limit
}

// Close keeps new requests out and returns the tickets that waited.
func (q *Queue) Close() []*Ticket {
	q.open = false
	waiting := q.waiting
	q.waiting = nil
	return waiting
}

// mean is a mean over recent durations, with their mean deviation from it.
type mean struct {
	value     float64
	deviation float64
	known     bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value = float64(d)
		m.deviation = m.value / 2
		m.known = true
		return
	}
	off := float64(d) - m.value
	m.value += holdWeight * off
	m.deviation += holdWeight * (math.Abs(off) - m.deviation)
}

func (m *mean) get() time.Duration {
	if !m.known {
		return defaultHold
	}
	return time.Duration(m.value)
}

// ample is a duration that few exceed.
func (m *mean) ample() time.Duration {
	if !m.known {
		return defaultHold
	}
	return time.Duration(m.value + ampleDeviations*m.deviation)
}
