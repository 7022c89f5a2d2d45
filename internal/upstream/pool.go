package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection on the same machine.
	dialTimeout = 500 * time.Millisecond
	// idleLimit is how long an idle connection is kept when the upstream does
	// not say how long it keeps it.
	idleLimit = 4 * time.Second
	// idleMargin is how much sooner than the upstream a connection is closed.
	idleMargin = time.Second
	// freshLimit is the longest idle time of a connection for a request that
	// must not run twice: a reset of one that was idle for longer may be the
	// upstream's own time-out, which could not be told from a lost answer.
	freshLimit = 500 * time.Millisecond
)

// pool keeps idle connections to one address.
type pool struct {
	mu      sync.Mutex
	address string
	idle    []*conn
}

// setAddress drops the connections to another address.
func (p *pool) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.clear()
}

// reset drops all idle connections.
func (p *pool) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
}

func (p *pool) clear() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get returns the connection that was used last, or a new one.
func (p *pool) get(ctx context.Context, repeatable bool) (*conn, error) {
	for {
		c, address := p.take()
		if c == nil {
			return dial(ctx, address)
		}
		idle := time.Since(c.idleSince)
		if idle > c.limit() || !repeatable && idle > freshLimit || !c.quiet() {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

func (c *conn) limit() time.Duration {
	if c.keep == 0 {
		return idleLimit
	}
	return max(min(c.keep-idleMargin, idleLimit), 0)
}

func (p *pool) take() (*conn, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil, p.address
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c, p.address
}

// put keeps a connection for the next request.
func (p *pool) put(c *conn, address string) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	return newConn(c), nil
}
