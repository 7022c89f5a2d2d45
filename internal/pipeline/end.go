package pipeline

import (
	"io"
	"net"
	"time"

	"godwitmount/internal/socket"
)

// lingerTime is how long a connection that the server has ended stays open, if unread data is
// on it or may follow, for its caller to read the last answer.
const lingerTime = 500 * time.Millisecond

// drain ends the connection once nothing on it waits for an answer.
func (c *Conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.wake()
}

// isUnanswered reports whether requests that were read wait for an answer.
func (c *Conn) isUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && (!c.isFree() || len(c.unserved()) > 0)
}

// Close implements net.Conn. While answers of branches are outstanding, an idle connection
// is closed after them.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return nil
	case !c.serving && len(c.branches) > 0:
		c.closing = true
		c.last = true
		c.changed.Broadcast()
		return nil
	case c.callerEnded:
		return c.end(io.EOF)
	case c.reading:
		return c.end(net.ErrClosed)
	}
	c.endSoon()
	return nil
}

// CloseWrite ends the sending direction. Package net/http calls it before Close, so that
// unread data does not make the system discard the answer.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// end closes the connection and ends the branches. Cause is net.ErrClosed if the server
// ends it, and otherwise the error of the connection. The caller holds mu.
func (c *Conn) end(cause error) error {
	if c.ended {
		return nil
	}
	c.setEnded(cause)
	c.listener.forget(c)
	return c.Conn.Close()
}

// endSoon is end, but leaves the caller time to read the last answer. Unread data, and such that
// a caller that has sent a part of a head still sends, would make the system discard that. The
// caller holds mu.
func (c *Conn) endSoon() {
	if c.ended {
		return
	}
	if !socket.HasUnread(c) && !c.inHead {
		_ = c.end(net.ErrClosed)
		return
	}
	c.setEnded(net.ErrClosed)
	// If these fail, the caller has closed the connection.
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(longAgo)
	time.AfterFunc(lingerTime, func() {
		_ = c.Conn.Close()
		c.listener.forget(c)
	})
}

// setEnded records the end of the connection and reports the requests that were not served.
// The caller holds mu.
func (c *Conn) setEnded(cause error) {
	c.ended = true
	c.cause = cause
	c.changed.Broadcast()
	if unserved := c.unserved(); len(unserved) > 0 {
		c.listener.unserved(unserved, cause)
	}
}
