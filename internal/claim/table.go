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
