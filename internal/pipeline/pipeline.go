// Package pipeline lets package net/http serve the requests that a caller sends behind
// one another on a connection (HTTP/1.1 pipelining) side by side. Without it, net/http
// reads a request only when the one before it is answered.
//
// The caller's connection is split: while a request on it is served, each further one
// that is complete and has no body becomes a connection of its own for net/http, a
// branch. The answers of the branches are sent on the caller's connection in the order
// of the requests. A request with a body waits until those before it are answered, and
// those behind it wait for it. Where the end of a request is not known, as with a body in
// chunks or a head that does not arrive at once, the connection is left to net/http alone.
// All bytes reach net/http in the order in which they came, apart from the heads of
// branches, so a request cannot hide in the body of another one.
//
// A request that was read is answered before its connection is closed, unless it cannot be
// known here that it was read: then, the answer before it says that the connection ends.
package pipeline

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBranches is the number of requests of one connection that are served beside the
	// first one.
	maxBranches = 16
	// maxAhead is the number of bytes that are read ahead of the requests that are served.
	maxAhead = 16 << 10
	// maxUnsent is the number of bytes of an answer that wait until those before it are
	// sent. A handler that writes more is blocked.
	maxUnsent = 256 << 10
)

// Listener accepts the connections of callers and their branches for an http.Server, whose
// ConnState and ConnContext must call those of this package.
type Listener struct {
	net.Listener
	accepted chan accepted
	// unserved is called with the requests that were read and not served; see NewListener.
	unserved func(heads [][]byte, cause error)
	// stopping is set once no connections are to be accepted but those that wait.
	stopping atomic.Bool
	// ended is closed when the listener is closed, by closeOnce.
	ended     chan struct{}
	closeOnce func() error

	mu sync.Mutex
	// conns are the connections that are not closed.
	conns map[*Conn]bool
}

// accepted is a result of Accept.
type accepted struct {
	conn net.Conn
	err  error
}

// NewListener returns a listener for the connections that inner accepts. It owns inner, which
// nobody else may close. Unserved is called with the heads of the requests that were read and
// not served when their connection ended, and with the cause of that: net.ErrClosed if the
// server ended it, and otherwise the error of the connection. It must not block.
func NewListener(inner net.Listener, unserved func(heads [][]byte, cause error)) *Listener {
	l := &Listener{Listener: inner, unserved: unserved, accepted: make(chan accepted), ended: make(chan struct{}), conns: map[*Conn]bool{}}
	l.closeOnce = sync.OnceValue(func() error {
		close(l.ended)
		return l.Listener.Close()
	})
	go l.acceptAll()
	return l
}

// acceptAll accepts connections until the listener is closed. The server decides whether an
// error, such as a lack of descriptors, is temporary.
func (l *Listener) acceptAll() {
	for {
		conn, err := l.Listener.Accept()
		if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			if !l.acceptWaiting() {
				// StopAccepting returns the error.
				_ = l.Close()
				return
			}
			continue
		}
		if err != nil {
			if !l.pass(accepted{err: err}) {
				return
			}
			continue
		}
		c := newConn(conn, l)
		l.add(c)
		if !l.deliver(c) {
			_ = c.Close()
			return
		}
	}
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// open returns the connections that are not closed.
func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// Open returns the number of connections that are not closed.
func (l *Listener) Open() int { return len(l.open()) }

// AllAnswered reports whether no request that was read from a connection waits for its
// answer.
func (l *Listener) AllAnswered() bool {
	return !slices.ContainsFunc(l.open(), (*Conn).isUnanswered)
}

// Drain ends each connection as soon as no request that was read from it waits for its
// answer. It must be called after Close or StopAccepting.
func (l *Listener) Drain() {
	for _, c := range l.open() {
		c.drain()
	}
}

// deliver hands a connection to Accept. It returns false once the listener is closed.
func (l *Listener) deliver(conn net.Conn) bool { return l.pass(accepted{conn: conn}) }

func (l *Listener) pass(result accepted) bool {
	select {
	case l.accepted <- result:
		return true
	case <-l.ended:
		return false
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case result := <-l.accepted:
		return result.conn, result.err
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the inner listener, which l owns, once: a planned
// stop closes l before the server does, which closes each listener that it serves.
func (l *Listener) Close() error { return l.closeOnce() }

// ConnState must be called by the server with each change of a connection's state.
func ConnState(conn net.Conn, state http.ConnState) {
	switch c := conn.(type) {
	case *Conn:
		switch state {
		case http.StateActive:
			c.begun()
		case http.StateIdle:
			c.answered()
		}
	case *branch:
		if state == http.StateIdle {
			c.finish()
		}
	}
}

// IsBranch reports whether a connection of the server is a branch.
func IsBranch(conn net.Conn) bool {
	_, ok := conn.(*branch)
	return ok
}

// connKey is the context key of the server's connection.
type connKey struct{}

// ConnContext returns a context for the requests of a connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CloseAfter reports whether the answer to the request with this context may end its
// connection. It returns false while requests behind it are served or wait: they would get no
// answer. After true, no further request is served. It must be called just before the answer
// is written, and waits until those before it are sent.
func CloseAfter(ctx context.Context) bool {
	switch c := ctx.Value(connKey{}).(type) {
	case *Conn:
		return c.closeAfter(nil)
	case *branch:
		return c.front.closeAfter(c)
	}
	return true
}

// SetBodyDeadline sets the time by which the body of the request with this context must have
// arrived. Unlike a read deadline of net/http, it ends with the body: from then on, net/http
// watches the connection for its caller's leaving, and takes an error for that. It returns
// false if it has no effect because the end of the body is not known here.
func SetBodyDeadline(ctx context.Context, t time.Time) bool {
	switch c := ctx.Value(connKey{}).(type) {
	case *Conn:
		return c.setBodyDeadline(t)
	case *branch:
		// It has no body.
		return true
	}
	return false
}
