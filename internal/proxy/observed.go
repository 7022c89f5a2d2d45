package proxy

import (
	"time"

	"godwitmount/internal/routing"
)

// recordRTT records the network round-trip time to this daemon that a peer
// measured with its last request. It ignores 0, which means unknown.
func (p *Proxy) recordRTT(rtt time.Duration) {
	if rtt == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rttEstimator.Observe(p.now(), rtt)
}

// expectedRTT returns the expected network round-trip time to this daemon.
func (p *Proxy) expectedRTT() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rttEstimator.Estimate(p.now())
}

// recordOutcome records whether the upstream failed a request.
func (p *Proxy) recordOutcome(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures.Observe(p.now(), failed)
}

// forgetOutcomes discards what recordOutcome recorded, for a new incarnation of the
// upstream.
func (p *Proxy) forgetOutcomes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = routing.FailureEstimator{}
}

// failureShare returns the share of its recent requests that the upstream failed.
func (p *Proxy) failureShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures.Share(p.now())
}
