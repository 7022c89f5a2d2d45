package hop

import "time"

// silenceLimit is how long a silent peer's connection stays open after the read
// timeout. A peer that was only slow or paused then still answers the requests that
// it runs.
const silenceLimit = 1200 * time.Millisecond

// beginSilence marks the peer as silent if it is not, unless conn has been replaced. New
// requests are not sent. Requests in flight are told after Down was called: they look for
// another upstream, and the silent one must not count as reachable.
func (c *Client) beginSilence(conn *clientConn) {
	if !c.maySilence(conn) {
		return
	}
	c.hooks.Down(ErrPeerSilent)
	if !c.closeSilence(conn) && c.conn.Load() != nil {
		// The connection was replaced meanwhile.
		c.hooks.Up()
	}
}

// maySilence reports whether the peer is to be marked as silent.
func (c *Client) maySilence(conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !isClosed(c.silence) && c.established(conn)
}

// closeSilence tells the requests in flight that the peer is silent, and reports whether it
// still is.
func (c *Client) closeSilence(conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isClosed(c.silence) || !c.established(conn) {
		return false
	}
	close(c.silence)
	return true
}

// endSilence reports whether the peer was silent until now.
func (c *Client) endSilence() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isClosed(c.silence) {
		return false
	}
	c.silence = make(chan struct{})
	return true
}

// dataArrived ends a silence of the peer.
func (c *Client) dataArrived() {
	if c.endSilence() {
		c.hooks.Up()
	}
}

// isClosed reports whether the channel, on which nothing is sent, is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
