package pipeline

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptWait bounds accepting a connection that waits at the system. It is there already.
const acceptWait = time.Millisecond

// waitingListener is a listener of the system, such as net.TCPListener.
type waitingListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// StopAccepting closes the listener once it has accepted the connections that wait at the
// system, at most after limit. Closing it resets those that wait, with the requests on them.
func (l *Listener) StopAccepting(limit time.Duration) error {
	l.stopping.Store(true)
	// A listener that does not wait, or that has failed, is closed at once.
	if inner, ok := l.Listener.(waitingListener); ok && inner.SetDeadline(longAgo) == nil {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case <-l.ended:
		case <-timer.C:
		}
	}
	return l.Close()
}

// acceptWaiting makes the next Accept take a connection that waits at the system. It returns
// false if there is none.
func (l *Listener) acceptWaiting() bool {
	inner, ok := l.Listener.(waitingListener)
	return ok && isReadable(inner) && inner.SetDeadline(time.Now().Add(acceptWait)) == nil
}

// isReadable reports whether a listener has a connection to accept.
func isReadable(listener syscall.Conn) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		// If this fails, the listener is closed.
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}
