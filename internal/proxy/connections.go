package proxy

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/hop"
)

const (
	// retiredCheckInterval is how often it is checked whether a peer that is no longer
	// used still has requests, and maxRetiredTime how long its connection stays open at most.
	retiredCheckInterval = 100 * time.Millisecond
	maxRetiredTime       = 30 * time.Second
	// maxUnconfirmedTime is how long the connection stays open for cancelled requests that
	// the peer has not confirmed. A peer that this daemon cannot reach takes it for vanished
	// after 3.2 s and ends them itself.
	maxUnconfirmedTime = 4 * time.Second
)

// retire closes the connection to a peer that is no longer used, once the requests in
// flight there have ended and it has confirmed the end of cancelled ones. The caller holds mu.
func (ps *Peers) retire(p *peer) {
	p.retired.Store(true)
	ps.retired[p] = true
	ps.closeWhenIdle(p, ps.now()+maxRetiredTime)
}

// closeWhenIdle closes the connection to a retired peer without requests and unconfirmed
// cancellations, or at the time end, and otherwise calls itself again. The caller holds mu.
func (ps *Peers) closeWhenIdle(p *peer, end time.Duration) {
	now := ps.now()
	idle := p.outstanding.Load() == 0
	if idle {
		end = min(end, now+maxUnconfirmedTime)
	}
	if idle && p.client.Unconfirmed() == 0 || now >= end {
		p.client.Close()
		delete(ps.retired, p)
		return
	}
	time.AfterFunc(retiredCheckInterval, func() {
		ps.mu.Lock()
		defer ps.mu.Unlock()
		ps.closeWhenIdle(p, end)
	})
}

// Close closes the connections to all peers and fails the requests in flight.
func (ps *Peers) Close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		p.client.Close()
	}
	for p := range ps.retired {
		p.client.Close()
	}
	ps.all, ps.retired = map[string]*peer{}, map[*peer]bool{}
}

// requestsResumed records what became of the requests on a connection to the peer that
// was lost or, if silent is set, replaced.
func (ps *Peers) requestsResumed(p *peer, result hop.Resumption, silent bool) {
	ps.resumed.sentAgain.Add(int64(result.SentAgain))
	ps.resumed.moved.Add(int64(result.Moved))
	ps.resumed.lost.Add(int64(result.Lost))
	ps.log.Event(event.SessionResumed, zap.String("peer", p.Instance), zap.Bool("silent", silent),
		zap.Int("sent_again", result.SentAgain), zap.Int("moved", result.Moved), zap.Int("lost", result.Lost))
	if silent {
		ps.Check(p.Instance)
	}
}

// Announce sends this daemon's state to all peers on the connections to them, and finds
// soon which of these are silent. Peers also get the state on the connections that they
// have opened, which may be silent.
func (ps *Peers) Announce() {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.all {
		p.client.PingNow()
	}
}

// PushState sends a state to all reachable peers and waits until they have handled it, at
// most until ctx ends. Daemons of earlier releases do not confirm it and get none.
func (ps *Peers) PushState(ctx context.Context, state *hopv1.State) {
	ps.mu.RLock()
	var pushes sync.WaitGroup
	for _, p := range ps.all {
		if !p.up.Load() {
			continue
		}
		pushes.Go(func() {
			// A peer that cannot be reached is not waited for.
			_ = p.client.PushState(ctx, state)
		})
	}
	ps.mu.RUnlock()
	pushes.Wait()
}

// Check checks the connections to all peers but one, after another connection of this
// daemon has fallen silent: the cause may have silenced them, too, and an idle one would
// show it only at its next ping. It does so at most each silenceCheckInterval.
func (ps *Peers) Check(except string) {
	now := int64(ps.now())
	next := ps.nextSilenceCheck.Load()
	if now < next || !ps.nextSilenceCheck.CompareAndSwap(next, now+int64(silenceCheckInterval)) {
		return
	}
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.all {
		if p.Instance != except {
			p.client.Check()
		}
	}
}

// CancellationsConfirmed reports whether all cancelled requests have ended at their peers,
// also at those that are no longer used.
func (ps *Peers) CancellationsConfirmed() bool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	for _, p := range ps.all {
		if p.client.Unconfirmed() > 0 {
			return false
		}
	}
	for p := range ps.retired {
		if p.client.Unconfirmed() > 0 {
			return false
		}
	}
	return true
}
