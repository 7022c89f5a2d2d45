package pipeline

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTime is how long a connection stays open after the last answer of a branch.
	lingerTime = 500 * time.Millisecond
	// readBytes is the number of bytes that are read at a time while a request is served.
	readBytes = 2 << 10
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is the connection of a caller. Package net/http reads from it in one goroutine at a
// time, and writes only while it serves a request that it has read from it.
type Conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// changed is signalled when a Read or a Write may go on.
	changed sync.Cond
	// ahead holds the bytes that were read and not delivered.
	ahead []byte
	// deliver is the number of bytes at the start of ahead that belong to the head being
	// delivered.
	deliver int
	// passThrough is set once the connection is left to net/http alone.
	passThrough bool
	// serving is set while net/http serves a request that it has read from the connection.
	serving bool
	// branches are those whose answers are not sent yet, in the order of the requests.
	branches []*branch
	// flushing is set while a goroutine sends the answers of branches.
	flushing bool
	// last is set once no further request is to be served. What arrives is still read, as
	// unread data would make the system discard the last answer.
	last bool
	// ended is set when the connection fails or is closed, and closing when it is to be closed
	// after the last branch.
	ended   bool
	closing bool
	// cause says why the connection has ended.
	cause error
	// deadline is that of net/http for Read. While interrupted is set, another one is set on
	// the connection, which ends a Read that waits for data.
	deadline    time.Time
	interrupted bool
}

func newConn(conn net.Conn, listener *Listener) *Conn {
	c := &Conn{Conn: conn, listener: listener}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn. It delivers one head at a time. While a request is served, it
// makes branches of those that arrive, and returns only when the connection fails or its
// deadline passes.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.passThrough && len(c.ahead) == 0 {
			return c.readDirectly(p)
		}
		if c.isFree() {
			c.beginRequest()
		} else {
			c.split()
		}
		if n := c.take(p); n > 0 {
			return n, nil
		}
		if err := c.fill(p); err != nil {
			return 0, err
		}
	}
}

// readDirectly reads from the connection. The caller holds mu, which is released meanwhile.
func (c *Conn) readDirectly(p []byte) (int, error) {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.Conn.Read(p)
}

// isFree reports whether net/http may read a request from the connection.
func (c *Conn) isFree() bool { return !c.serving && len(c.branches) == 0 }

// beginRequest delivers the head that ahead begins with, or leaves the connection to
// net/http. The caller holds mu.
func (c *Conn) beginRequest() {
	if len(c.ahead) == 0 || c.passThrough || c.last {
		return
	}
	c.serving = true
	c.deliver = headEnd(c.ahead)
	c.passThrough = c.deliver == 0 || !isSimple(c.ahead[:c.deliver])
}

// split makes branches of the requests in ahead. The caller holds mu.
func (c *Conn) split() {
	for c.deliver == 0 && !c.passThrough && !c.last && !c.ended && len(c.branches) < maxBranches {
		end := headEnd(c.ahead)
		if end == 0 || !isSimple(c.ahead[:end]) {
			return
		}
		b := &branch{front: c, head: slices.Clone(c.ahead[:end])}
		c.ahead = c.ahead[end:]
		c.branches = append(c.branches, b)
		c.mu.Unlock()
		delivered := c.listener.deliver(b)
		c.mu.Lock()
		if !delivered {
			c.drop(b)
		}
	}
}

// drop forgets a branch that net/http does not serve, since the server is stopping. Its
// request counts as not read. The caller holds mu.
func (c *Conn) drop(b *branch) {
	c.listener.unserved([][]byte{b.head}, net.ErrClosed)
	c.branches = slices.DeleteFunc(c.branches, func(other *branch) bool { return other == b })
	c.last = true
	c.closing = true
	c.flush()
}

// take copies deliverable bytes from ahead. The caller holds mu.
func (c *Conn) take(p []byte) int {
	available := c.ahead
	if !c.passThrough {
		available = c.ahead[:c.deliver]
	}
	n := copy(p, available)
	c.ahead = c.ahead[n:]
	if !c.passThrough {
		c.deliver -= n
	}
	return n
}

// fill waits for more data. It returns nil if there is some, or if a state has changed. The
// caller holds mu, which is released meanwhile.
func (c *Conn) fill(p []byte) error {
	if c.ended {
		return net.ErrClosed
	}
	if len(c.ahead) >= maxAhead {
		return c.awaitChange()
	}
	// Package net/http waits for the end of the connection with a buffer of one byte.
	if len(c.ahead) > 0 {
		p = make([]byte, readBytes)
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.ahead = append(c.ahead, p[:n]...)
	switch {
	case n > 0:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		if !c.interrupted {
			return err
		}
		c.interrupted = false
		return c.Conn.SetReadDeadline(c.deadline)
	default:
		_ = c.end(err)
		return err
	}
}

// awaitChange waits until a state changes. The caller holds mu, which is released meanwhile.
func (c *Conn) awaitChange() error {
	if !c.deadline.IsZero() && !c.deadline.After(time.Now()) {
		return os.ErrDeadlineExceeded
	}
	c.changed.Wait()
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.changed.Broadcast()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// answered is called when net/http has answered the request that it read from the
// connection.
func (c *Conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.flush()
}

// flush sends the answers of branches as far as they are there in the order of the
// requests. The caller holds mu, which is released meanwhile.
func (c *Conn) flush() {
	if c.flushing || c.serving {
		return
	}
	c.flushing = true
	for len(c.branches) > 0 && !c.ended && c.flushFirst() {
	}
	c.flushing = false
	if len(c.branches) == 0 && c.closing {
		c.endSoon()
	}
	c.wake()
}

// flushFirst sends what there is of the first branch's answer, or removes the branch. It
// returns false if there is nothing to do yet. The caller holds mu.
func (c *Conn) flushFirst() bool {
	first := c.branches[0]
	if len(first.unsent) > 0 {
		unsent := first.unsent
		first.unsent = nil
		c.mu.Unlock()
		_, err := c.Conn.Write(unsent)
		c.mu.Lock()
		if err != nil {
			_ = c.end(err)
		}
		c.changed.Broadcast()
		return true
	}
	if !first.done {
		return false
	}
	c.branches = c.branches[1:]
	if first.last {
		c.endSoon()
	}
	return true
}

// wake lets a Read that waits for data look at the state again. The caller holds mu.
func (c *Conn) wake() {
	c.changed.Broadcast()
	if len(c.ahead) > 0 && c.isFree() && !c.ended {
		c.interrupted = true
		// If this fails, the connection has ended, and so has the Read.
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// closeAfter is CloseAfter for the request of b, or with nil for that on the connection
// itself.
func (c *Conn) closeAfter(b *branch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.branches); n > 0 && c.branches[n-1] != b {
		return false
	}
	c.last = true
	return true
}

// Close implements net.Conn. While answers of branches are outstanding, an idle connection
// is closed after them.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving && len(c.branches) > 0 && !c.ended {
		c.closing = true
		c.last = true
		c.changed.Broadcast()
		return nil
	}
	return c.end(net.ErrClosed)
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
	return c.Conn.Close()
}

// setEnded records the end of the connection and reports the requests that were not served.
// The caller holds mu.
func (c *Conn) setEnded(cause error) {
	c.ended = true
	c.cause = cause
	c.changed.Broadcast()
	if unserved := heads(c.ahead[min(c.deliver, len(c.ahead)):]); len(unserved) > 0 && !c.passThrough {
		c.listener.unserved(unserved, cause)
	}
}

// endSoon is end, but leaves the caller time to read the last answer. The caller holds mu.
func (c *Conn) endSoon() {
	if c.ended {
		return
	}
	c.setEnded(net.ErrClosed)
	// If this fails, the caller has closed the connection.
	_ = c.CloseWrite()
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
}
