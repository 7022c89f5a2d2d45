package hop

import (
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// maxUnansweredPings is the number of unanswered pings from which Ask sends none.
const maxUnansweredPings = 4

// pingTimes holds the times at which the unanswered pings of a connection were sent, in
// order. The peer answers each ping with one pong, in the same order. All methods may be
// called from any goroutine.
type pingTimes struct {
	mu   sync.Mutex
	sent []time.Duration
}

func (p *pingTimes) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = nil
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

// sendPing sends a ping with this daemon's state. The lock orders the pings on the
// connection like their times.
func (c *Client) sendPing(pc *peerConn) error {
	frame := &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: c.hooks.State()}}}
	if c.hooks.PingClock == nil {
		return c.send(pc, frame)
	}
	c.pings.mu.Lock()
	defer c.pings.mu.Unlock()
	sent := c.hooks.PingClock()
	if err := c.send(pc, frame); err != nil {
		return err
	}
	c.pings.sent = append(c.pings.sent, sent)
	return nil
}

// pongReceived passes on the state of a pong with the time of its ping.
func (c *Client) pongReceived(state *hopv1.State) {
	if c.hooks.PingClock == nil {
		return
	}
	if sent, ok := c.pings.answered(); ok {
		c.hooks.PongReceived(state, sent)
	}
}

// Ask makes the peer send its state, by a ping. It does nothing while there is no
// connection, or several pings are unanswered.
func (c *Client) Ask() {
	c.mu.Lock()
	pc := c.peerConn
	c.mu.Unlock()
	c.pings.mu.Lock()
	unanswered := len(c.pings.sent)
	c.pings.mu.Unlock()
	if pc == nil || unanswered >= maxUnansweredPings {
		return
	}
	// If this fails, the connection ends.
	_ = c.sendPing(pc)
}
