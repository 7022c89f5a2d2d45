package admission

import (
	"context"
	"sync"
	"time"
)

// Load is what the gate tells others of the upstream.
type Load struct {
	Running, Waiting, Slots int
	// Hold is the mean time for which a request holds a slot.
	Hold time.Duration
	Open bool
}

// Gate lets goroutines wait on a Queue. All methods may be called from any
// goroutine.
type Gate struct {
	epoch time.Time

	mu    sync.Mutex
	queue *Queue
}

// NewGate returns a gate that is closed; epoch is the zero of its clock.
func NewGate(epoch time.Time) *Gate { return &Gate{epoch: epoch, queue: NewQueue()} }

// Slot is the right to run one request; Release gives it back.
type Slot struct {
	gate  *Gate
	kind  string
	start time.Duration
}

// Refusal is why a request got no slot.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the request would be taken; 0 is unknown.
	RetryAfter time.Duration
}

func (g *Gate) now() time.Duration { return time.Since(g.epoch) }

// Admit waits for a slot until ctx ends or waiting makes no sense any more.
// Either the slot or the refusal is set.
func (g *Gate) Admit(ctx context.Context, ask Ask) (*Slot, *Refusal) {
	now := g.now()
	g.mu.Lock()
	ticket, reason, retry := g.queue.Offer(now, ask)
	if ticket != nil {
		ticket.ready = make(chan Reason, 1)
	}
	g.mu.Unlock()
	switch {
	case reason != 0:
		return nil, &Refusal{reason, retry}
	case ticket == nil:
		return &Slot{g, ask.Kind, now}, nil
	default:
		return g.await(ctx, ticket)
	}
}

// await blocks until the ticket has a slot or is refused.
func (g *Gate) await(ctx context.Context, t *Ticket) (*Slot, *Refusal) {
	timer := time.NewTimer(t.giveUp() - g.now())
	defer timer.Stop()
	var why Reason
	select {
	case reason := <-t.ready:
		return g.outcome(t, reason)
	case <-ctx.Done():
		why = Cancelled
	case <-timer.C:
		why = TooLate
	}
	g.mu.Lock()
	left := g.queue.Leave(t)
	g.mu.Unlock()
	if left {
		return nil, &Refusal{Reason: why}
	}
	slot, refusal := g.outcome(t, <-t.ready)
	if slot != nil && why == Cancelled {
		slot.giveBack()
		return nil, &Refusal{Reason: why}
	}
	return slot, refusal
}

func (g *Gate) outcome(t *Ticket, reason Reason) (*Slot, *Refusal) {
	if reason != 0 {
		return nil, &Refusal{Reason: reason}
	}
	return &Slot{g, t.Kind, g.now()}, nil
}

// Release frees the slot after a request that ran.
func (s *Slot) Release() {
	g := s.gate
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	next, late := g.queue.Release(now, s.kind, now-s.start)
	g.tell(next, late)
}

// giveBack frees a slot that was not used.
func (s *Slot) giveBack() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.running--
	g.tell(g.queue.Next(g.now()))
}

// tell wakes the tickets that have an outcome; the lock is held.
func (g *Gate) tell(next *Ticket, late []*Ticket) {
	if next != nil {
		next.ready <- 0
	}
	for _, t := range late {
		t.ready <- TooLate
	}
}

// Open lets requests in, for an upstream with a number of slots; see Queue.Open.
func (g *Gate) Open(slots, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Open(slots, limit)
	for {
		next, late := g.queue.Next(g.now())
		g.tell(next, late)
		if next == nil {
			return
		}
	}
}

// Close keeps new requests out and refuses those that wait. Running ones go
// on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.queue.Close() {
		t.ready <- Closed
	}
}

// Load returns the state of the gate.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots, Hold: q.Hold(), Open: q.open}
}
