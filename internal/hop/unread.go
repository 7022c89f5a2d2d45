package hop

import (
	"syscall"
	"time"

	"godwitmount/internal/socket"
)

// heldUpLimit is the idle time up to which a connection counts as held up. A process that is
// behind for longer loses its peers anyway: they take it for vanished.
const heldUpLimit = vanishedAfter

// isHeldUp reports whether a connection that has been idle for a time is so because of this
// process, which has not come to read what has arrived or to write what is queued, the ping
// included.
func (pc *peerConn) isHeldUp(idleTime time.Duration) bool {
	return idleTime < heldUpLimit && (pc.hasUnread() || pc.out.awaitsWriter())
}

// hasUnread reports whether data has arrived that was not read. Then the peer is not silent:
// this process has not come to read, as on a machine without processor time, where timers go
// on before the readers of connections.
func (pc *peerConn) hasUnread() bool {
	conn, ok := pc.conn.(syscall.Conn)
	return ok && socket.HasUnread(conn)
}
