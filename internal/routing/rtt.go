package routing

import (
	"math"
	"time"
)

// rttDecay is the time constant with which an RTT estimate decays.
const rttDecay = 300 * time.Millisecond

// RTTEstimator estimates the network round-trip time (RTT) to a machine as a
// decaying mean of recent samples. The estimate rises when answers saturate the
// machine's network link, which the number of requests there does not show. An
// estimator is not safe for concurrent use. Times are on one monotonic clock.
type RTTEstimator struct {
	mean time.Duration
	// at is the time of the last sample.
	at time.Duration
}

// Observe adds the RTT of one request as a sample.
func (e *RTTEstimator) Observe(now, rtt time.Duration) {
	kept := decayFactor(now-e.at, rttDecay)
	e.mean = time.Duration(kept*float64(e.mean) + (1-kept)*float64(rtt))
	e.at = now
}

// Estimate returns the expected RTT. Without new samples it decays towards 0.
func (e *RTTEstimator) Estimate(now time.Duration) time.Duration {
	return time.Duration(decayFactor(now-e.at, rttDecay) * float64(e.mean))
}

// decayFactor returns the factor, between 0 and 1, by which an estimate with the
// given time constant decays within age.
func decayFactor(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}
