package claim

import (
	"time"
	"unicode/utf8"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// maxAttemptLength bounds attempt and executor ids in bytes.
const maxAttemptLength = 128

// acquire decides whether an attempt may run under its key.
func (c *Core) acquire(call step.CallID, req *peerv1.AcquireClaimRequest) {
	key, fingerprint, ok := c.validAcquire(req)
	if !ok {
		c.refuse(call, key, code.ClaimKeyInvalid)
		return
	}
	if why := c.mayDecide(key, req.GetAttempt()); why != code.OK {
		c.refuse(call, key, why)
		return
	}
	if e := c.entries[key]; e != nil {
		c.repeat(call, req, e, fingerprint)
		return
	}
	if len(c.entries) >= c.cfg.MaxClaims || len(c.inserts) >= c.cfg.MaxQueue {
		c.refuse(call, key, code.ClaimOverloaded)
		return
	}
	e := &entry{
		key:         key,
		fingerprint: fingerprint,
		attempt:     req.GetAttempt(),
		executor:    req.GetExecutor(),
		state:       queued,
		claimedAt:   c.now.Wall.UnixMilli(),
		grants:      []step.CallID{call},
	}
	c.add(e)
	if c.table.away {
		c.grantFromMemory(e)
		return
	}
	c.listInsert(e)
}

func (c *Core) validAcquire(req *peerv1.AcquireClaimRequest) (key, fingerprint Hash, ok bool) {
	key, keyOK := HashFrom(req.GetKey())
	fingerprint, fingerprintOK := HashFrom(req.GetFingerprint())
	ok = keyOK && fingerprintOK && req.GetMesh() == c.cfg.Mesh &&
		validID(req.GetAttempt()) && validID(req.GetExecutor())
	return key, fingerprint, ok
}

func validID(id string) bool {
	return id != "" && len(id) <= maxAttemptLength && utf8.ValidString(id)
}

// mayDecide returns why this daemon may not decide about a key, or code.OK.
func (c *Core) mayDecide(key Hash, attempt string) code.Code {
	if c.leaving || !c.views.holds(key, c.cfg.DataCentre) {
		return code.ClaimHolderNoTenure
	}
	if !c.informed(key) {
		return code.ClaimHolderNoTenure
	}
	if _, released := c.released[attempt]; released {
		return code.ClaimTableUnavailable
	}
	return code.OK
}

// repeat answers a request whose key is known.
func (c *Core) repeat(call step.CallID, req *peerv1.AcquireClaimRequest, e *entry, fingerprint Hash) {
	switch {
	case e.state == releasing && c.table.away:
		c.refuse(call, e.key, code.ClaimTableUnavailable)
	case e.state == releasing:
		c.park(call, req, e)
	case e.fingerprint != fingerprint:
		c.decideMismatch(call)
	case e.state == done:
		c.decideDone(call, e)
	case e.attempt == req.GetAttempt() && e.state == claimed && !e.replica:
		c.grant(call, e)
	case e.attempt == req.GetAttempt() && e.state != claimed:
		e.grants = append(e.grants, call)
	case e.foreign || e.replica:
		c.decideRunning(call, e)
	default:
		c.park(call, req, e)
	}
}

// park lets a repeat wait for the attempt to end, within its time.
func (c *Core) park(call step.CallID, req *peerv1.AcquireClaimRequest, e *entry) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, c.cfg.MaxWait)
	if wait <= 0 || c.waiting >= c.cfg.MaxQueue {
		c.endWait(call, e)
		return
	}
	c.waiting++
	e.waiters = append(e.waiters, waiter{call: call, request: req, deadline: c.now.Now + wait})
	if !e.parked {
		e.parked = true
		c.parked = append(c.parked, e)
	}
}

// endWait answers a repeat whose time is over.
func (c *Core) endWait(call step.CallID, e *entry) {
	if e.state == releasing || e.state == queued || e.state == replicating {
		// Nothing has been granted under the key that could have run.
		c.refuse(call, e.key, code.ClaimTableUnavailable)
		return
	}
	c.decideRunning(call, e)
}

func (c *Core) expireWaiters() {
	parked := c.parked
	c.parked = nil
	for _, e := range parked {
		c.expireWaitersOf(e)
		e.parked = len(e.waiters) > 0
		if e.parked {
			c.parked = append(c.parked, e)
		}
	}
}

func (c *Core) expireWaitersOf(e *entry) {
	kept := e.waiters[:0]
	for _, w := range e.waiters {
		if w.deadline > c.now.Now {
			kept = append(kept, w)
			continue
		}
		c.waiting--
		c.endWait(w.call, e)
	}
	e.waiters = kept
}

// decideRunning tells a repeat that the attempt may be running. An old one
// whose end nobody reported may as well have run.
func (c *Core) decideRunning(call step.CallID, e *entry) {
	age := time.Duration(c.now.Wall.UnixMilli()-e.claimedAt) * time.Millisecond
	if age > c.cfg.MaxWait {
		c.decide(call, peerv1.ClaimOutcome_CLAIM_OUTCOME_DONE, code.ClaimRunAnswerNotKept, 0, nil)
		return
	}
	c.decide(call, peerv1.ClaimOutcome_CLAIM_OUTCOME_RUNNING, code.ClaimStillRunning, c.cfg.RetryAfter, nil)
}

func (c *Core) decideDone(call step.CallID, e *entry) {
	why := code.OK
	if e.answer == nil {
		why = code.ClaimRunAnswerNotKept
	}
	c.decide(call, peerv1.ClaimOutcome_CLAIM_OUTCOME_DONE, why, 0, e.answer)
}

func (c *Core) decideMismatch(call step.CallID) {
	c.decide(call, peerv1.ClaimOutcome_CLAIM_OUTCOME_MISMATCH, code.ClaimKeyReused, 0, nil)
}

// grant tells one call of the attempt that it may run.
func (c *Core) grant(call step.CallID, e *entry) {
	c.decide(call, peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED, code.OK, 0, nil)
}

// granted moves an entry to claimed and tells its attempt.
func (c *Core) granted(e *entry, fromMemory bool) {
	e.state = claimed
	c.stats.Granted++
	if fromMemory {
		c.stats.GrantedFromMemory++
	}
	c.info(event.ClaimGranted,
		step.F("key", e.key), step.F("attempt", e.attempt),
		step.F("executor", e.executor), step.F("from_memory", fromMemory))
	for _, call := range e.grants {
		c.grant(call, e)
	}
	e.grants = nil
}

// abandon refuses an entry that was not granted. Its row may be in the table,
// and is then deleted.
func (c *Core) abandon(e *entry, why code.Code) {
	for _, call := range e.grants {
		c.refuse(call, e.key, why)
	}
	e.grants = nil
	c.release(e)
}
