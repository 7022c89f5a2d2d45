package pipeline

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// branch is the connection on which net/http serves one request that a caller has sent
// behind others. The mu of front guards its fields.
type branch struct {
	front *Conn
	// head is what net/http has not read yet.
	head []byte
	// unsent is what was written and not sent on the caller's connection.
	unsent []byte
	// done is set once the answer is written as a whole, and last if the connection is to be
	// closed after it.
	done, last bool
	// expired is set while the read deadline has passed.
	expired bool
}

// Read implements net.Conn. After the head, it waits for the end of the connection.
func (b *branch) Read(p []byte) (int, error) {
	b.front.mu.Lock()
	defer b.front.mu.Unlock()
	for {
		switch {
		case b.expired:
			return 0, os.ErrDeadlineExceeded
		case b.front.ended || b.done:
			return 0, io.EOF
		case len(b.head) > 0:
			n := copy(p, b.head)
			b.head = b.head[n:]
			return n, nil
		case b.front.callerEnded:
			return 0, io.EOF
		}
		b.front.changed.Wait()
	}
}

// Write implements net.Conn. It blocks while much of the answer waits for others.
func (b *branch) Write(p []byte) (int, error) {
	b.front.mu.Lock()
	defer b.front.mu.Unlock()
	for len(b.unsent) >= maxUnsent && !b.front.ended {
		b.front.changed.Wait()
	}
	if b.front.ended {
		return 0, b.front.cause
	}
	if b.done {
		return 0, net.ErrClosed
	}
	b.unsent = append(b.unsent, p...)
	b.front.flush()
	return len(p), nil
}

// finish is called when net/http has written the whole answer.
func (b *branch) finish() {
	b.front.mu.Lock()
	defer b.front.mu.Unlock()
	b.done = true
	b.front.flush()
}

// Close implements net.Conn. If the answer is not finished, it ends the caller's
// connection, too.
func (b *branch) Close() error {
	b.front.mu.Lock()
	defer b.front.mu.Unlock()
	if !b.done {
		b.done, b.last = true, true
		b.front.flush()
	}
	return nil
}

// LocalAddr and RemoteAddr implement net.Conn.
func (b *branch) LocalAddr() net.Addr  { return b.front.LocalAddr() }
func (b *branch) RemoteAddr() net.Addr { return b.front.RemoteAddr() }

// SyscallConn implements syscall.Conn.
func (b *branch) SyscallConn() (syscall.RawConn, error) { return b.front.SyscallConn() }

// SetReadDeadline implements net.Conn. Only a deadline that has passed has an effect: the
// head is complete, so nothing else is waited for.
func (b *branch) SetReadDeadline(t time.Time) error {
	b.front.mu.Lock()
	defer b.front.mu.Unlock()
	b.expired = !t.IsZero() && !t.After(time.Now())
	b.front.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. The deadline of the caller's connection applies.
func (b *branch) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (b *branch) SetDeadline(t time.Time) error { return b.SetReadDeadline(t) }
