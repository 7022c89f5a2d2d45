package admission

import (
	"context"
	"sync"
	"time"
)

// Load is the load of the upstream, as it is reported to other daemons.
type Load struct {
	// Running is the number of requests that have a slot, Waiting the number
	// in the queue.
	Running, Waiting, Slots int
	// ServiceTime is the recent mean service time: the time for which a request holds
	// its slot.
	ServiceTime time.Duration
	// Open reports whether new requests are admitted.
	Open bool
}

// Controller is the admission controller of one upstream: it lets goroutines wait on
// a Queue. All methods may be called from any goroutine.
type Controller struct {
	epoch time.Time

	mu    sync.Mutex
	queue *Queue
}

// NewController returns an admission controller that is closed. Its monotonic clock
// counts from epoch.
func NewController(epoch time.Time) *Controller { return &Controller{epoch: epoch, queue: NewQueue()} }

// Slot is the right to run one request. Release returns it.
type Slot struct {
	gate  *Controller
	kind  string
	start time.Duration
}

// Refusal says why a request got no slot.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which the request would be admitted; 0 means
	// unknown.
	RetryAfter time.Duration
}

func (g *Controller) now() time.Duration { return time.Since(g.epoch) }

// Admit waits for a slot until ctx ends or the request can no longer be
// answered in time. It returns either a slot or a refusal; the other is nil.
func (g *Controller) Admit(ctx context.Context, request Request) (*Slot, *Refusal) {
	now := g.now()
	g.mu.Lock()
	ticket, reason, retryAfter := g.queue.Submit(now, request)
	if ticket != nil {
		ticket.ready = make(chan Reason, 1)
	}
	g.mu.Unlock()
	switch {
	case reason != 0:
		return nil, &Refusal{reason, retryAfter}
	case ticket == nil:
		return &Slot{g, request.Kind, now}, nil
	default:
		return g.await(ctx, ticket)
	}
}

// await blocks until the ticket has a slot or is refused.
func (g *Controller) await(ctx context.Context, t *Ticket) (*Slot, *Refusal) {
	timer := time.NewTimer(t.waitUntil() - g.now())
	defer timer.Stop()
	var cause Reason
	select {
	case reason := <-t.ready:
		return g.outcome(t, reason)
	case <-ctx.Done():
		cause = Cancelled
	case <-timer.C:
		cause = TooLate
	}
	g.mu.Lock()
	removed := g.queue.Remove(t)
	g.mu.Unlock()
	if removed {
		return nil, &Refusal{Reason: cause}
	}
	// The ticket has already been taken from the queue, with an outcome.
	slot, refusal := g.outcome(t, <-t.ready)
	if slot != nil && cause == Cancelled {
		slot.releaseUnused()
		return nil, &Refusal{Reason: cause}
	}
	return slot, refusal
}

// outcome returns the slot or the refusal that a reason stands for; reason 0
// means that the ticket has a slot.
func (g *Controller) outcome(t *Ticket, reason Reason) (*Slot, *Refusal) {
	if reason != 0 {
		return nil, &Refusal{Reason: reason}
	}
	return &Slot{g, t.Kind, g.now()}, nil
}

// Release returns the slot after its request has run and records the service
// time.
func (s *Slot) Release() {
	g := s.gate
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	next, late := g.queue.Release(now, s.kind, now-s.start)
	g.notify(next, late)
}

// releaseUnused returns a slot whose request did not run; it records no service
// time.
func (s *Slot) releaseUnused() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.running--
	g.notify(g.queue.Dispatch(g.now()))
}

// notify wakes the goroutines whose tickets have an outcome. The caller holds
// g.mu.
func (g *Controller) notify(next *Ticket, late []*Ticket) {
	if next != nil {
		next.ready <- 0
	}
	for _, t := range late {
		t.ready <- TooLate
	}
}

// Open admits requests to an upstream with the given number of slots and
// assigns free slots to waiting requests. For limit, see Queue.Open.
func (g *Controller) Open(slots, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Open(slots, limit)
	for {
		next, late := g.queue.Dispatch(g.now())
		g.notify(next, late)
		if next == nil {
			return
		}
	}
}

// Close refuses new requests and those that wait. Running requests continue.
func (g *Controller) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.queue.Close() {
		t.ready <- Closed
	}
}

// Load returns the current load.
func (g *Controller) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots, ServiceTime: q.ServiceTime(), Open: q.open}
}
