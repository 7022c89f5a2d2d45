package shaping

import "time"

const (
	// usableShare is the share of the link's rate that is used. The rest covers
	// packet headers and what other processes of the machine send.
	usableShare = 0.9
	// maxDebtTime is the time of rate that small frames can use in advance.
	maxDebtTime = 100 * time.Millisecond
	// maxPartWait is the longest time for which small frames keep all large ones
	// waiting.
	maxPartWait = 200 * time.Millisecond
	// minPause is the shortest pause before the next part, for the timers of callers.
	minPause = time.Millisecond
)

// bucket is a token bucket for the rate of a network link. Its zero time is that of the
// clock on which the link's times are read.
type bucket struct {
	// rate is in bytes per second.
	rate float64
	// burst is the time of unused rate that can be used later.
	burst time.Duration
	// credit is the number of bytes that may be transmitted as of at; negative while
	// more was used than there was.
	credit float64
	at     time.Duration
}

// newBucket returns an empty bucket for a link with the given rate in bits per second.
func newBucket(bitsPerSecond int64, burst time.Duration) bucket {
	const bitsPerByte = 8
	return bucket{rate: usableShare * float64(bitsPerSecond) / bitsPerByte, burst: burst}
}

// refill adds the credit for the time since the last call.
func (b *bucket) refill(now time.Duration) {
	b.add(b.rate * (now - b.at).Seconds())
	b.at = now
}

// add returns bytes of credit.
func (b *bucket) add(bytes float64) {
	b.credit = min(b.credit+bytes, b.rate*b.burst.Seconds())
}

// consume uses credit for bytes that do not wait, and goes into debt by at most
// maxDebtTime of rate.
func (b *bucket) consume(bytes int) {
	b.credit = max(b.credit-float64(bytes), -b.rate*maxDebtTime.Seconds())
}

// untilCredit returns how long it takes until there is no debt.
func (b *bucket) untilCredit() time.Duration { return b.time(max(-b.credit, 0)) }

// time returns how long the link needs for bytes.
func (b *bucket) time(bytes float64) time.Duration {
	return time.Duration(bytes / b.rate * float64(time.Second))
}
