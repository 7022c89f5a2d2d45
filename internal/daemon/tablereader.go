package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/event"
	"godwitmount/internal/store"
)

// tableReader tracks the rows of one table in the store.
type tableReader struct {
	store store.Store
	name  string
	// apply receives all rows (complete) or only the changed ones.
	apply func(rows store.Rows, complete bool)
	// answered is called with each answer after apply, if not nil.
	answered func(rows store.Rows)
	// reread reports whether the next call is to read the whole table, if not nil.
	reread func() bool
	// notify is called with true when the store becomes unavailable and with
	// false when it answers again.
	notify func(unavailable bool)
	log    *asynclog.Logger
	// addressChanges counts how often the store's address was changed. A position of one
	// store means nothing to another.
	addressChanges *atomic.Int64

	// seenChanges is the value of addressChanges at the last call.
	seenChanges int64
	// position is the store's position up to which rows were read; it is valid
	// while synced is set. synced is cleared when the store no longer keeps the
	// changes since then, or has come back from an older copy.
	position    store.Position
	synced      bool
	unavailable bool
	// storeTime is the store's clock in the last answer, 0 if that had none, and
	// storeTimeAt when the answer was received. changed is set if it had rows.
	storeTime   time.Duration
	storeTimeAt time.Time
	changed     bool
	// unreadable describes the rows that could not be read when there were last any.
	unreadable string
	// backoff is the delay after the next failure.
	backoff time.Duration
}

// poll reads the table or, once synced, its changes, for which it waits up to
// wait. It reports whether the call succeeded; after a failure it first sleeps
// for the backoff. If ctx ends or the store's address changes during the call, it
// returns at once.
func (t *tableReader) poll(ctx context.Context, wait time.Duration) bool {
	began := time.Now()
	changes := t.addressChanges.Load()
	t.synced = t.synced && changes == t.seenChanges
	t.seenChanges = changes
	rows, err := t.readOrWatch(ctx, wait)
	if err == nil && t.newUnreadable(rows) {
		// The rows may be sound and only this answer was not. If not, go on without them.
		sleep(ctx, minBackoff)
		rows, err = t.readOrWatch(ctx, wait)
	}
	if err != nil && ctx.Err() != nil || t.addressChanges.Load() != changes {
		return false
	}
	if err != nil {
		t.synced = t.synced && !errors.Is(err, store.ErrHistoryGone)
		t.failed(ctx, err, time.Since(began))
		sleep(ctx, t.backoff)
		t.backoff = min(2*t.backoff, maxBackoff)
		return false
	}
	t.recovered(time.Since(began))
	t.backoff = minBackoff
	if len(rows.Rows) > 0 || !t.synced {
		t.apply(rows, !t.synced)
	}
	if !t.synced || rows.Position.After(t.position) {
		t.position = rows.Position
	}
	t.synced = true
	t.storeTime, t.storeTimeAt, t.changed = rows.Reading.StoreTime, time.Now(), len(rows.Rows) > 0
	if t.answered != nil {
		t.answered(rows)
	}
	return true
}

// newUnreadable logs the rows that cannot be read, if they are not those of the last answer
// that had any, and reports whether it has.
func (t *tableReader) newUnreadable(rows store.Rows) bool {
	count, first := len(rows.Unnamed), ""
	if count > 0 {
		first = rows.Unnamed[0].Error()
	}
	for _, row := range rows.Rows {
		if row.Err == nil {
			continue
		}
		if count == 0 {
			first = fmt.Sprintf("%q: %v", row.Key, row.Err)
		}
		count++
	}
	unreadable := fmt.Sprintf("%d rows, the first: %s", count, first)
	if count == 0 || unreadable == t.unreadable {
		return false
	}
	t.unreadable = unreadable
	t.log.Warn(event.StoreRowUnreadable, zap.String("table", t.name), zap.Int("rows", count), zap.String("error", first))
	return true
}

// storeNow estimates the present time of the store's clock; 0 is unknown.
func (t *tableReader) storeNow() time.Duration {
	if t.storeTime == 0 {
		return 0
	}
	return t.storeTime + time.Since(t.storeTimeAt)
}

// readOrWatch reads the table, or its changes if those since the last call are
// known to be complete. It clears synced if the store has come back from an older
// copy since then, or reread demands it, and reads the table in full.
func (t *tableReader) readOrWatch(ctx context.Context, wait time.Duration) (store.Rows, error) {
	reread := t.reread != nil && t.reread()
	if t.synced && !reread && t.position.Era == t.store.Eras().Latest() {
		rows, err := t.store.Watch(ctx, t.name, t.position, wait)
		if err != nil || rows.Position.Era == t.position.Era {
			return rows, err
		}
	}
	t.synced = false
	return t.store.Read(ctx, t.name)
}

// failed logs a failed call that took the given time, and reports the store as
// unavailable at the first one.
func (t *tableReader) failed(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, store.ErrEarlierEra) {
		t.log.Event(event.StoreLost, zap.String("table", t.name), zap.Error(err))
		return
	}
	if errors.Is(err, store.ErrHistoryGone) {
		t.log.Event(event.StoreHistoryGone, zap.String("table", t.name))
		return
	}
	fields := []zap.Field{zap.String("table", t.name), zap.Duration("took", took), zap.Error(err)}
	if t.unavailable {
		t.log.Event(event.StoreCallFailed, fields...)
		return
	}
	t.unavailable = true
	t.notify(true)
	t.log.Warn(event.StoreLost, fields...)
}

// recovered logs the first answered call after failed ones, which took the given
// time, and reports the store as available again.
func (t *tableReader) recovered(took time.Duration) {
	if t.unavailable {
		t.unavailable = false
		t.notify(false)
		t.log.Event(event.StoreRecovered, zap.String("table", t.name), zap.Duration("took", took))
	}
}
