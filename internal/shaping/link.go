package shaping

import (
	"context"
	"sync"
	"time"
)

// bitsPerKilobit converts the unit of rates between daemons.
const bitsPerKilobit = 1000

// Link is a network link whose rate is shared by all goroutines that send on it. A
// nil Link has no limit. All methods may be called from any goroutine.
type Link struct {
	epoch         time.Time
	bitsPerSecond int64
	inbound       *Inbound

	mu     sync.Mutex
	shaper *Shaper
	// timerSet is set while a timer runs that ends when the next turn is due.
	timerSet bool
}

// NewLink returns a link with the given rate, or nil, which has no limit, if that is
// 0 or less.
func NewLink(bitsPerSecond int64) *Link {
	if bitsPerSecond <= 0 {
		return nil
	}
	return &Link{
		epoch:         time.Now(),
		bitsPerSecond: bitsPerSecond,
		inbound:       newInbound(bitsPerSecond),
		shaper:        NewShaper(bitsPerSecond),
	}
}

// Kbps returns the rate in kilobits per second, or 0 for no limit.
func (l *Link) Kbps() uint32 {
	if l == nil {
		return 0
	}
	return uint32(max(l.bitsPerSecond/bitsPerKilobit, 1))
}

// IsPaced reports whether a machine whose link has the given rate in kilobits per second
// grants the large frames that it receives.
func IsPaced(kbps uint32) bool { return kbps > 0 && int64(kbps)*bitsPerKilobit < unpacedLinkRate }

// Inbound returns the receiving direction of the link; nil if it is not paced.
func (l *Link) Inbound() *Inbound {
	if l == nil {
		return nil
	}
	return l.inbound
}

// Now returns the time on the link's clock, to be given to Await.
func (l *Link) Now() time.Duration {
	if l == nil {
		return 0
	}
	return time.Since(l.epoch)
}

// Consume counts bytes that are sent without waiting.
func (l *Link) Consume(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shaper.Consume(l.Now(), bytes)
}

// AddBacklog is Shaper.AddBacklog.
func (l *Link) AddBacklog(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shaper.AddBacklog(bytes)
}

// Backlog is Shaper.Backlog.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shaper.Backlog()
}

// Await returns once a part of a frame may be sent that was queued at the time
// order, or once ctx ends. It reports whether the part may be sent.
func (l *Link) Await(ctx context.Context, order time.Duration, bytes int) bool {
	if l == nil {
		return ctx.Err() == nil
	}
	l.mu.Lock()
	turn := l.shaper.Queue(order, bytes)
	l.grantDue()
	l.mu.Unlock()
	select {
	case <-turn.ready:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shaper.Cancel(turn)
	l.grantDue()
	return false
}

// grantDue wakes the turns that may be sent and sets the timer for the next one. The
// caller holds mu.
func (l *Link) grantDue() {
	granted, next := l.shaper.Grant(l.Now())
	for _, turn := range granted {
		close(turn.ready)
	}
	if next == 0 || l.timerSet {
		return
	}
	l.timerSet = true
	time.AfterFunc(next, l.timerFired)
}

func (l *Link) timerFired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerSet = false
	l.grantDue()
}
