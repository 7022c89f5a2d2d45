package claim

import (
	"errors"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// failuresUntilAway is how many transactions in a row must fail before the
// platform counts as away; the first failure is tried again at once.
const failuresUntilAway = 2

// kind is what a transaction is for.
type kind uint8

const (
	insertRows kind = iota + 1
	deleteRows
	checkMarker
)

// transaction is the one table transaction in flight.
type transaction struct {
	batch   uint64
	kind    kind
	entries []*entry
	// marker is set when the transaction also writes the marker.
	marker bool
	sent   time.Duration
}

// tableHealth is what the holder believes of the platform's table.
type tableHealth struct {
	failures int
	away     bool
	// tried is when the last transaction was sent.
	tried time.Duration
}

// listInsert queues an entry whose row is to be written.
func (c *Core) listInsert(e *entry) {
	if !e.inserting {
		e.inserting = true
		c.inserts = append(c.inserts, e)
	}
}

// listDelete queues an entry whose row is to be deleted. One that is part of
// the transaction in flight is queued when that ends.
func (c *Core) listDelete(e *entry) {
	if e.deleting || c.inFlight(e) {
		return
	}
	e.deleting = true
	c.deletes = append(c.deletes, e)
}

func (c *Core) inFlight(e *entry) bool {
	if c.flight == nil {
		return false
	}
	for _, sent := range c.flight.entries {
		if sent == e {
			return true
		}
	}
	return false
}

// pump sends the next transaction when none is in flight. Inserts go first,
// since callers wait for them; while the platform is away, one transaction is
// sent now and then to see whether it is back.
func (c *Core) pump() {
	if c.flight != nil {
		return
	}
	if c.table.away && c.now.Now < c.table.tried+c.cfg.ProbeInterval {
		return
	}
	if c.markerUnknown() {
		c.sendMarkerCheck()
		return
	}
	if c.sendInserts() {
		return
	}
	c.sendDeletes()
	if c.flight == nil && c.table.away {
		c.sendMarkerCheck()
	}
}

func (c *Core) sendInserts() bool {
	var batch []*entry
	for len(c.inserts) > 0 && len(batch) < c.cfg.MaxBatch-1 {
		e := c.inserts[0]
		c.inserts = c.inserts[1:]
		e.inserting = false
		if c.entries[e.key] == e && e.state != releasing && !e.written {
			batch = append(batch, e)
		}
	}
	marker := c.markerDue()
	if len(batch) == 0 && !marker {
		return false
	}
	var tx platform.Transaction
	if marker {
		tx.Writes = append(tx.Writes, platform.Write{Key: c.markerKey(), Value: []byte(c.views.self), IfAbsent: true})
	}
	for _, e := range batch {
		tx.Writes = append(tx.Writes, platform.Write{
			Key:        rowKey(e.key),
			Value:      e.rowValue(),
			IfAbsent:   true,
			TTLSeconds: uint32(2 * c.window() / time.Second),
		})
	}
	c.send(&transaction{kind: insertRows, entries: batch, marker: marker}, tx)
	return true
}

// sendDeletes deletes rows by their exact revision, so that a delete which is
// repeated or arrives late never takes away the row of a later attempt.
func (c *Core) sendDeletes() {
	var batch, later []*entry
	var tx platform.Transaction
	for _, e := range c.deletes {
		e.deleting = false
		switch {
		case c.entries[e.key] != e || e.state != releasing:
			// Forgotten meanwhile.
		case e.revision == 0:
			c.readRow(e)
			later = append(later, e)
		case len(batch) >= c.cfg.MaxBatch:
			later = append(later, e)
		default:
			batch = append(batch, e)
			key := rowKey(e.key)
			tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Revision: e.revision})
			tx.Writes = append(tx.Writes, platform.Write{Key: key, Delete: true})
		}
	}
	for _, e := range later {
		e.deleting = true
	}
	c.deletes = later
	if len(batch) > 0 {
		c.send(&transaction{kind: deleteRows, entries: batch}, tx)
	}
}

func (c *Core) send(flight *transaction, tx platform.Transaction) {
	flight.batch = c.id()
	flight.sent = c.now.Now
	c.flight = flight
	c.table.tried = c.now.Now
	c.stats.Batches++
	c.stats.Rows += uint64(len(tx.Writes))
	c.emit(WriteClaims{Batch: flight.batch, Transaction: tx})
}

func (c *Core) readRow(e *entry) {
	if e.reading {
		return
	}
	e.reading = true
	c.emit(ReadClaim{Key: rowKey(e.key)})
}

// expireFlight gives up a transaction that got no answer in time.
func (c *Core) expireFlight() {
	if c.flight == nil || c.now.Now < c.flight.sent+c.cfg.WriteTimeout {
		return
	}
	c.flightLost()
	c.tableFailed()
}

// flightLost lists the entries of the transaction in flight again; its late
// answer is ignored.
func (c *Core) flightLost() {
	flight := c.flight
	c.flight = nil
	for _, e := range flight.entries {
		if flight.kind == insertRows {
			e.maybeWritten = true
		}
		c.relist(e)
	}
}

// relist queues again what a transaction did not settle.
func (c *Core) relist(e *entry) {
	if c.entries[e.key] != e {
		return
	}
	if e.state != releasing {
		c.listInsert(e)
		return
	}
	if !e.written && !e.maybeWritten {
		c.forget(e)
		return
	}
	c.listDelete(e)
}

// tableWritten takes the answer to the transaction in flight; others are late
// and were given up.
func (c *Core) tableWritten(ev TableWritten) {
	if c.flight == nil || c.flight.batch != ev.Batch {
		return
	}
	var conflict *platform.ConflictError
	switch {
	case ev.Err == nil:
		c.tableAnswered()
		c.flightDone(ev.Result)
	case errors.As(ev.Err, &conflict):
		c.tableAnswered()
		c.flightConflict(conflict)
	case errors.Is(ev.Err, platform.ErrUnavailable):
		flight := c.flight
		c.flight = nil
		for _, e := range flight.entries {
			c.relist(e)
		}
		c.tableFailed()
	default:
		c.flightLost()
		c.tableFailed()
	}
}

// flightDone settles a transaction that took effect.
func (c *Core) flightDone(result platform.Result) {
	flight := c.flight
	c.flight = nil
	if flight.marker {
		c.marker.present = true
	}
	switch flight.kind {
	case checkMarker:
		c.markerKnown(true)
	case deleteRows:
		for _, e := range flight.entries {
			c.forget(e)
		}
	case insertRows:
		c.rowsInserted(flight, result)
	}
}

func (c *Core) rowsInserted(flight *transaction, result platform.Result) {
	existing := make(map[string]platform.Row, len(result.Existing))
	for _, row := range result.Existing {
		existing[row.Key] = row
	}
	for _, e := range flight.entries {
		row, found := existing[rowKey(e.key)]
		if !found {
			c.rowWritten(e, result.Revision)
			continue
		}
		c.rowFound(e, row)
	}
	c.info(event.ClaimsWritten, step.F("rows", len(flight.entries)),
		step.F("existing", len(existing)), step.F("took", c.now.Now-flight.sent))
}

// flightConflict settles a transaction whose precondition did not hold. Of
// deletes, the row that was not as expected is read again and the others are
// tried again.
func (c *Core) flightConflict(conflict *platform.ConflictError) {
	flight := c.flight
	c.flight = nil
	if flight.kind == checkMarker {
		c.markerKnown(false)
		return
	}
	for _, e := range flight.entries {
		if rowKey(e.key) == conflict.Key {
			e.revision = 0
		}
		c.relist(e)
	}
}

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

func (c *Core) tableAnswered() {
	if c.table.away {
		c.info(event.PlatformRecovered, step.F("by", "claims"))
	}
	c.table.failures = 0
	c.table.away = false
}

// tableFailed counts a failed transaction. Once the platform counts as away,
// the claims that wait for it are granted from memory or refused.
func (c *Core) tableFailed() {
	c.table.failures++
	if c.table.failures < failuresUntilAway {
		return
	}
	if !c.table.away {
		c.table.away = true
		c.warn(event.PlatformLost, step.F("by", "claims"))
	}
	for _, e := range c.inserts {
		if c.entries[e.key] == e && e.state == queued {
			c.grantFromMemory(e)
		}
	}
	for _, e := range c.deletes {
		c.answerReleases(e, false)
	}
}

// answerReleases answers those that wait for a release which cannot be
// finished now. The attempt itself stays refused.
func (c *Core) answerReleases(e *entry, accepted bool) {
	c.replyReleases(e, accepted)
	waiters := e.waiters
	e.waiters = nil
	c.waiting -= len(waiters)
	for _, w := range waiters {
		c.refuse(w.call, e.key, code.ClaimTableUnavailable)
	}
}
