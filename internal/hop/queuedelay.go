package hop

import "time"

const (
	// baseDelayWindow is the length of a window of the minimum filter. While frames
	// keep arriving, a minimum stays in use for one to two windows.
	baseDelayWindow = 2 * time.Second
	// maxQueueDelay is the longest plausible queueing delay, because the sender
	// closes a connection as dead by then. A larger value means that one clock
	// jumped or stopped relative to the other, as when the sender was suspended.
	maxQueueDelay = maxTimeout
)

// queueDelay estimates the queueing delay of the frames received on a
// connection: the one-way network delay of a frame less the smallest recent one.
// The two ends' clocks need only run at the same rate. It is not safe for
// concurrent use.
type queueDelay struct {
	initialized bool
	// windowStart is when the current window began, on the receiver's clock.
	windowStart time.Duration
	// currentMin and previousMin are the smallest differences of arrival and send
	// time in the current window and in the one before.
	currentMin  time.Duration
	previousMin time.Duration
}

// delay returns the queueing delay of a frame. Arrived is on the receiver's
// clock, sent on the sender's.
func (q *queueDelay) delay(arrived, sent time.Duration) time.Duration {
	offset := arrived - sent
	if !q.initialized || offset-min(q.currentMin, q.previousMin) > maxQueueDelay {
		*q = queueDelay{initialized: true, windowStart: arrived, currentMin: offset, previousMin: offset}
		return 0
	}
	if arrived-q.windowStart > baseDelayWindow {
		q.windowStart, q.previousMin, q.currentMin = arrived, q.currentMin, offset
	}
	q.currentMin = min(q.currentMin, offset)
	return offset - min(q.currentMin, q.previousMin)
}

// subtractDelay returns remainingMs, in milliseconds, less delay, and at least 0.
func subtractDelay(remainingMs uint32, delay time.Duration) uint32 {
	return uint32(max(int64(remainingMs)-delay.Milliseconds(), 0))
}
