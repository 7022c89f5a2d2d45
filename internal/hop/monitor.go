package hop

import (
	"time"
)

const (
	// busyCheckInterval is the interval of idle checks while requests are
	// pending or a ping is unanswered.
	busyCheckInterval = 40 * time.Millisecond
	// busyPingAfter is the idle time before a ping while requests are pending.
	busyPingAfter = 100 * time.Millisecond
	// idlePingAfter is the idle time before a ping while no request is pending.
	idlePingAfter = 2 * time.Second
)

// monitor pings an idle peer, marks it as silent when no data arrives within the read
// timeout, and resets the connection silenceLimit later, or at once before the
// handshake. It checks at busyCheckInterval while requests are pending, after Check, or
// while a ping is unanswered, otherwise at idlePingAfter/2. The first check after a ping
// without pending requests still follows the longer interval. When the connection has
// ended, monitor returns the idle time after which it reset the connection, or 0 if the
// connection ended otherwise.
func (c *Client) monitor(pc *peerConn) time.Duration {
	timer := time.NewTimer(idlePingAfter)
	defer timer.Stop()
	defer c.pingSentAt.Store(0)
	for {
		select {
		case <-pc.done:
			return 0
		case <-c.wake:
		case <-timer.C:
		}
		pingAfter, interval := idlePingAfter, idlePingAfter/2
		busy := c.busy()
		often := busy || c.suspect.Load()
		if often {
			pingAfter, interval = busyPingAfter, busyCheckInterval
		}
		c.polling.Store(often)
		if c.pingSentAt.Load() > 0 || !busy && c.busy() {
			// A ping is unanswered, or a request came in since busy was set.
			interval = busyCheckInterval
		}
		timer.Reset(interval)
		idleTime := c.checkIdle(pc, pingAfter, busy)
		if idleTime == 0 {
			continue
		}
		if !c.established(pc) || idleTime >= c.hooks.AdaptiveTimeout.Timeout(c.now())+silenceLimit {
			pc.reset()
			return idleTime
		}
		if c.beginSilence() {
			c.hooks.Down(ErrPeerSilent)
		}
	}
}

// checkIdle sends a ping once the connection has been idle for pingAfter, and
// records the delay when a ping was answered. It returns the idle time if the read
// timeout has expired, and 0 otherwise.
func (c *Client) checkIdle(pc *peerConn, pingAfter time.Duration, busy bool) time.Duration {
	now := c.now()
	idleTime := pc.idleTime()
	if busy {
		// No data was expected before the first pending request.
		idleTime = min(idleTime, now-time.Duration(c.pendingSince.Load()))
	}
	timeout := c.hooks.AdaptiveTimeout.Timeout(now)
	pingSentAt := time.Duration(c.pingSentAt.Load())
	switch {
	case pingSentAt > 0 && pc.idleTime() < now-pingSentAt:
		c.hooks.AdaptiveTimeout.RecordPingDelay(now, now-pc.idleTime()-pingSentAt)
		c.pingSentAt.Store(0)
		c.suspect.Store(false)
		c.dataArrived()
	case pingSentAt == 0 && idleTime >= pingAfter:
		c.pingSentAt.Store(int64(now))
		// If the outbox is full, send resets the connection, which ends monitor.
		_ = c.sendPing(pc)
	case pingSentAt > 0 && now-pingSentAt >= timeout-busyPingAfter && idleTime >= timeout:
		// While requests are pending, the connection was idle for busyPingAfter
		// before the ping. That time is part of the timeout. A request that was sent
		// after the ping has a timeout of its own.
		return idleTime
	}
	return 0
}

// Check makes monitor ping the peer at once if it has been idle for busyPingAfter, and
// find soon whether it is silent. It is for connections that may have fallen silent
// together with another one.
func (c *Client) Check() {
	c.suspect.Store(true)
	c.wakeMonitor()
}

// UnansweredPingAge returns how long a ping has been unanswered, less the time
// for which no peer has sent anything. It returns 0 if no ping is unanswered.
func (c *Client) UnansweredPingAge() time.Duration {
	pingSentAt := time.Duration(c.pingSentAt.Load())
	if pingSentAt == 0 {
		return 0
	}
	now := c.now()
	return c.hooks.AdaptiveTimeout.PeerIdleTime(now, now-pingSentAt)
}

// busy reports whether requests are pending.
func (c *Client) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// wakeMonitor makes monitor check immediately, unless it checks often already.
func (c *Client) wakeMonitor() {
	if c.polling.Swap(true) {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
