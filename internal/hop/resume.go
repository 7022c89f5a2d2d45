package hop

import (
	"net"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

const (
	// minReplaceAfter is the shortest time for which a ping is unanswered before a second
	// connection is opened. It exceeds the stalls of up to 100 ms that a CPU quota
	// causes.
	minReplaceAfter = 150 * time.Millisecond
	// replaceInterval is the shortest time between two attempts to replace a connection.
	replaceInterval = 500 * time.Millisecond
	// retiredLimit bounds the wait for replies on a connection that was replaced.
	retiredLimit = time.Second
	// maxUnresolved bounds the sessions that a Resume names.
	maxUnresolved = 8
)

// replaceAfter returns how long a ping is unanswered before a second connection is
// opened, given the read timeout: as long as the longest recent delay of a ping. The
// second connection replaces the first only if it is the first to answer, so that it
// can be opened long before the peer counts as silent. With cancelling, a cancelled request
// may still run: it must end within 0.5 s also after late answers to pings, which would
// lengthen the wait to 0.67 s.
func replaceAfter(timeout time.Duration, cancelling bool) time.Duration {
	if cancelling {
		return minReplaceAfter
	}
	return max(timeout/delayFactor, minReplaceAfter)
}

// replace opens a second connection to the peer if none is being opened and the peer can
// resume requests.
func (c *Client) replace(conn *clientConn) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.replacing || !c.established(conn) || !conn.resumable || now < c.nextReplacement {
		return
	}
	c.replacing = true
	c.nextReplacement = now + replaceInterval
	go c.openSecond(conn, now)
}

// openSecond opens a connection beside another one, since now, and serves it until it
// ends.
func (c *Client) openSecond(beside *clientConn, now time.Duration) {
	opened, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		c.endReplacing()
		return
	}
	conn, err := c.begin(opened, beside, now)
	if err != nil {
		c.endReplacing()
		return
	}
	handshake := time.AfterFunc(c.hooks.AdaptiveTimeout.Timeout(now), func() {
		if !c.established(conn) && !isClosed(conn.retired) {
			conn.reset()
		}
	})
	defer handshake.Stop()
	c.read(conn)
}

func (c *Client) endReplacing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replacing = false
}

// retire makes conn replace the connection beside which it was opened. It returns false
// if that one has ended or is not silent: data has arrived on it since conn was opened, or was
// not read. The caller holds mu.
func (c *Client) retire(conn *clientConn) bool {
	silent := conn.replaces
	c.replacing = false
	if !c.established(silent) || silent.idleTime() < c.now()-conn.openedAt || silent.hasUnread() {
		return false
	}
	silent.next = conn
	close(silent.retired)
	// The peer ignores the rest of what is sent there.
	silent.parts.takeUnsent()
	silent.grants.close()
	c.unresolve(silent)
	if isClosed(c.silence) {
		c.silence = make(chan struct{})
	}
	c.suspectSince.Store(0)
	go c.monitor(conn)
	return true
}

// unresolve adds the session of a connection that is no longer used to those that the
// next Resume names. The caller holds mu.
func (c *Client) unresolve(conn *clientConn) {
	if c.hasWork() {
		c.resumptions.Add(1)
	}
	c.unresolved = append(c.unresolved, conn.session)
	if len(c.unresolved) > maxUnresolved {
		c.failPending()
		c.unresolved = c.unresolved[1:]
	}
}

// forgetUnresolved fails the pending requests of earlier connections; the peer does not
// know these. The caller holds mu.
func (c *Client) forgetUnresolved() {
	c.failPending()
	c.unresolved = nil
	clear(c.cancelled)
}

// sendResume asks the peer to resume on conn the pending requests of the unresolved
// sessions and to cancel all others. Other frames are repeated at once; requests for
// tokens fail. The caller holds mu, so that no request precedes the Resume.
func (c *Client) sendResume(conn *clientConn) {
	resume := &hopv1.Resume{Sessions: c.unresolved}
	for stream, p := range c.pending {
		switch {
		case p.isRequest():
			resume.Wanted = append(resume.Wanted, stream)
		case p.repeatable():
			p.requestSend()
		default:
			// Tokens that were granted in a lost reply must not be granted twice.
			c.fail(stream, p)
		}
	}
	conn.wanted = len(resume.Wanted)
	clear(c.cancelled)
	// If this fails, the connection ends, and the next one resumes.
	_ = c.send(conn, &hopv1.Frame{Body: &hopv1.Frame_Resume{Resume: resume}})
}

// handleResumed handles the peer's answer to a Resume.
func (c *Client) handleResumed(conn *clientConn, resumed *hopv1.Resumed) {
	c.mu.Lock()
	if !c.established(conn) {
		c.mu.Unlock()
		return
	}
	c.unresolved = nil
	result := Resumption{SentAgain: len(resumed.GetNotReceived()), Lost: len(resumed.GetLost())}
	result.Moved = conn.wanted - result.SentAgain - result.Lost
	for _, stream := range resumed.GetNotReceived() {
		if p := c.pending[stream]; p != nil {
			p.sent.Store(false)
			p.requestSend()
		}
	}
	c.mu.Unlock()
	c.endRetired(resumed.GetLost(), c.now()+retiredLimit)
	if c.hooks.Resumed != nil {
		c.hooks.Resumed(result, conn.replaces != nil)
	}
}

// endRetired fails the requests whose replies the peer cannot send again, and resets the
// connections that were replaced. It waits until end at most while data arrives there: a reply
// may be on its way.
func (c *Client) endRetired(lost []uint64, end time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(lost) > 0 && !c.closed && c.now() < end && c.retiredCarryData() {
		time.AfterFunc(busyCheckInterval, func() { c.endRetired(lost, end) })
		return
	}
	for _, stream := range lost {
		if p := c.pending[stream]; p != nil {
			c.fail(stream, p)
		}
	}
	c.resetRetired()
}

// retiredCarryData reports whether data arrives on a connection that was replaced. The caller
// holds mu.
func (c *Client) retiredCarryData() bool {
	for conn := range c.open {
		if isClosed(conn.retired) && (conn.idleTime() < busyPingAfter || conn.hasUnread()) {
			return true
		}
	}
	return false
}

// resetRetired resets the connections that were replaced. Nothing else ends those that are
// silent, since their monitor has ended. The caller holds mu.
func (c *Client) resetRetired() {
	for conn := range c.open {
		if isClosed(conn.retired) {
			conn.reset()
		}
	}
}

// resuming reports whether requests wait for the next connection.
func (c *Client) resuming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn.Load() == nil && len(c.pending) > 0
}

// stopResuming fails the requests that wait for the next connection.
func (c *Client) stopResuming() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn.Load() == nil {
		c.failPending()
	}
}
