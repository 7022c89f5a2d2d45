// Package admission decides beside the upstream which requests it is given: as
// many at once as it has slots, a short bounded queue for the rest, and an
// early refusal for what the queue cannot serve in time.
package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Refusal is why a request was not admitted.
type Refusal uint8

// The refusals.
const (
	// Full: all slots are busy and the queue is full.
	Full Refusal = iota + 1
	// TooLate: the request cannot be answered by its deadline.
	TooLate
	// Draining: no new requests are taken.
	Draining
	// Cancelled: the caller went away while the request waited.
	Cancelled
)

// Error implements error.
func (r Refusal) Error() string {
	names := [...]string{"admitted", "full", "too-late", "draining", "cancelled"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Config is the size of a gate.
type Config struct {
	// Slots is how many requests run at once.
	Slots int
	// QueueLimit is how many may wait for a slot.
	QueueLimit int
}

// Validate reports the first value that is out of range.
func (c Config) Validate() error {
	if c.Slots < 1 {
		return fmt.Errorf("admission: %d slots", c.Slots)
	}
	if c.QueueLimit < 0 {
		return fmt.Errorf("admission: queue limit %d", c.QueueLimit)
	}
	return nil
}

// waiting is added to the gate's count for each request in the queue; the
// lower half counts the running ones.
const waiting = uint64(1) << 32

// Gate admits requests. A request that finds a free slot takes no lock. All
// methods may be called from any goroutine.
type Gate struct {
	// count holds waiting and running requests in one word, so that a request
	// that finds no slot and one that frees a slot cannot miss each other.
	count    atomic.Uint64
	slots    atomic.Int64
	limit    atomic.Int64
	draining atomic.Bool
	service  serviceTime

	mu    sync.Mutex
	queue []*waiter
}

// waiter is one request in the queue.
type waiter struct {
	ready    chan Refusal
	deadline time.Time
}

// admitted is sent to a waiter that has a slot.
const admitted Refusal = 0

// NewGate returns a gate of the given size.
func NewGate(cfg Config) *Gate {
	g := &Gate{}
	g.Resize(cfg)
	return g
}

// Resize changes the size; what runs or waits stays.
func (g *Gate) Resize(cfg Config) {
	g.slots.Store(int64(cfg.Slots))
	g.limit.Store(int64(cfg.QueueLimit))
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.queue) > 0 && g.takeFreed() {
		g.handOver()
	}
}

// Running returns how many requests have a slot.
func (g *Gate) Running() int { return int(g.count.Load() % waiting) }

// Waiting returns how many requests are in the queue.
func (g *Gate) Waiting() int { return int(g.count.Load() / waiting) }

// ServiceTime returns the recent mean time a slot was held, or 0.
func (g *Gate) ServiceTime() time.Duration { return g.service.mean() }

// Drain refuses new requests and those in the queue from now on; running ones
// go on.
func (g *Gate) Drain() {
	g.draining.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.queue {
		g.count.Add(^(waiting - 1))
		w.ready <- Draining
	}
	g.queue = nil
}

// Reopen ends a drain.
func (g *Gate) Reopen() { g.draining.Store(false) }

// Slot is the right to run one request; Release gives it back.
type Slot struct {
	gate  *Gate
	start time.Time
}

// Release frees the slot and notes how long it was held. The caller calls it
// exactly once.
func (s Slot) Release() {
	now := time.Now()
	s.gate.service.add(now.Sub(s.start))
	s.gate.release(now)
}

// Admit waits for a slot until ctx ends or the deadline cannot be met any
// more. The error is a Refusal.
func (g *Gate) Admit(ctx context.Context, deadline time.Time) (Slot, error) {
	now := time.Now()
	if g.draining.Load() {
		return Slot{}, Draining
	}
	if !now.Before(deadline) {
		return Slot{}, TooLate
	}
	if g.takeFree() {
		return Slot{g, now}, nil
	}
	w, refusal := g.enqueue(now, deadline)
	if refusal != admitted {
		return Slot{}, refusal
	}
	if w == nil {
		return Slot{g, now}, nil
	}
	return g.await(ctx, w)
}

// takeFree takes a slot when one is free and nobody waits.
func (g *Gate) takeFree() bool {
	for {
		old := g.count.Load()
		if old >= waiting || int64(old) >= g.slots.Load() {
			return false
		}
		if g.count.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// takeFreed takes a slot for the head of the queue; the lock is held.
func (g *Gate) takeFreed() bool {
	for {
		old := g.count.Load()
		if int64(old%waiting) >= g.slots.Load() {
			return false
		}
		if g.count.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

// enqueue puts a request at the end of the queue. It returns nil without a
// refusal when a slot came free meanwhile.
func (g *Gate) enqueue(now, deadline time.Time) (*waiter, Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining.Load() {
		return nil, Draining
	}
	g.dropLate(now)
	if int64(len(g.queue)) >= g.limit.Load() {
		if g.takeFree() {
			return nil, admitted
		}
		return nil, Full
	}
	if g.startsAt(now, len(g.queue)).After(g.latestStart(deadline)) {
		if g.takeFree() {
			return nil, admitted
		}
		return nil, TooLate
	}
	for {
		old := g.count.Load()
		if old < waiting && int64(old) < g.slots.Load() {
			if g.count.CompareAndSwap(old, old+1) {
				return nil, admitted
			}
			continue
		}
		if g.count.CompareAndSwap(old, old+waiting) {
			break
		}
	}
	w := &waiter{ready: make(chan Refusal, 1), deadline: deadline}
	g.queue = append(g.queue, w)
	return w, admitted
}

// await blocks until the waiter has a slot or is refused.
func (g *Gate) await(ctx context.Context, w *waiter) (Slot, error) {
	timer := time.NewTimer(time.Until(g.latestStart(w.deadline)))
	defer timer.Stop()
	var why Refusal
	select {
	case refusal := <-w.ready:
		return g.outcome(refusal)
	case <-ctx.Done():
		why = Cancelled
	case <-timer.C:
		why = TooLate
	}
	if g.leave(w) {
		return Slot{}, why
	}
	slot, err := g.outcome(<-w.ready)
	if err == nil {
		g.release(time.Now())
		return Slot{}, why
	}
	return slot, err
}

func (g *Gate) outcome(refusal Refusal) (Slot, error) {
	if refusal != admitted {
		return Slot{}, refusal
	}
	return Slot{g, time.Now()}, nil
}

// leave takes a waiter out of the queue; false when it is no longer in it.
func (g *Gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.queue {
		if other == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			g.count.Add(^(waiting - 1))
			return true
		}
	}
	return false
}

// release gives a slot to the head of the queue or frees it.
func (g *Gate) release(now time.Time) {
	for {
		old := g.count.Load()
		if old >= waiting && int64(old%waiting) <= g.slots.Load() {
			if g.passOn(now) {
				return
			}
			continue
		}
		if g.count.CompareAndSwap(old, old-1) {
			return
		}
	}
}

// passOn gives the caller's slot to the first waiter that can still make it.
func (g *Gate) passOn(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropLate(now)
	if len(g.queue) == 0 {
		return false
	}
	g.handOver()
	return true
}

// handOver gives a slot that is already taken to the head of the queue; the
// lock is held.
func (g *Gate) handOver() {
	w := g.queue[0]
	g.queue = g.queue[1:]
	g.count.Add(^(waiting - 1))
	w.ready <- admitted
}

// dropLate refuses the waiters that cannot meet their deadline any more; the
// lock is held.
func (g *Gate) dropLate(now time.Time) {
	kept := g.queue[:0]
	for _, w := range g.queue {
		if now.After(g.latestStart(w.deadline)) {
			g.count.Add(^(waiting - 1))
			w.ready <- TooLate
			continue
		}
		kept = append(kept, w)
	}
	g.queue = kept
}

// startsAt estimates when a request at the position would get a slot.
func (g *Gate) startsAt(now time.Time, position int) time.Time {
	slots := max(g.slots.Load(), 1)
	wait := time.Duration(int64(g.service.mean()) * int64(position+1) / slots)
	return now.Add(wait)
}

// latestStart is when a request must have a slot to be answered in time.
func (g *Gate) latestStart(deadline time.Time) time.Time {
	return deadline.Add(-g.service.quick())
}
