package routing

import (
	"math"
	"time"
)

// rttDecay is the time constant with which an RTT estimate decays.
const rttDecay = 300 * time.Millisecond

// RTTEstimator estimates the network round-trip time (RTT) to a machine as a decaying
// mean of recent samples. It rises when answers saturate the machine's network
// link, which the number of requests there does not show. It is not safe for
// concurrent use. Times are on one monotonic clock.
type RTTEstimator struct {
	mean time.Duration
	// at is the time of the last sample.
	at time.Duration
}

// Observe adds the RTT of one request as a sample.
func (l *RTTEstimator) Observe(now, rtt time.Duration) {
	kept := decayFactor(now - l.at)
	l.mean = time.Duration(kept*float64(l.mean) + (1-kept)*float64(rtt))
	l.at = now
}

// Estimate returns the expected RTT. Without new samples it decays towards 0.
func (l *RTTEstimator) Estimate(now time.Duration) time.Duration {
	return time.Duration(decayFactor(now-l.at) * float64(l.mean))
}

// decayFactor returns the weight, from 1 to 0, that an estimate of a given age
// still has.
func decayFactor(age time.Duration) float64 { return math.Exp(-float64(age) / float64(rttDecay)) }
