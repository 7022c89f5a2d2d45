package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout bounds opening a connection; the upstream runs on the same
	// machine.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is the longest idle time after which a connection is reused. A
	// Keep-Alive timeout of the upstream can only shorten it.
	maxIdle = 4 * time.Second
	// keepAliveMargin is subtracted from the upstream's Keep-Alive timeout, so
	// that the client closes an idle connection before the upstream does.
	keepAliveMargin = time.Second
	// maxIdleNonIdempotent is the longest idle time of a connection reused for
	// a request that must not run twice. After a longer one, a reset may come
	// from the upstream's idle timeout and cannot be distinguished from a lost
	// response.
	maxIdleNonIdempotent = 500 * time.Millisecond
)

// pool keeps idle connections to one address.
type pool struct {
	mu      sync.Mutex
	address string
	idle    []*conn
}

// setAddress sets the address of new connections. If it differs from the
// current one, it closes all idle connections.
func (p *pool) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.clear()
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear()
}

// closeUnusedSince closes the idle connections that were last used before t.
func (p *pool) closeUnusedSince(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		unused := c.idleSince.Before(t)
		if unused {
			c.abort()
		}
		return unused
	})
}

// clear closes all idle connections; p.mu must be held.
func (p *pool) clear() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get returns the most recently used idle connection that is still reusable for
// the request with the id, or a new connection. It closes those that are not reusable.
func (p *pool) get(ctx context.Context, id string, idempotent bool) (*conn, error) {
	for {
		c, address := p.take()
		if c == nil {
			return dial(ctx, address)
		}
		idle := time.Since(c.idleSince)
		if idle > c.reuseLimit() || !idempotent && idle > maxIdleNonIdempotent || c.hasRefused(id) || !c.healthy() {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// reuseLimit returns the longest idle time after which c is reused.
func (c *conn) reuseLimit() time.Duration {
	if c.keepAliveTimeout == 0 {
		return maxIdle
	}
	return max(min(c.keepAliveTimeout-keepAliveMargin, maxIdle), 0)
}

// take removes and returns the most recently used idle connection, or nil, and
// the current address.
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

// put returns a connection to the pool. It closes the connection if the pool's
// address is another one by now.
func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != c.address {
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
	return newConn(c, address), nil
}
