package hop

import (
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// maxUnansweredPings is the number of unanswered pings from which RequestState sends none.
const maxUnansweredPings = 4

// pingTimes holds the times at which the unanswered pings of a connection were sent, in
// order. The peer answers each ping with one pong, in the same order. All methods may be
// called from any goroutine.
type pingTimes struct {
	mu   sync.Mutex
	sent []time.Duration
}

// answered removes the first ping and returns when it was sent. It reports false if
// there is none.
func (p *pingTimes) answered() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) == 0 {
		return 0, false
	}
	first := p.sent[0]
	p.sent = p.sent[1:]
	return first, true
}

// unanswered returns the number of pings.
func (p *pingTimes) unanswered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sent)
}

// sendPing sends a ping with this daemon's state. If the outbox is full, that resets the
// connection. It holds the lock while it sends, so that pingTimes has the order of the
// pings on the connection.
func (c *Client) sendPing(conn *clientConn) {
	frame := &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: c.hooks.State(), DrainConfirmed: conn.drained.Load()}}}
	if c.hooks.PingClock == nil {
		_ = c.send(conn, frame)
		return
	}
	conn.pings.mu.Lock()
	defer conn.pings.mu.Unlock()
	sent := c.hooks.PingClock()
	if err := c.send(conn, frame); err == nil {
		conn.pings.sent = append(conn.pings.sent, sent)
	}
}

// pongReceived passes on the state of a pong with the time of its ping.
func (c *Client) pongReceived(conn *clientConn, state *hopv1.State) {
	if c.hooks.PingClock == nil {
		return
	}
	if sent, ok := conn.pings.answered(); ok {
		c.hooks.PongReceived(state, sent)
	}
}

// RequestState makes the peer send its state, by a ping. It does nothing while there is no
// connection, or maxUnansweredPings are unanswered.
func (c *Client) RequestState() {
	conn := c.conn.Load()
	if conn == nil || conn.pings.unanswered() >= maxUnansweredPings {
		return
	}
	c.sendPing(conn)
}
