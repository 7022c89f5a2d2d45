package routing

import "time"

const (
	// failureDecay is the time constant with which the outcomes of an upstream's
	// requests lose weight.
	failureDecay = 3 * time.Second
	// assumedSuccesses is the weight of the successes that are assumed besides the
	// outcomes, so that a few failures of a rarely used upstream do not count much,
	// and an upstream that gets no requests is trusted again.
	assumedSuccesses = 5
)

// FailureEstimator estimates the share of its requests that an upstream fails,
// whether it accepts them and reports itself healthy or not. It is not safe for
// concurrent use. Times are on one monotonic clock.
type FailureEstimator struct {
	// failed and total are the decaying numbers of outcomes as of at.
	failed float64
	total  float64
	at     time.Duration
}

// Observe adds the outcome of one request.
func (e *FailureEstimator) Observe(now time.Duration, failed bool) {
	e.decay(now)
	e.total++
	if failed {
		e.failed++
	}
}

// Share returns the estimated share of failed requests, between 0 and 1.
func (e *FailureEstimator) Share(now time.Duration) float64 {
	e.decay(now)
	return e.failed / (e.total + assumedSuccesses)
}

func (e *FailureEstimator) decay(now time.Duration) {
	kept := decayFactor(now-e.at, failureDecay)
	e.failed *= kept
	e.total *= kept
	e.at = now
}
