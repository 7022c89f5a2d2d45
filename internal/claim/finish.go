package claim

import (
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// finish records how an attempt ended.
func (c *Core) finish(call step.CallID, req *peerv1.FinishClaimRequest) {
	key, ok := HashFrom(req.GetKey())
	if !ok || req.GetMesh() != c.cfg.Mesh || !validID(req.GetAttempt()) {
		c.reply(call, &peerv1.FinishClaimResponse{})
		return
	}
	if req.GetReleased() {
		c.finishReleased(call, key, req.GetAttempt())
		return
	}
	accepted := c.finishDone(key, req)
	c.reply(call, &peerv1.FinishClaimResponse{Accepted: accepted})
}

// finishDone records that an attempt ran, and reports whether it did.
func (c *Core) finishDone(key Hash, req *peerv1.FinishClaimRequest) bool {
	e := c.entries[key]
	if e == nil || e.attempt != req.GetAttempt() {
		return false
	}
	if e.state == done {
		return true
	}
	if e.state != claimed {
		// Not granted here: news of an attempt that this holder refused.
		return false
	}
	e.state = done
	c.keepAnswer(e, req.GetAnswer())
	waiters := e.waiters
	e.waiters = nil
	c.waiting -= len(waiters)
	for _, w := range waiters {
		c.decideDone(w.call, e)
	}
	return true
}

// finishReleased makes sure that an attempt is not granted any more, frees its
// key, and answers once the table agrees.
func (c *Core) finishReleased(call step.CallID, key Hash, attempt string) {
	c.bury(attempt)
	e := c.entries[key]
	if e == nil {
		if c.table.away || !c.views.holds(key, c.cfg.DataCentre) {
			c.reply(call, &peerv1.FinishClaimResponse{})
			return
		}
		// Another holder may have granted it: look into the table.
		e = &entry{key: key, attempt: attempt, state: claimed, maybeWritten: true, foreign: true}
		c.add(e)
	}
	if e.attempt != attempt || e.state == done {
		c.reply(call, &peerv1.FinishClaimResponse{Accepted: e.attempt != attempt})
		return
	}
	e.releases = append(e.releases, call)
	if e.state == releasing {
		return
	}
	c.stats.Released++
	c.info(event.ClaimReleased, step.F("key", key), step.F("attempt", attempt))
	c.abandonGrants(e)
	c.release(e)
}

// abandonGrants refuses the attempt's own calls that still wait.
func (c *Core) abandonGrants(e *entry) {
	grants := e.grants
	e.grants = nil
	for _, call := range grants {
		c.refuse(call, e.key, code.ClaimTableUnavailable)
	}
}

// release frees the key of an attempt that never ran: at once when no row can
// be in the table, else after the row is deleted.
func (c *Core) release(e *entry) {
	e.state = releasing
	if !e.written && !e.maybeWritten && !c.inFlight(e) {
		c.forget(e)
		return
	}
	c.listDelete(e)
}

// bury remembers that an attempt must not be granted.
func (c *Core) bury(attempt string) {
	if _, known := c.released[attempt]; known {
		return
	}
	if len(c.releasedOrder) >= c.cfg.MaxClaims {
		delete(c.released, c.releasedOrder[0].attempt)
		c.releasedOrder = c.releasedOrder[1:]
	}
	c.released[attempt] = struct{}{}
	c.releasedOrder = append(c.releasedOrder, releasedAttempt{at: c.now.Now + c.cfg.Horizon, attempt: attempt})
}

// keepAnswer keeps an answer for repeats within the bounds; older answers make
// room.
func (c *Core) keepAnswer(e *entry, answer *peerv1.StoredAnswer) {
	if answer == nil || len(answer.GetBody()) > c.cfg.MaxAnswerSize {
		return
	}
	e.answer = answer
	c.answers = append(c.answers, e)
	c.answerBytes += answerSize(answer)
	for len(c.answers) > c.cfg.MaxAnswers || c.answerBytes > c.cfg.MaxAnswerBytes {
		c.dropAnswer(c.answers[0])
	}
}

func (c *Core) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	c.answerBytes -= answerSize(e.answer)
	e.answer = nil
	for i, kept := range c.answers {
		if kept == e {
			c.answers = append(c.answers[:i], c.answers[i+1:]...)
			return
		}
	}
}

func answerSize(answer *peerv1.StoredAnswer) int {
	size := len(answer.GetBody())
	for _, header := range answer.GetHeaders() {
		size += len(header.GetName()) + len(header.GetValue())
	}
	return size
}

// window is how far back the past bears on what may be granted.
func (c *Core) window() time.Duration {
	return c.cfg.Horizon + c.cfg.DetectionMargin
}

// replyReleases answers the calls that wait for the entry's release.
func (c *Core) replyReleases(e *entry, accepted bool) {
	releases := e.releases
	e.releases = nil
	for _, call := range releases {
		c.reply(call, &peerv1.FinishClaimResponse{Accepted: accepted})
	}
}
