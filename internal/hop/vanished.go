package hop

import "time"

const (
	// vanishedAfter is the quiet time of an inbound connection after which nobody waits
	// for the requests on it. The peer pings while it waits, and closes its end of a
	// silent connection within the longest read timeout and silenceLimit.
	vanishedAfter = maxTimeout + silenceLimit
	// abandonedAfter is the quiet time after which an inbound connection is reset. It is
	// longer than the pause between pings of an idle one, and than a short suspension
	// of the peer, which may still get the answers of requests that are not cancelled.
	abandonedAfter = 10 * time.Second
	// unreadCheckInterval is the time to the next check of a quiet connection with unread data.
	unreadCheckInterval = 100 * time.Millisecond
)

// watchQuiet cancels the requests of a peer that has vanished without closing its
// connection, and later resets the connection. Until then, a connection with unread data
// is not quiet. It calls itself again until the connection ends.
func (s *session) watchQuiet() {
	if isClosed(s.peerConn.done) {
		return
	}
	next := vanishedAfter
	switch quiet := s.peerConn.quietTime(); {
	case quiet >= abandonedAfter:
		s.peerConn.reset()
		return
	case quiet >= vanishedAfter && s.peerConn.hasUnread():
		next = unreadCheckInterval
	case quiet >= vanishedAfter:
		s.cancelAll(ErrPeerVanished)
	default:
		next -= quiet
	}
	time.AfterFunc(next, s.watchQuiet)
}
