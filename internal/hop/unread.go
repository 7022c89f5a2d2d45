package hop

import (
	"syscall"
	"time"

	"godwitmount/internal/socket"
)

// heldUpLimit is the time for which a ping may be unanswered because of this process. One that is
// behind for longer loses its peers anyway: they take it for vanished.
const heldUpLimit = vanishedAfter

// isHeldUp reports whether a ping that was queued some time ago is unanswered because of this
// process, which has not come to read what has arrived, or to write what is queued.
func (pc *peerConn) isHeldUp(pingAge time.Duration) bool {
	return pingAge < heldUpLimit && (pc.hasUnread() || pc.out.awaitsWriter())
}

// hasUnread reports whether data has arrived that was not read. Then the peer is not silent:
// this process has not come to read, as on a machine without processor time, where timers go
// on before the readers of connections.
func (pc *peerConn) hasUnread() bool {
	conn, ok := pc.conn.(syscall.Conn)
	return ok && socket.HasUnread(conn)
}
