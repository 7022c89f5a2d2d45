package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of a customer in one data centre.
type bucket struct {
	// level is the number of tokens at the time at. Requests that other daemons
	// have admitted without a token may make it negative.
	level float64
	at    time.Duration
	// rate is in tokens per second, depth the highest level.
	rate  float64
	depth float64
	// demand estimates the requests per second in the data centre.
	demand estimate
	pull   pullState
	// refusals counts the answers with fewer tokens than asked for.
	refusals uint64
}

// roundingMargin is added to a level, in tokens, so that rounding errors do not delay a
// token.
const roundingMargin = 1e-9

// set changes the rate and the depth as of now.
func (b *bucket) set(now time.Duration, rate, depth float64) {
	b.refill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.depth)
	b.at = now
}

// put returns tokens.
func (b *bucket) put(tokens float64) { b.level = min(b.level+tokens, b.depth) }

// charge takes tokens that were used without asking.
func (b *bucket) charge(tokens float64) { b.level = max(b.level-tokens, -b.depth) }

// take grants up to the given number of tokens.
func (b *bucket) take(now time.Duration, tokens int) int {
	b.refill(now)
	granted := min(tokens, int(math.Floor(max(b.level+roundingMargin, 0))))
	b.level -= float64(granted)
	return granted
}

// wait returns the time until the next token, at most maxRefusal.
func (b *bucket) wait() time.Duration { return min(b.untilToken(), maxRefusal) }

// untilToken returns the time until the next token, or 0 if there is one.
func (b *bucket) untilToken() time.Duration {
	return max(time.Duration((1-b.level)/b.rate*float64(time.Second)), 0)
}

// estimate is an exponentially decaying estimate of a rate.
type estimate struct {
	// sum is the decayed number of events per second of the time constant.
	sum float64
	// at is when sum was last changed, since when the first event was counted.
	at    time.Duration
	since time.Duration
	begun bool
}

// minEstimateTime is the shortest time for which a rate is estimated.
const minEstimateTime = 300 * time.Millisecond

// add counts n events.
func (e *estimate) add(now time.Duration, n int, constant time.Duration) {
	if !e.begun {
		e.begun, e.since = true, now
	}
	e.sum = e.decayed(now, constant) + float64(n)/constant.Seconds()
	e.at = now
}

func (e *estimate) decayed(now, constant time.Duration) float64 {
	return e.sum * math.Exp(-max(now-e.at, 0).Seconds()/constant.Seconds())
}

// value returns the rate in events per second. It corrects for the short time of a new
// estimate, so that a new owner knows the demand at once.
func (e *estimate) value(now, constant time.Duration) float64 {
	if !e.begun {
		return 0
	}
	age := max(now-e.since, minEstimateTime)
	return e.decayed(now, constant) / (1 - math.Exp(-age.Seconds()/constant.Seconds()))
}
