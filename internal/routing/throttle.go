package routing

import (
	"sync/atomic"
	"time"
)

// Throttle refuses calls of a service early, where they come in, while its
// upstreams shed most of what they are sent. What is let through stays a fixed
// multiple of what they accept, so that the end of an overload is noticed. It
// is safe for concurrent use and takes no lock.
type Throttle struct {
	// windows are the present and the past one, in turn.
	windows [2]window
}

// window counts the calls of one span of time.
type window struct {
	// span is the number of the span, from the start of the clock.
	span     atomic.Int64
	asked    atomic.Int64
	accepted atomic.Int64
}

const (
	// throttleSpan is the length of a window.
	throttleSpan = time.Second
	// throttleMultiple is how many calls are let through for each accepted.
	throttleMultiple = 1.5
	// throttleSlack is how many more are let through in any case.
	throttleSlack = 20
)

// Refuses decides on a call and counts it as asked for.
func (t *Throttle) Refuses(now time.Duration, random uint64) bool {
	present, past := t.at(now)
	asked := float64(present.asked.Add(1) + past.askedIn(spanOf(now)-1))
	accepted := float64(present.accepted.Load() + past.acceptedIn(spanOf(now)-1))
	excess := asked - throttleMultiple*accepted - throttleSlack
	return excess > 0 && unit(random) < excess/asked
}

// Accepted counts a call that an upstream took.
func (t *Throttle) Accepted(now time.Duration) {
	present, _ := t.at(now)
	present.accepted.Add(1)
}

func spanOf(now time.Duration) int64 { return int64(now / throttleSpan) }

// at returns the present window, started anew if its span is over, and the
// past one. Counts that race with a new start may be lost; they are few.
func (t *Throttle) at(now time.Duration) (present, past *window) {
	span := spanOf(now)
	present, past = &t.windows[span&1], &t.windows[(span+1)&1]
	old := present.span.Load()
	if old != span && present.span.CompareAndSwap(old, span) {
		present.asked.Store(0)
		present.accepted.Store(0)
	}
	return present, past
}

func (w *window) askedIn(span int64) int64 {
	if w.span.Load() != span {
		return 0
	}
	return w.asked.Load()
}

func (w *window) acceptedIn(span int64) int64 {
	if w.span.Load() != span {
		return 0
	}
	return w.accepted.Load()
}
