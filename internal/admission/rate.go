package admission

import "time"

const (
	// minRate is the rate, in requests a second, at which requests start even if the
	// upstream names a lower limit: only an answer shows that the limit has ended.
	minRate = 0.5
	// burstTime is the time whose requests may start together after a pause.
	burstTime = 250 * time.Millisecond
)

// rateLimit is a token bucket: each request that starts takes a token. The zero value
// allows any rate.
type rateLimit struct {
	limited bool
	// perSecond is the number of tokens added in a second.
	perSecond float64
	// tokens is the number of tokens as of at.
	tokens float64
	at     time.Duration
}

// set changes the rate. A limit that begins allows one request at once.
func (r *rateLimit) set(now time.Duration, limited bool, perSecond float64) {
	if limited && !r.limited {
		r.tokens = 1
	} else {
		r.tokens = r.available(now)
	}
	r.at, r.limited, r.perSecond = now, limited, max(perSecond, minRate)
}

// available returns the number of tokens at a time, at most those of burstTime.
func (r *rateLimit) available(now time.Duration) float64 {
	burst := max(r.perSecond*burstTime.Seconds(), 1)
	return min(r.tokens+r.perSecond*(now-r.at).Seconds(), burst)
}

// take takes a token if there is one.
func (r *rateLimit) take(now time.Duration) bool {
	if !r.limited {
		return true
	}
	available := r.available(now)
	if available < 1 {
		return false
	}
	r.tokens, r.at = available-1, now
	return true
}

// wait returns how long it takes until there are n tokens, 0 if there are. It is
// rounded up, so that there are n tokens after it.
func (r *rateLimit) wait(now time.Duration, n int) time.Duration {
	if !r.limited {
		return 0
	}
	missing := float64(n) - r.available(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/r.perSecond*float64(time.Second)) + time.Microsecond
}
