package daemon

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectCheckInterval is how often the connection of a request is checked. Work for a
// caller that has disconnected may go on for 0.5 s.
const disconnectCheckInterval = 100 * time.Millisecond

// connKey is the context key of a caller's net.Conn.
type connKey struct{}

// withConn makes a caller's connection available to watchCaller.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// watchCaller returns the request with a context that also ends when its caller closes
// the connection while another request waits on it. Package net/http reads no further
// then and does not notice. The context has ended already if the caller has left before the
// request was read, as happens on a busy machine. The caller must call stop.
func watchCaller(r *http.Request) (watched *http.Request, stop func()) {
	conn, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return r, func() {}
	}
	ctx, cancel := context.WithCancel(r.Context())
	checkCaller(ctx, cancel, conn)
	return r.WithContext(ctx), cancel
}

// scheduleCheck calls checkCaller after disconnectCheckInterval.
func scheduleCheck(ctx context.Context, cancel func(), conn syscall.Conn) {
	time.AfterFunc(disconnectCheckInterval, func() { checkCaller(ctx, cancel, conn) })
}

// checkCaller calls cancel once the peer has closed conn. It is scheduled again until
// ctx ends.
func checkCaller(ctx context.Context, cancel func(), conn syscall.Conn) {
	if ctx.Err() != nil {
		return
	}
	if closedByPeer(conn) {
		cancel()
		return
	}
	scheduleCheck(ctx, cancel, conn)
}

// closedByPeer reports whether the peer has closed a TCP connection, also if data that it
// sent before was not read.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State != unix.BPF_TCP_ESTABLISHED
	})
	return err != nil || closed
}
