package hop

import "time"

const (
	// transitWindow is how long the quickest frame stays the measure; it counts
	// for one to two windows.
	transitWindow = 2 * time.Second
	// maxTransit is the longest that a frame can have been on its way: the
	// sender gives up a connection before. More is a jump between the clocks,
	// as when the sender was suspended.
	maxTransit = maxGiveUp
)

// transit tells how much longer than the quickest one a frame of a connection
// was on its way. The two ends' clocks need only run at the same speed. It is
// used by one goroutine.
type transit struct {
	known   bool
	since   time.Duration
	current time.Duration
	before  time.Duration
}

// delay takes when a frame arrived and was sent, each on its end's clock.
func (t *transit) delay(arrived, sent time.Duration) time.Duration {
	offset := arrived - sent
	if !t.known || offset-min(t.current, t.before) > maxTransit {
		*t = transit{known: true, since: arrived, current: offset, before: offset}
		return 0
	}
	if arrived-t.since > transitWindow {
		t.since, t.before, t.current = arrived, t.current, offset
	}
	t.current = min(t.current, offset)
	return offset - min(t.current, t.before)
}

// shortened returns what is left of a time in milliseconds after a delay.
func shortened(left uint32, delay time.Duration) uint32 {
	return uint32(max(int64(left)-delay.Milliseconds(), 0))
}
