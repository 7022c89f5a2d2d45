// Package shaping shares a machine's network link between the frames that a daemon
// sends, and between those that it receives. Small frames are sent at once; parts of
// large ones wait until the link has room, so that they queue here and not in the
// network, where small frames would queue behind them.
//
// Shaper decides on what is sent, Granter on what is received; both do no I/O. Link and
// Inbound make them usable by goroutines.
package shaping

import (
	"slices"
	"time"
)

// burstTime is the time of unused rate that can be used later.
const burstTime = 20 * time.Millisecond

// Turn is a part of a large frame that waits until the link has room.
type Turn struct {
	// order is when the frame was queued: the parts of an earlier frame go first.
	order time.Duration
	bytes int
	// ready is closed when the part may be sent.
	ready chan struct{}
}

// Shaper is a token bucket with a queue. It is not safe for concurrent use. Times
// are on one monotonic clock.
type Shaper struct {
	bucket
	// lastGrant is when a part was last granted, or Grant found none waiting.
	lastGrant time.Duration
	waiting   []*Turn
	// backlog is the number of bytes of large frames that are not sent yet, also of
	// those parts that are not in waiting yet.
	backlog int
}

// NewShaper returns a shaper for a link with the given rate in bits per second.
func NewShaper(bitsPerSecond int64) *Shaper {
	return &Shaper{bucket: newBucket(bitsPerSecond, burstTime)}
}

// AddBacklog counts bytes of a large frame that are to be sent; a negative number
// those that have been sent or never will be.
func (s *Shaper) AddBacklog(bytes int) { s.backlog += bytes }

// Backlog returns how long it takes to send what waits.
func (s *Shaper) Backlog() time.Duration {
	return s.time(float64(s.backlog))
}

// Consume counts a small frame, which does not wait.
func (s *Shaper) Consume(now time.Duration, bytes int) {
	s.refill(now)
	s.consume(bytes)
}

// Queue adds a part of a frame that was queued at the time order.
func (s *Shaper) Queue(order time.Duration, bytes int) *Turn {
	turn := &Turn{order: order, bytes: bytes, ready: make(chan struct{})}
	position, _ := slices.BinarySearchFunc(s.waiting, order, func(t *Turn, order time.Duration) int {
		if t.order <= order {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, position, turn)
	return turn
}

// Cancel removes a turn that will not be used, or returns its credit if it was granted.
func (s *Shaper) Cancel(turn *Turn) {
	if i := slices.Index(s.waiting, turn); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	s.add(float64(turn.bytes))
}

// Grant removes and returns the turns that may be sent now, and how long it takes
// until the next one may be; 0 if none waits.
func (s *Shaper) Grant(now time.Duration) (granted []*Turn, next time.Duration) {
	s.refill(now)
	for len(s.waiting) > 0 && (s.credit >= 0 || now-s.lastGrant >= maxPartWait) {
		turn := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.credit -= float64(turn.bytes)
		s.lastGrant = now
		granted = append(granted, turn)
	}
	if len(s.waiting) == 0 {
		s.lastGrant = now
		return granted, 0
	}
	return granted, max(min(s.untilCredit(), s.lastGrant+maxPartWait-now), minPause)
}
