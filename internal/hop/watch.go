package hop

import (
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

const (
	// watchStep is how often connections on which requests wait are looked at.
	watchStep = 40 * time.Millisecond
	// pingAfter is the silence after which the peer is asked for a sign.
	pingAfter = 100 * time.Millisecond
	// idlePing is how often a connection without requests is tried.
	idlePing = 2 * time.Second
)

// watch asks a silent peer for a sign and ends the connection when none comes.
// It looks often only while requests wait. It returns the silence for which it
// has given up the connection, or 0 when that ended otherwise.
func (c *Client) watch(l *link) time.Duration {
	timer := time.NewTimer(idlePing)
	defer timer.Stop()
	defer c.asked.Store(0)
	for {
		select {
		case <-l.done:
			return 0
		case <-c.began:
		case <-timer.C:
		}
		ping, step := idlePing, idlePing/2
		busy := c.busy()
		if busy {
			ping, step = pingAfter, watchStep
		}
		c.watching.Store(busy)
		if c.asked.Load() > 0 || !busy && c.busy() {
			// A sign is awaited, or a request came just now.
			step = watchStep
		}
		timer.Reset(step)
		if silence := c.look(l, ping, busy); silence > 0 {
			l.reset()
			return silence
		}
	}
}

// look asks for a sign after a silence, and returns the silence when it is too
// long.
func (c *Client) look(l *link, ping time.Duration, busy bool) time.Duration {
	now := c.now()
	silence := l.silence()
	if busy {
		// Before the request nothing had to come.
		silence = min(silence, now-time.Duration(c.waitedSince.Load()))
	}
	asked := time.Duration(c.asked.Load())
	switch {
	case asked > 0 && l.silence() < now-asked:
		c.hooks.Patience.Delayed(now, now-l.silence()-asked)
		c.asked.Store(0)
	case asked == 0 && silence >= ping:
		c.asked.Store(int64(now))
		// A link that takes no more frames ends by itself.
		_ = c.send(l, &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: c.hooks.State()}}})
	case asked > 0 && now-asked >= c.hooks.Patience.GiveUpAfter(now)-pingAfter:
		return silence
	}
	return 0
}

// Unanswered is how long a sign of the peer has been waited for while others
// were heard.
func (c *Client) Unanswered() time.Duration {
	asked := time.Duration(c.asked.Load())
	if asked == 0 {
		return 0
	}
	now := c.now()
	return c.hooks.Patience.Excess(now, now-asked)
}

func (c *Client) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0
}

// wakeWatch makes the watch look at once if it rests.
func (c *Client) wakeWatch() {
	if c.watching.Swap(true) {
		return
	}
	select {
	case c.began <- struct{}{}:
	default:
	}
}
