package admission

import (
	"context"
	"sync"
	"time"
)

// Load is a snapshot of the upstream's load.
type Load struct {
	// Running is the number of requests that have a slot, Waiting the number in
	// the queue, and Slots the number of slots that the upstream can keep busy: those
	// set by Controller.Open, or fewer while its rate is limited.
	Running, Waiting, Slots int
	// ServiceTime is the recent mean service time: the time for which a request
	// holds its slot.
	ServiceTime time.Duration
	// Open reports whether new requests are admitted.
	Open bool
	// RateLimited is set while the rate of requests is limited.
	RateLimited bool
}

// Controller admits requests to one upstream: it lets goroutines wait on a
// Queue. All methods may be called from any goroutine.
type Controller struct {
	// epoch is the zero of the monotonic clock of the queue.
	epoch time.Time

	mu    sync.Mutex
	queue *Queue
	// nextDispatch starts waiting requests when the rate allows it; nil if none waits
	// for that.
	nextDispatch *time.Timer
}

// NewController returns an admission controller that is closed. Its monotonic
// clock counts from epoch.
func NewController(epoch time.Time) *Controller { return &Controller{epoch: epoch, queue: NewQueue()} }

// Slot is the right to run one request. Release frees it.
type Slot struct {
	controller *Controller
	kind       string
	start      time.Duration
}

// Refusal says why a request got no slot.
type Refusal struct {
	Reason Reason
	// RetryAfter is the estimated time after which the request would be
	// admitted; 0 means unknown.
	RetryAfter time.Duration
}

func (c *Controller) now() time.Duration { return time.Since(c.epoch) }

// Admit waits for a slot until ctx ends or the request can no longer be
// answered in time. It returns either a slot or a refusal; the other is nil.
func (c *Controller) Admit(ctx context.Context, request Request) (*Slot, *Refusal) {
	now := c.now()
	c.mu.Lock()
	ticket, reason, retryAfter := c.queue.Submit(now, request)
	if ticket != nil {
		ticket.ready = make(chan Reason, 1)
		c.scheduleDispatch()
	}
	c.mu.Unlock()
	switch {
	case reason != 0:
		return nil, &Refusal{reason, retryAfter}
	case ticket == nil:
		return &Slot{c, request.Kind, now}, nil
	default:
		return c.await(ctx, ticket)
	}
}

// await blocks until the ticket has a slot or is refused, ctx ends, or the time
// for which the ticket may wait is over.
func (c *Controller) await(ctx context.Context, t *Ticket) (*Slot, *Refusal) {
	timer := time.NewTimer(t.latestStart - c.now())
	defer timer.Stop()
	var cause Reason
	select {
	case reason := <-t.ready:
		return c.outcome(t, reason)
	case <-ctx.Done():
		cause = Cancelled
	case <-timer.C:
		cause = TooLate
	}
	c.mu.Lock()
	removed := c.queue.Remove(t)
	c.mu.Unlock()
	if removed {
		return nil, &Refusal{Reason: cause}
	}
	// The queue has already removed the ticket, and its outcome is or will be in
	// t.ready.
	slot, refusal := c.outcome(t, <-t.ready)
	if slot != nil && cause == Cancelled {
		slot.releaseUnused()
		return nil, &Refusal{Reason: cause}
	}
	return slot, refusal
}

// outcome converts the reason that a ticket received to a slot or a refusal;
// reason 0 means that the ticket has a slot.
func (c *Controller) outcome(t *Ticket, reason Reason) (*Slot, *Refusal) {
	if reason != 0 {
		return nil, &Refusal{Reason: reason}
	}
	return &Slot{c, t.Kind, c.now()}, nil
}

// Release frees the slot after its request has run or failed, and records the
// service time; see Queue.Release.
func (s *Slot) Release(failed bool) {
	c := s.controller
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	next, late := c.queue.Release(now, s.kind, now-s.start, failed)
	c.notify(next, late)
}

// releaseUnused frees a slot whose request did not run; it records no service
// time.
func (s *Slot) releaseUnused() {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.stop(s.kind)
	c.notify(c.queue.Dispatch(c.now()))
}

// notify wakes the goroutines that wait for next, which has a slot and may be
// nil, and for the late tickets, which are refused. The caller holds c.mu.
func (c *Controller) notify(next *Ticket, late []*Ticket) {
	if next != nil {
		next.ready <- 0
	}
	for _, t := range late {
		t.ready <- TooLate
	}
	c.scheduleDispatch()
}

// scheduleDispatch dispatches again when the rate allows the next waiting request to
// start. The caller holds c.mu.
func (c *Controller) scheduleDispatch() {
	after := c.queue.DispatchAfter(c.now())
	if after == 0 || c.nextDispatch != nil {
		return
	}
	c.nextDispatch = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.nextDispatch = nil
		c.dispatchAll()
	})
}

// dispatchAll starts all waiting requests that may start. The caller holds c.mu.
func (c *Controller) dispatchAll() {
	for {
		next, late := c.queue.Dispatch(c.now())
		c.notify(next, late)
		if next == nil {
			return
		}
	}
}

// SetRate limits how many requests start in a second, or ends the limit.
func (c *Controller) SetRate(limited bool, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetRate(c.now(), limited, perSecond)
	c.dispatchAll()
}

// Open admits requests to an upstream with the given number of slots and
// assigns free slots to waiting requests. For limit, see Queue.Open.
func (c *Controller) Open(slots, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Open(slots, limit)
	c.dispatchAll()
}

// Close refuses new requests and those that wait, with reason Closed. Running
// requests continue.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.queue.Close() {
		t.ready <- Closed
	}
}

// Load returns the current load. Slots keeps its value while the controller is
// closed.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.UsableSlots(), ServiceTime: q.ServiceTime(), Open: q.open, RateLimited: q.rate.limited}
}

// Needs returns an upper estimate of the time for which a request of a kind holds its slot: about
// one in ten takes longer.
func (c *Controller) Needs(kind string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.needs(kind)
}
