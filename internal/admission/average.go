package admission

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is the assumed service time before any was measured.
	defaultServiceTime = 100 * time.Millisecond
	// upperDeviations is the number of mean deviations by which the upper
	// estimate of a duration exceeds its mean: about one duration in ten is
	// longer than the estimate.
	upperDeviations = 1.6
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.05
)

// movingAverage is an exponentially weighted moving average of durations, in
// nanoseconds, with their mean absolute deviation from it.
type movingAverage struct {
	value     float64
	deviation float64
	// known is set from the first sample on.
	known bool
}

func (m *movingAverage) add(d time.Duration) {
	if !m.known {
		m.value = float64(d)
		m.deviation = m.value / 2
		m.known = true
		return
	}
	difference := float64(d) - m.value
	m.value += sampleWeight * difference
	m.deviation += sampleWeight * (math.Abs(difference) - m.deviation)
}

// get returns the average, or defaultServiceTime before the first sample.
func (m *movingAverage) get() time.Duration {
	if !m.known {
		return defaultServiceTime
	}
	return time.Duration(m.value)
}

// upper returns a duration that about one sample in ten exceeds, or
// defaultServiceTime before the first sample.
func (m *movingAverage) upper() time.Duration {
	if !m.known {
		return defaultServiceTime
	}
	return time.Duration(m.value + upperDeviations*m.deviation)
}
