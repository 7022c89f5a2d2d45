package hop

import "time"

const (
	// busyCheckInterval is the interval of idle checks while requests are
	// pending or a ping is unanswered.
	busyCheckInterval = 40 * time.Millisecond
	// busyPingAfter is the idle time before a ping while requests are pending.
	busyPingAfter = 100 * time.Millisecond
	// cancelPingAfter is the idle time before a ping while the peer has not confirmed the
	// end of a cancelled request.
	cancelPingAfter = busyCheckInterval
	// idlePingAfter is the idle time before a ping while no request is pending.
	idlePingAfter = 2 * time.Second
	// idleCheckInterval is the interval of idle checks otherwise.
	idleCheckInterval = idlePingAfter / 2
)

// monitor pings an idle peer, opens a second connection when the ping is not answered,
// marks the peer as silent when no data arrives within the read timeout, and resets the
// connection silenceLimit later, or at once before the handshake. It returns when the
// connection has ended or was replaced.
func (c *Client) monitor(conn *clientConn) {
	first := idlePingAfter
	if c.busy() {
		// Requests of another connection wait to be resumed.
		first = busyCheckInterval
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-conn.done:
			return
		case <-conn.retired:
			return
		case <-conn.wake:
		case <-timer.C:
		}
		check := c.planCheck(conn)
		timer.Reset(check.next)
		idleTime := c.checkIdle(conn, check.pingAfter, check.busy)
		if idleTime == 0 {
			continue
		}
		c.beginSilence(conn)
		if !c.established(conn) || idleTime >= c.hooks.AdaptiveTimeout.Timeout(c.now())+silenceLimit {
			conn.resetAfter.Store(int64(idleTime))
			conn.reset()
			return
		}
	}
}

// idleCheck holds the parameters of one check of monitor.
type idleCheck struct {
	// busy is set while anything is expected from the peer.
	busy bool
	// pingAfter is the idle time before a ping, and next the time until the next check.
	pingAfter, next time.Duration
}

// planCheck returns the parameters of the present check. The next one follows after
// busyCheckInterval while requests are pending, after Check, or while a ping is unanswered,
// otherwise after idleCheckInterval. The check that follows a ping without pending requests
// still comes after the longer interval.
func (c *Client) planCheck(conn *clientConn) idleCheck {
	check := idleCheck{busy: c.busy(), pingAfter: idlePingAfter, next: idleCheckInterval}
	often := check.busy || c.suspectSince.Load() > 0
	if often {
		check.pingAfter, check.next = busyPingAfter, busyCheckInterval
	}
	if c.Unconfirmed() > 0 {
		check.pingAfter = cancelPingAfter
	}
	conn.polling.Store(often)
	if conn.pingSentAt.Load() > 0 || c.busy() || c.suspectSince.Load() > 0 {
		// A ping is unanswered, or a request or Check came in while polling was still set.
		check.next = busyCheckInterval
	}
	return check
}

// checkIdle sends a ping once the connection has been idle for pingAfter, and
// records the delay when a ping was answered. It returns the idle time if the read
// timeout has expired, and 0 otherwise. A connection that this process holds up is not idle.
func (c *Client) checkIdle(conn *clientConn, pingAfter time.Duration, busy bool) time.Duration {
	now := c.now()
	idleTime := conn.idleTime()
	if busy {
		// No data was expected before the first pending request.
		idleTime = min(idleTime, now-time.Duration(c.pendingSince.Load()))
	}
	timeout := c.hooks.AdaptiveTimeout.Timeout(now)
	pingSentAt := time.Duration(conn.pingSentAt.Load())
	switch {
	case pingSentAt > 0 && conn.receivedSince(now, pingSentAt):
		c.hooks.AdaptiveTimeout.RecordPingDelay(now, now-conn.idleTime()-pingSentAt)
		conn.pingSentAt.Store(0)
		if since := c.suspectSince.Load(); since <= int64(pingSentAt) {
			c.suspectSince.CompareAndSwap(since, 0)
		}
		c.dataArrived()
	case pingSentAt == 0 && idleTime >= pingAfter:
		conn.pingSentAt.Store(int64(now))
		c.sendPing(conn)
	case pingSentAt > 0 && now-pingSentAt >= replaceAfter(timeout, c.Unconfirmed() > 0):
		if conn.isHeldUp(now - pingSentAt) {
			return 0
		}
		c.replace(conn)
		// While requests are pending, the connection was idle for busyPingAfter
		// before the ping. That time is part of the timeout. A request that was sent
		// after the ping has a timeout of its own.
		if now-pingSentAt >= timeout-busyPingAfter && idleTime >= timeout {
			return idleTime
		}
	}
	return 0
}

// PingNow sends a ping with this daemon's state at once, unless one is unanswered, and
// makes monitor find soon whether the connection is silent. It is for changes of the state
// that must reach the peer in time, such as a new configuration.
func (c *Client) PingNow() {
	conn := c.conn.Load()
	if conn == nil {
		return
	}
	c.Check()
	now := c.now()
	sent := conn.pingSentAt.Load()
	if (sent == 0 || conn.receivedSince(now, time.Duration(sent))) && conn.pingSentAt.CompareAndSwap(sent, int64(now)) {
		c.sendPing(conn)
	}
}

// Check makes monitor ping the peer at once if it has been idle for busyPingAfter, and
// find soon whether it is silent. It is for connections that may have fallen silent
// together with another one.
func (c *Client) Check() {
	c.suspectSince.Store(int64(c.now()))
	c.wakeMonitor()
}

// UnansweredPingAge returns how long a ping has been unanswered, less the time
// for which no peer has sent anything. It returns 0 if no ping is unanswered.
func (c *Client) UnansweredPingAge() time.Duration {
	conn := c.conn.Load()
	if conn == nil || conn.pingSentAt.Load() == 0 {
		return 0
	}
	now := c.now()
	pingSentAt := time.Duration(conn.pingSentAt.Load())
	if conn.receivedSince(now, pingSentAt) {
		// It is answered; monitor notes that at its next check, up to a second later.
		return 0
	}
	return c.hooks.AdaptiveTimeout.PeerIdleTime(now, now-pingSentAt)
}

// wakeMonitor makes the monitors of the open connections check immediately, unless they
// check often already. Each connection has its own: that of a replaced one, which is about to
// end, takes no wake-up from that of the next.
func (c *Client) wakeMonitor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.polling.Swap(true) {
			continue
		}
		select {
		case conn.wake <- struct{}{}:
		default:
		}
	}
}
