package daemon

import (
	"context"
	"sync"
)

// gate makes goroutines wait while it is held. The zero value is not held. Its methods may be
// called from any goroutine.
type gate struct {
	mu sync.Mutex
	// released is closed by release; nil while the gate is not held.
	released chan struct{}
}

// hold makes wait block until the next release.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released == nil {
		g.released = make(chan struct{})
	}
}

// release ends hold.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released != nil {
		close(g.released)
		g.released = nil
	}
}

// wait returns nil once the gate is not held, or the error of ctx if that ends first.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	released := g.released
	g.mu.Unlock()
	if released == nil {
		return nil
	}
	select {
	case <-released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
