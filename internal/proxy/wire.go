package proxy

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// errSealed is returned by writes to a connection that was sealed.
var errSealed = errors.New("connection sealed")

// wire is a connection that can prove that nothing was written on it since a
// given moment.
type wire struct {
	net.Conn
	// writes counts the writes begun, or is sealed.
	writes atomic.Int64
}

// sealed is the count of a wire that takes no more writes.
const sealed = -1

// Write implements net.Conn.
func (w *wire) Write(p []byte) (int, error) {
	for {
		begun := w.writes.Load()
		if begun == sealed {
			return 0, errSealed
		}
		if w.writes.CompareAndSwap(begun, begun+1) {
			return w.Conn.Write(p)
		}
	}
}

// seal ends all writing and returns how many writes had begun.
func (w *wire) seal() int64 {
	return w.writes.Swap(sealed)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// directDial opens connections within a time.
func directDial(timeout time.Duration) DialFunc {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: timeout * 40}
	return dialer.DialContext
}

// dialWire opens a wire.
func (dial DialFunc) dialWire(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &wire{Conn: conn}, nil
}
