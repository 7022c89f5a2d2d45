package proxy

import "time"

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
