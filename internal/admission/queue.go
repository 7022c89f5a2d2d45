// Package admission decides which requests are sent to the upstream beside the
// executing daemon. It runs as many concurrently as the upstream has slots, queues
// those that can still be answered within their latency goal, and refuses the
// rest immediately.
//
// Queue makes the decisions and does no I/O. Controller lets goroutines wait on
// it.
package admission

import (
	"math"
	"slices"
	"time"
)

// Reason says why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// Closed: the upstream accepts no new requests.
	Closed Reason = iota + 1
	// Full: the request would wait longer than its goal allows, the queue has
	// reached its limit, or all slots are taken and the request must not wait.
	Full
	// TooLate: the deadline has passed, or the request got no slot within the
	// time for which it may wait.
	TooLate
	// Cancelled: the context of the request ended while it waited.
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

// Request describes one request that needs a slot. All times are on the same
// monotonic clock.
type Request struct {
	// Kind groups requests with similar service times. It is the route's name.
	Kind string
	// Nested marks a request that a running request waits for. It is served
	// before all others, because refusing it wastes the work already done for
	// its parent.
	Nested bool
	// CustomerPriority and then Priority order the other requests; 0 is served first.
	CustomerPriority int
	Priority         int
	// Goal is the latency goal: an answer by then has its full value. After
	// Deadline an answer has none.
	Goal     time.Duration
	Deadline time.Duration
	// PastGoal marks a request past its goal. It waits behind the others of its
	// priorities, and for at most pastGoalMaxWait.
	PastGoal bool
	// Spillover marks a request from another data centre that has upstreams of
	// its own. It gets a free slot or is refused: where all slots are busy,
	// moving a request is no faster and costs the network round trip.
	Spillover bool
}

const (
	// pastGoalMaxWait is the longest wait of a request past its goal.
	pastGoalMaxWait = 60 * time.Millisecond
	// maxNeedsShare caps the estimated service time of a request as a share of
	// the time left to its goal, so that requests may still wait for a slow
	// upstream.
	maxNeedsShare = 0.75
)

// Ticket is a request that waits in a queue.
type Ticket struct {
	Request
	// order is the number of requests that were queued before this one.
	order uint64
	// latestStart is the time until which the request may wait for a slot.
	latestStart time.Duration
	// ready receives 0 when the ticket gets a slot, else the reason of its
	// refusal.
	ready chan Reason
}

// Queue holds the slots of one upstream and the requests that wait for them. It
// is not safe for concurrent use.
type Queue struct {
	slots int
	// limit is the largest number of waiting requests; 0 means no limit.
	limit   int
	running int
	open    bool
	// rate limits how often requests start.
	rate rateLimit
	// waiting is in the order of service.
	waiting []*Ticket
	// order is the number of requests that were queued so far.
	order uint64
	// serviceTime averages the service times of all requests, kinds those of
	// each kind of request.
	serviceTime movingAverage
	kinds       map[string]*movingAverage
	// runningKinds is the number of running requests of each kind that runs.
	runningKinds map[string]int
}

// NewQueue returns a queue that is closed.
func NewQueue() *Queue {
	return &Queue{kinds: map[string]*movingAverage{}, runningKinds: map[string]int{}}
}

// Submit requests a slot. With reason 0 and no ticket the request starts
// immediately; with a ticket it waits. Otherwise it is refused, and the duration
// is the estimated time after which it would be admitted, or 0 if that is unknown.
func (q *Queue) Submit(now time.Duration, request Request) (*Ticket, Reason, time.Duration) {
	if !q.open {
		return nil, Closed, 0
	}
	needs := q.needs(request.Kind)
	if now >= request.Deadline {
		return nil, TooLate, 0
	}
	if q.running < q.slots && len(q.waiting) == 0 && q.rate.take(now) {
		q.start(request.Kind)
		return nil, 0, 0
	}
	if request.Spillover || q.limit > 0 && len(q.waiting) >= q.limit {
		return nil, Full, 0
	}
	ticket := &Ticket{Request: request, order: q.order, latestStart: request.latestStart(now, needs)}
	position := q.position(ticket)
	if start := now + q.wait(now, position); start > ticket.latestStart {
		return nil, Full, start - ticket.latestStart
	}
	q.order++
	q.waiting = slices.Insert(q.waiting, position, ticket)
	return ticket, 0, 0
}

// limit returns the time by which the request must be answered for waiting to
// be worthwhile. A nested request, too, must meet its goal: while it waits, its
// parent holds a slot that others need.
func (r *Request) limit() time.Duration {
	if r.PastGoal {
		return r.Deadline
	}
	return min(r.Goal, r.Deadline)
}

// latestStart returns the time until which the request may wait for a slot, given the
// upper estimate of its service time. One that starts later would probably be answered
// late, in a slot that could serve another one in time.
func (r *Request) latestStart(now, needs time.Duration) time.Duration {
	limit := r.limit()
	if r.PastGoal {
		return min(limit-needs, now+pastGoalMaxWait)
	}
	return limit - min(needs, time.Duration(maxNeedsShare*float64(limit-now)))
}

// before reports whether t is served before other.
func (t *Ticket) before(other *Ticket) bool {
	if t.Nested != other.Nested {
		return t.Nested
	}
	if t.CustomerPriority != other.CustomerPriority {
		return t.CustomerPriority < other.CustomerPriority
	}
	if t.Priority != other.Priority {
		return t.Priority < other.Priority
	}
	if t.PastGoal != other.PastGoal {
		return other.PastGoal
	}
	return t.order < other.order
}

// position returns the index in q.waiting at which t is to be inserted.
func (q *Queue) position(t *Ticket) int {
	for i, other := range q.waiting {
		if t.before(other) {
			return i
		}
	}
	return len(q.waiting)
}

// start gives a slot to a request, and stop takes it back.
func (q *Queue) start(kind string) {
	q.running++
	q.runningKinds[kind]++
}

func (q *Queue) stop(kind string) {
	q.running--
	if q.runningKinds[kind]--; q.runningKinds[kind] <= 0 {
		delete(q.runningKinds, kind)
	}
}

// wait estimates how long a request at a position of the queue waits for a slot and
// for the rate to allow its start. Those ahead of it count with the service times of
// their kinds: a queue holds mostly requests that take long, while most requests that
// run may be short ones.
func (q *Queue) wait(now time.Duration, position int) time.Duration {
	forSlot := q.untilRelease()
	for _, ahead := range q.waiting[:position] {
		forSlot += q.meanOf(ahead.Kind) / time.Duration(max(q.slots, 1))
	}
	return max(forSlot, q.rate.wait(now, position+1))
}

// untilRelease returns the expected time until one of the running requests ends.
func (q *Queue) untilRelease() time.Duration {
	perSecond := 0.0
	for kind, count := range q.runningKinds {
		perSecond += float64(count) / q.meanOf(kind).Seconds()
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// SetRate limits how many requests start in a second, or ends the limit.
func (q *Queue) SetRate(now time.Duration, limited bool, perSecond float64) {
	q.rate.set(now, limited, perSecond)
}

// DispatchAfter returns the time after which Dispatch may start a waiting request
// although no slot was released since: when the rate allows it. It returns 0 if there
// is none to wait for.
func (q *Queue) DispatchAfter(now time.Duration) time.Duration {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return 0
	}
	return q.rate.wait(now, 1)
}

// UsableSlots returns the number of slots that the upstream can keep busy: all, or as
// many as its rate of requests fills.
func (q *Queue) UsableSlots() int {
	if !q.rate.limited {
		return q.slots
	}
	filled := math.Ceil(q.rate.perSecond * q.ServiceTime().Seconds())
	return min(q.slots, max(int(filled), 1))
}

// ServiceTime returns the recent mean service time of all requests, or
// defaultServiceTime before the first one has ended.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime.get() }

// average returns the average service time of a kind of request. A kind without samples
// gets that of all requests.
func (q *Queue) average(kind string) *movingAverage {
	if known := q.kinds[kind]; known != nil {
		return known
	}
	return &q.serviceTime
}

// meanOf returns the mean service time of a kind of request.
func (q *Queue) meanOf(kind string) time.Duration { return q.average(kind).get() }

// needs returns the upper estimate of the service time of a kind of request.
func (q *Queue) needs(kind string) time.Duration { return q.average(kind).upper() }

// Release frees the slot of a request and records the time for which the
// request held it. It then assigns the slot as Dispatch does, and returns what
// Dispatch returns. The time of a failed request counts only if it exceeds the mean:
// an upstream that fails quickly is not a fast one.
func (q *Queue) Release(now time.Duration, kind string, held time.Duration, failed bool) (next *Ticket, late []*Ticket) {
	q.stop(kind)
	if failed && held < q.ServiceTime() {
		return q.Dispatch(now)
	}
	q.serviceTime.add(held)
	if q.kinds[kind] == nil {
		q.kinds[kind] = &movingAverage{}
	}
	q.kinds[kind].add(held)
	return q.Dispatch(now)
}

// Dispatch assigns a free slot, if there is one, to the first ticket that may
// still wait, and returns that ticket as next. The tickets before it, which have
// waited too long, are removed from the queue and returned as late.
func (q *Queue) Dispatch(now time.Duration) (next *Ticket, late []*Ticket) {
	for len(q.waiting) > 0 && q.running < q.slots {
		t := q.waiting[0]
		if now >= t.latestStart {
			q.waiting = q.waiting[1:]
			late = append(late, t)
			continue
		}
		if !q.rate.take(now) {
			return nil, late
		}
		q.waiting = q.waiting[1:]
		q.start(t.Kind)
		return t, late
	}
	return nil, late
}

// Remove removes a ticket from the queue and reports whether it was still there.
func (q *Queue) Remove(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Open makes the queue accept requests for an upstream with the given number of
// slots. A limit above 0 bounds the number of waiting requests.
func (q *Queue) Open(slots, limit int) {
	q.open = true
	q.slots = slots
	q.limit = limit
}

// Close makes the queue refuse new requests and returns the tickets that
// waited. Requests with a slot are not affected.
func (q *Queue) Close() []*Ticket {
	q.open = false
	waiting := q.waiting
	q.waiting = nil
	return waiting
}
