package hop

import "time"

// silenceLimit is how long a silent peer's connection stays open after the read
// timeout. A peer that was only slow or paused then still answers the requests that
// it runs.
const silenceLimit = 1200 * time.Millisecond

// beginSilence marks the peer as silent and reports whether it was not, unless conn has
// been replaced. Requests in flight are asked whether they give up; new ones are not sent.
func (c *Client) beginSilence(conn *clientConn) bool {
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
