package routing

import "time"

// EjectionConfig is when an upstream is passed over because of its failures.
type EjectionConfig struct {
	// Failures in a row after which an upstream is ejected.
	Failures int
	// Base is the length of the first ejection; each further one without a
	// success between them doubles it, up to Max.
	Base time.Duration
	Max  time.Duration
	// Jitter is the share of the length that is added at random at most.
	Jitter float64
	// MaxShare is the largest share of a service's upstreams that may be
	// ejected at once.
	MaxShare float64
}

// DefaultEjection returns the defaults.
func DefaultEjection() EjectionConfig {
	return EjectionConfig{
		Failures: 5,
		Base:     time.Second,
		Max:      30 * time.Second,
		Jitter:   0.25,
		MaxShare: 0.5,
	}
}

// ejection is the state of one upstream's ejections.
type ejection struct {
	failures int
	// rounds counts ejections since the last success after one.
	rounds int
	until  time.Duration
}

// failed counts a failure and returns how long to eject, or 0. While the
// upstream is ejected, failures of requests sent before do not count.
func (e *ejection) failed(cfg EjectionConfig, now time.Duration, room bool, random uint64) time.Duration {
	if now < e.until {
		return 0
	}
	e.failures++
	if !room || e.failures < e.threshold(cfg) {
		return 0
	}
	length := e.length(cfg, random)
	e.rounds++
	e.failures = 0
	e.until = now + length
	return length
}

// threshold is one failure for an upstream that comes back from an ejection
// and has not answered since.
func (e *ejection) threshold(cfg EjectionConfig) int {
	if e.rounds > 0 {
		return 1
	}
	return cfg.Failures
}

func (e *ejection) length(cfg EjectionConfig, random uint64) time.Duration {
	length := cfg.Base
	for i := 0; i < e.rounds && length < cfg.Max; i++ {
		length *= 2
	}
	length = min(length, cfg.Max)
	return length + time.Duration(float64(length)*cfg.Jitter*unit(random))
}

// succeeded ends the row of failures; it reports whether the upstream thereby
// returned from an ejection.
func (e *ejection) succeeded(now time.Duration) bool {
	if now < e.until {
		return false
	}
	returned := e.rounds > 0
	*e = ejection{}
	return returned
}

// unit maps a random number to [0,1).
func unit(random uint64) float64 {
	const bits = 53
	return float64(random>>(64-bits)) / (1 << bits)
}
