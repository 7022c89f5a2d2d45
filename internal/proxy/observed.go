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

// sizeWeight is the weight of a new sample in a route's mean size.
const sizeWeight = 0.05

// recordSize records the size in bytes of a request and its answer together,
// without headers.
func (p *Proxy) recordSize(route string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.meanSizes[route]
	if !ok {
		mean = float64(bytes)
	}
	p.meanSizes[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// expectedSize returns the mean size in bytes of a route's recent requests and
// their answers together, or 0 before the first one.
func (p *Proxy) expectedSize(route string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.meanSizes[route])
}
