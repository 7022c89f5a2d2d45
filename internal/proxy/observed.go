package proxy

import "time"

// noteLine takes what the way to this daemon and back took for a peer's last
// request; 0 is unknown.
func (p *Proxy) noteLine(took time.Duration) {
	if took == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line.Observe(p.now(), took)
}

func (p *Proxy) lineDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.line.Delay(p.now())
}

// sizeWeight is the weight of a new size in the mean of a route.
const sizeWeight = 0.05

// noteSize takes the size in bytes of a request and its answer.
func (p *Proxy) noteSize(route string, size int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.sizes[route]
	if !ok {
		known = float64(size)
	}
	p.sizes[route] = known + sizeWeight*(float64(size)-known)
}

// size is the expected size in bytes of a request of a route and its answer.
func (p *Proxy) size(route string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.sizes[route])
}
