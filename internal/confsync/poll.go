package confsync

import (
	"errors"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// errTimeout stands for an answer that never came.
var errTimeout = errors.New("no answer in time")

// poller reads the platform's head: regularly on the polling daemons, and so
// rarely on all others that their reads together do not grow with the fleet.
type poller struct {
	due      time.Duration
	inFlight uint64
	deadline time.Duration
	failures int
	// appliedThen is what was in force when the read in flight was sent.
	appliedThen manifest.ID
}

func (c *Core) advancePoll() {
	if c.poll.inFlight != 0 {
		if c.now >= c.poll.deadline {
			c.pollFailed(errTimeout)
		}
		return
	}
	if c.now < c.poll.due {
		return
	}
	c.poll.inFlight = c.nextAttempt()
	c.poll.deadline = c.now + c.cfg.PollTimeout
	c.poll.appliedThen = c.Applied()
	c.emit(ReadHead{Attempt: c.poll.inFlight, Confirm: c.applied == nil})
}

// pollMean returns the mean time between two polls of this daemon.
func (c *Core) pollMean() time.Duration {
	if c.peers.polls() {
		return c.cfg.PollInterval
	}
	return c.cfg.BackgroundInterval * time.Duration(c.peers.size())
}

func (c *Core) headRead(ev HeadRead) {
	if ev.Attempt == startRead {
		c.headConfirmed(ev)
		return
	}
	if c.poll.inFlight == 0 || ev.Attempt != c.poll.inFlight {
		return
	}
	if ev.Err != nil {
		c.pollFailed(ev.Err)
		return
	}
	c.poll.inFlight = 0
	c.poll.due = c.now + c.around(c.pollMean())
	if c.poll.failures > 0 {
		c.poll.failures = 0
		c.emit(step.Log{Event: event.PlatformRecovered})
	}
	c.followHead(ev.ID)
}

func (c *Core) pollFailed(err error) {
	c.poll.inFlight = 0
	c.poll.failures++
	longest := max(c.cfg.PollBackoff, c.pollMean())
	pause := backoff(c.pollMean(), longest, c.poll.failures)
	c.poll.due = c.now + c.pollMean()/2 + c.jitter(pause)
	if c.poll.failures == 1 {
		c.emit(step.Log{Event: event.PlatformLost, Warn: true, Fields: []step.Field{step.F("error", err)}})
	}
}

// backoff doubles first with each failure after the first, up to longest.
func backoff(first, longest time.Duration, failures int) time.Duration {
	pause := first
	for i := 1; i < failures && pause < longest; i++ {
		pause *= 2
	}
	return min(pause, longest)
}

// followHead takes a greater head and raises one that went back.
func (c *Core) followHead(head manifest.ID) {
	switch {
	case head.Version < c.poll.appliedThen.Version:
		c.refuse(event.ConfigOlderHead, Refusal{
			ID:     head,
			Code:   code.ApplyOlderHead,
			Detail: "the head is below " + c.poll.appliedThen.String() + " in force",
		})
	case head.Version < c.floor.Version && head.Version > c.Applied().Version:
		c.refuse(event.ConfigOlderHead, Refusal{
			ID:     head,
			Code:   code.ApplyBelowFloor,
			Detail: "this instance applied " + c.floor.String() + " before",
		})
	default:
		c.clearHead()
		c.offer(head, offerFrom{platform: true, hops: c.cfg.NoticeHops})
	}
}
