package shaping

import (
	"sync"
	"time"
)

// unpacedLinkRate is the rate in bits per second from which the receiving direction of a
// link is not paced: the transfer of a part takes less time than the round trip of its
// grant.
const unpacedLinkRate = 100_000_000

// Inbound is the receiving direction of a network link, which all connections share. A
// nil Inbound grants nothing and counts nothing. All methods may be called from any
// goroutine.
type Inbound struct {
	epoch time.Time

	mu      sync.Mutex
	granter *Granter
	// timer ends when the next grant is due; nil before the first one has to wait.
	timer *time.Timer
}

// newInbound returns nil for a link that is not paced.
func newInbound(bitsPerSecond int64) *Inbound {
	if bitsPerSecond <= 0 || bitsPerSecond >= unpacedLinkRate {
		return nil
	}
	return &Inbound{epoch: time.Now(), granter: NewGranter(bitsPerSecond)}
}

func (in *Inbound) now() time.Duration { return time.Since(in.epoch) }

// Consume is Granter.Consume.
func (in *Inbound) Consume(bytes int) {
	if in == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.granter.Consume(in.now(), bytes)
}

// Backlog is Granter.Backlog.
func (in *Inbound) Backlog() time.Duration {
	if in == nil {
		return 0
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.granter.Backlog(in.now())
}

// Transfers returns the number of announced frames of which not all has arrived.
func (in *Inbound) Transfers() int {
	if in == nil {
		return 0
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.granter.transfers)
}

// Announce is Granter.Announce. From now on grant is called with the bytes that may be
// sent, by any goroutine; it must not block.
func (in *Inbound) Announce(a Announcement, grant func(bytes int)) (*Transfer, time.Duration) {
	in.mu.Lock()
	t, excess := in.granter.Announce(in.now(), a)
	if t != nil {
		t.grant = grant
	}
	in.unlockAndGrant()
	return t, excess
}

// Arrived is Granter.Arrived.
func (in *Inbound) Arrived(t *Transfer, bytes int) {
	in.mu.Lock()
	in.granter.Arrived(in.now(), t, bytes)
	in.unlockAndGrant()
}

// End is Granter.End.
func (in *Inbound) End(t *Transfer) {
	in.mu.Lock()
	in.granter.End(in.now(), t)
	in.unlockAndGrant()
}

// unlockAndGrant unlocks mu, passes on what is granted now and sets the timer for what
// is granted next. Grants are passed on without mu, so that a slow one delays no other
// connection; their order does not matter, since they are increments.
func (in *Inbound) unlockAndGrant() {
	grants, next := in.granter.Grant(in.now())
	if next > 0 {
		in.setTimer(next)
	}
	in.mu.Unlock()
	for _, g := range grants {
		g.Transfer.grant(g.Bytes)
	}
}

// setTimer makes timerFired run after a pause. The caller holds mu.
func (in *Inbound) setTimer(pause time.Duration) {
	if in.timer == nil {
		in.timer = time.AfterFunc(pause, in.timerFired)
		return
	}
	in.timer.Reset(pause)
}

func (in *Inbound) timerFired() {
	in.mu.Lock()
	in.unlockAndGrant()
}
