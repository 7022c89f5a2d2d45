package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"godwitmount/internal/socket"
)

// readBytes is the number of bytes that are read at a time while a request is served.
const readBytes = 2 << 10

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
	// deliver is the number of bytes of the request being delivered that net/http has not
	// read. Part of its body may not have arrived.
	deliver int
	// passThrough is set once the connection is left to net/http alone.
	passThrough bool
	// inHead is set while net/http has read a part of a head, for which the connection was
	// left to it.
	inHead bool
	// serving is set while net/http serves a request that it has read from the connection, and
	// alone while it is one beside which no other is served.
	serving, alone bool
	// branches are those whose answers are not sent yet, in the order of the requests.
	branches []*branch
	// unsplit is set once the listener is closed, so that no further branch is served.
	unsplit bool
	// flushing is set while a goroutine sends the answers of branches.
	flushing bool
	// last is set once no further request is to be served, and so none is to be read: of one
	// that was not read, its caller knows that it has not run.
	last bool
	// callerEnded is set once the caller has ended its sending direction, as it does to leave.
	// Requests that are served are cancelled by that, and their answers still sent.
	callerEnded bool
	// draining is set once the connection is to end when nothing on it waits for an answer.
	draining bool
	// ended is set when the connection fails or is closed, and closing when it is to be closed
	// after the last branch.
	ended   bool
	closing bool
	// cause says why the connection has ended.
	cause error
	// reading is set while a goroutine waits for data, and paused while none may.
	reading, paused bool
	// deadline is that of net/http for Read. While interrupted is set, another one is set on
	// the connection, which ends a Read that waits for data.
	deadline    time.Time
	interrupted bool
	// bodyLimited is set while deadline is that of the body being delivered; see SetBodyDeadline.
	bodyLimited bool
}

func newConn(conn net.Conn, listener *Listener) *Conn {
	c := &Conn{Conn: conn, listener: listener}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn. It delivers one request at a time. While that is served, it
// makes branches of those that arrive, and returns only when the connection fails or its
// deadline passes.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.draining && c.isQuiet() && !c.hasRequestToRead() {
			// Package net/http would answer a part of a head.
			c.endSoon()
			return 0, io.EOF
		}
		if c.passThrough && len(c.ahead) == 0 {
			if n, err := c.receive(p); n > 0 || err != nil {
				return n, err
			}
			continue
		}
		if c.isFree() {
			c.beginRequest()
		} else if !c.split() {
			continue
		}
		if n := c.take(p); n > 0 {
			return n, nil
		}
		if c.deliver > 0 {
			if n, err := c.receiveBody(p); n > 0 || err != nil {
				return n, err
			}
			continue
		}
		if err := c.fill(p); err != nil {
			return 0, err
		}
	}
}

// isFree reports whether net/http may read a request from the connection.
func (c *Conn) isFree() bool { return !c.serving && len(c.branches) == 0 }

// isQuiet reports whether nothing that was read waits for an answer.
func (c *Conn) isQuiet() bool { return c.isFree() && len(c.ahead) == 0 }

// hasRequestToRead reports whether data has arrived behind what was read, and may be read.
func (c *Conn) hasRequestToRead() bool { return !c.last && !c.callerEnded && socket.HasUnread(c) }

// beginRequest delivers the request that ahead begins with, or leaves the connection to
// net/http. The caller holds mu.
func (c *Conn) beginRequest() {
	if len(c.ahead) == 0 || c.passThrough || c.last {
		return
	}
	head := c.ahead[:headEnd(c.ahead)]
	// A part of a head is no request yet.
	c.serving = len(head) > 0
	body, known := bodyLength(head)
	if !known {
		c.passThrough = true
		c.inHead = len(head) == 0
		return
	}
	c.alone = !isSimple(head)
	c.deliver = len(head) + body
}

// split makes branches of the requests in ahead. It returns false if one of these is not
// served, since the listener is closed: it stays in ahead. The caller holds mu, which is
// released meanwhile.
func (c *Conn) split() bool {
	for c.deliver == 0 && !c.alone && !c.unsplit && !c.passThrough && !c.last && !c.ended && len(c.branches) < maxBranches {
		end := headEnd(c.ahead)
		if end == 0 || !isSimple(c.ahead[:end]) || !isAccepted(c.ahead[:end]) {
			return true
		}
		b := &branch{front: c, head: slices.Clone(c.ahead[:end])}
		c.branches = append(c.branches, b)
		c.mu.Unlock()
		delivered := c.listener.deliver(b)
		c.mu.Lock()
		if !delivered {
			c.branches = slices.DeleteFunc(c.branches, func(other *branch) bool { return other == b })
			c.unsplit = true
			c.flush()
			return false
		}
		c.ahead = c.ahead[end:]
	}
	return true
}

// take copies deliverable bytes from ahead. The caller holds mu.
func (c *Conn) take(p []byte) int {
	available := c.ahead
	if !c.passThrough {
		available = c.ahead[:min(c.deliver, len(c.ahead))]
	}
	n := copy(p, available)
	c.ahead = c.ahead[n:]
	if !c.passThrough {
		c.delivered(n)
	}
	return n
}

// delivered counts bytes of the request being delivered that net/http has read. The deadline
// of a body ends with it. The caller holds mu.
func (c *Conn) delivered(n int) {
	c.deliver -= n
	if c.deliver == 0 && c.bodyLimited {
		// If this fails, the connection has ended.
		_ = c.setReadDeadline(time.Time{})
	}
}

// receiveBody reads from the body of the request being delivered; see receive.
func (c *Conn) receiveBody(p []byte) (int, error) {
	n, err := c.receive(p[:min(len(p), c.deliver)])
	c.delivered(n)
	return n, err
}

// fill waits for more data. It returns nil if there is some, or if a state has changed. The
// caller holds mu, which is released meanwhile.
func (c *Conn) fill(p []byte) error {
	switch {
	case c.ended:
		return net.ErrClosed
	case c.callerEnded:
		return io.EOF
	}
	if len(c.ahead) >= maxAhead || c.last || c.paused {
		return c.awaitChange()
	}
	// Package net/http waits for the end of the connection with a buffer of one byte.
	if len(c.ahead) > 0 {
		p = make([]byte, readBytes)
	}
	n, err := c.receive(p)
	c.ahead = append(c.ahead, p[:n]...)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		c.callerEnded = true
		c.last = true
		c.changed.Broadcast()
	default:
		_ = c.end(err)
	}
	return err
}

// receive reads from the connection. It returns 0 and nil if wake has interrupted it. The
// caller holds mu, which is released meanwhile.
func (c *Conn) receive(p []byte) (int, error) {
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if c.paused {
		c.changed.Broadcast()
	}
	if n > 0 {
		return n, nil
	}
	if c.interrupted && errors.Is(err, os.ErrDeadlineExceeded) {
		c.interrupted = false
		return 0, c.Conn.SetReadDeadline(c.deadline)
	}
	return 0, err
}

// pauseReading ends a Read that waits for data, and keeps others from reading until paused is
// reset. The caller holds mu, which is released meanwhile.
func (c *Conn) pauseReading() {
	c.paused = true
	for c.reading && !c.ended {
		c.interrupt()
		c.changed.Wait()
	}
}

// interrupt lets a Read that waits for data look at the state again. The caller holds mu.
func (c *Conn) interrupt() {
	c.interrupted = true
	// If this fails, the connection has ended, and so has the Read.
	_ = c.Conn.SetReadDeadline(longAgo)
}

// awaitChange waits until a state changes or the deadline passes. The caller holds mu, which
// is released meanwhile.
func (c *Conn) awaitChange() error {
	if !c.deadline.IsZero() {
		left := time.Until(c.deadline)
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		defer time.AfterFunc(left, c.wakeAll).Stop()
	}
	c.changed.Wait()
	return nil
}

// wakeAll lets everything that waits look at the state again.
func (c *Conn) wakeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setReadDeadline(t)
}

// setReadDeadline is SetReadDeadline for a caller that holds mu.
func (c *Conn) setReadDeadline(t time.Time) error {
	c.deadline = t
	c.bodyLimited = false
	c.changed.Broadcast()
	if c.ended {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// setBodyDeadline is SetBodyDeadline for the request that is served on the connection itself.
func (c *Conn) setBodyDeadline(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passThrough {
		return false
	}
	if c.deliver > 0 {
		// If this fails, the connection has ended.
		_ = c.setReadDeadline(t)
		c.bodyLimited = true
	}
	return true
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
