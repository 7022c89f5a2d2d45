package claim

import (
	"errors"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// rowWritten notes that the entry's row is in the table, and grants it unless
// it was released meanwhile.
func (c *Core) rowWritten(e *entry, revision uint64) {
	e.written = true
	e.revision = revision
	if c.entries[e.key] != e {
		return
	}
	switch e.state {
	case releasing:
		c.listDelete(e)
	case queued, replicating:
		c.grantWritten(e)
	}
}

// grantWritten grants a claim whose row is in the table. One whose key moved
// to another holder meanwhile is not granted: that holder was told all that
// this one had granted, and not this.
func (c *Core) grantWritten(e *entry) {
	if c.leaving || !c.views.holds(e.key, c.cfg.DataCentre) {
		c.abandon(e, code.ClaimHolderNoTenure)
		return
	}
	c.granted(e, false)
}

// rowFound settles an entry whose key has a row already.
func (c *Core) rowFound(e *entry, row platform.Row) {
	held := parseRow(row.Value)
	if held.GetAttempt() == e.attempt {
		c.rowWritten(e, row.Revision)
		return
	}
	if c.entries[e.key] != e {
		return
	}
	switch e.state {
	case releasing:
		c.forget(e)
	case claimed, done:
		if e.foreign {
			// A copy that its holder told and did not grant, or granted later
			// under another attempt through the table.
			e.attempt, e.executor = held.GetAttempt(), held.GetExecutor()
			e.written, e.revision = true, row.Revision
			return
		}
		// Granted from memory, and by another holder too: the tenure rule was
		// broken. The row stands; this entry goes on blocking the key.
		e.written = true
		c.stats.Conflicts++
		c.warn(event.ClaimRefused, step.F("key", e.key), step.F("attempt", e.attempt),
			step.F("other", held.GetAttempt()), step.F("conflict", true))
	default:
		c.takeForeign(e, held.GetAttempt(), held.GetExecutor(), held.GetFingerprint(), held.GetClaimedAt(), row.Revision)
	}
}

// takeForeign turns a waiting entry into the claim of another holder's
// attempt, and answers all that wait for it.
func (c *Core) takeForeign(e *entry, attempt, executor string, fingerprint []byte, claimedAt int64, revision uint64) {
	mine := e.fingerprint
	e.fingerprint, _ = HashFrom(fingerprint)
	e.attempt, e.executor, e.claimedAt = attempt, executor, claimedAt
	e.state, e.written, e.revision, e.foreign = claimed, true, revision, true
	grants := e.grants
	waiters := e.waiters
	e.grants, e.waiters = nil, nil
	c.waiting -= len(waiters)
	for _, call := range grants {
		c.answerForeign(call, e, mine)
	}
	for _, w := range waiters {
		theirs, _ := HashFrom(w.request.GetFingerprint())
		c.answerForeign(w.call, e, theirs)
	}
}

func (c *Core) answerForeign(call step.CallID, e *entry, fingerprint Hash) {
	if e.fingerprint != fingerprint {
		c.decideMismatch(call)
		return
	}
	c.decideRunning(call, e)
}

// tableRead settles a release that did not know its row.
func (c *Core) tableRead(ev TableRead) {
	key, ok := keyOfRow(ev.Key)
	if !ok {
		return
	}
	e := c.entries[key]
	if e == nil || !e.reading {
		return
	}
	e.reading = false
	if e.state != releasing {
		return
	}
	switch {
	case errors.Is(ev.Err, platform.ErrNotFound):
		c.forget(e)
	case ev.Err != nil:
		c.tableFailed()
	case parseRow(ev.Row.Value).GetAttempt() != e.attempt:
		c.forget(e)
	default:
		e.revision = ev.Row.Revision
		e.written = true
	}
}
