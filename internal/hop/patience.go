package hop

import (
	"math"
	"sync"
	"time"
)

const (
	// minGiveUp is the silence after which a connection counts as lost when
	// peers answer at once. A daemon that gets its processor in slices stands
	// still for up to 100 ms.
	minGiveUp = 400 * time.Millisecond
	// maxGiveUp bounds it where lines are full.
	maxGiveUp = 2 * time.Second
	// delayFactor is how many times the longest recent delay is waited for.
	delayFactor = 3
	// patienceFade is how long a delay that was seen counts for much.
	patienceFade = 10 * time.Second
)

// Patience decides after which silence a connection counts as lost. It is one
// for all connections of a daemon, since they share the machine's line: where
// signs of peers have taken long, or a connection was given up although its
// peer could be reached at once, silence is borne longer for a while.
//
// All methods may be called from any goroutine. Times are on one steady clock.
type Patience struct {
	mu sync.Mutex
	// extra is what was added to minGiveUp at the time at.
	extra time.Duration
	at    time.Duration
	// heard is when a frame of any peer arrived last.
	heard time.Duration
}

// Heard notes that a frame of any peer has arrived.
func (p *Patience) Heard(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = now
}

// Excess returns the part of a peer's silence that the machine's own line does
// not explain: where nothing arrives from anyone, no peer is to blame.
func (p *Patience) Excess(now, silence time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(silence-(now-p.heard), 0)
}

// GiveUpAfter returns the silence after which a connection counts as lost.
func (p *Patience) GiveUpAfter(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return minGiveUp + p.faded(now)
}

// Delayed notes that a peer's sign came that long after it was asked for.
func (p *Patience) Delayed(now, delay time.Duration) { p.raise(now, delayFactor*delay) }

// FalseAlarm notes that a connection was given up after a silence although its
// peer could be reached.
func (p *Patience) FalseAlarm(now, silence time.Duration) { p.raise(now, 2*silence) }

func (p *Patience) raise(now, wanted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	extra := min(wanted, maxGiveUp) - minGiveUp
	if extra > p.faded(now) {
		p.extra, p.at = extra, now
	}
}

func (p *Patience) faded(now time.Duration) time.Duration {
	return time.Duration(float64(p.extra) * math.Exp(-float64(now-p.at)/float64(patienceFade)))
}
