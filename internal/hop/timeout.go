package hop

import (
	"math"
	"sync"
	"time"
)

const (
	// minTimeout is the read timeout when peers respond immediately. It exceeds the
	// stalls of up to 100 ms that a CPU quota causes.
	minTimeout = 400 * time.Millisecond
	// maxTimeout bounds the read timeout on saturated network links.
	maxTimeout = 2 * time.Second
	// delayFactor is the ratio of the timeout to the longest recent ping delay.
	delayFactor = 3
	// timeoutDecay is the time constant with which the timeout decays to
	// minTimeout.
	timeoutDecay = 10 * time.Second
)

// AdaptiveTimeout is an adaptive read timeout: the idle time after which a Client
// closes its connection as dead. All clients of a daemon share one, because they
// share the machine's network link. The timeout grows when a ping is answered
// late, or when a connection was closed as dead although its peer was reachable,
// and then decays.
//
// All methods may be called from any goroutine. Times are readings of one
// monotonic clock.
type AdaptiveTimeout struct {
	mu sync.Mutex
	// extra is the time added to minTimeout as of extraAt, before decay.
	extra   time.Duration
	extraAt time.Duration
	// lastReceived is when the last frame from any peer arrived at a client.
	lastReceived time.Duration
}

// RecordReceive records that a frame from any peer arrived at a client at now.
func (t *AdaptiveTimeout) RecordReceive(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReceived = now
}

// PeerIdleTime returns a peer's idle time less the time since a frame last arrived
// from any peer, and at least 0. While nothing arrives at all, the fault may lie
// with this machine's network link.
func (t *AdaptiveTimeout) PeerIdleTime(now, idleTime time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(idleTime-(now-t.lastReceived), 0)
}

// Timeout returns the idle time after which a connection is closed as dead.
func (t *AdaptiveTimeout) Timeout(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return minTimeout + t.decayedExtra(now)
}

// RecordPingDelay records the time from sending a ping to the next data
// received from the peer.
func (t *AdaptiveTimeout) RecordPingDelay(now, delay time.Duration) { t.raise(now, delayFactor*delay) }

// RecordFalsePositive records that a connection was closed as dead after idleTime
// although its peer was reachable.
func (t *AdaptiveTimeout) RecordFalsePositive(now, idleTime time.Duration) { t.raise(now, 2*idleTime) }

// raise sets the timeout to wanted, bounded by maxTimeout, unless it is longer
// already.
func (t *AdaptiveTimeout) raise(now, wanted time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	extra := min(wanted, maxTimeout) - minTimeout
	if extra > t.decayedExtra(now) {
		t.extra, t.extraAt = extra, now
	}
}

func (t *AdaptiveTimeout) decayedExtra(now time.Duration) time.Duration {
	return time.Duration(float64(t.extra) * math.Exp(-float64(now-t.extraAt)/float64(timeoutDecay)))
}
