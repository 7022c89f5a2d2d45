// Package store defines the interface through which the daemon uses the
// platform's store: tables of versioned rows that can be read, written and
// watched. The client of the platform's protocol implements it.
package store

import (
	"context"
	"errors"
	"time"
)

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Position is that of the row's last change.
	Position Position
	// Removed is set when the row was removed; Value is then empty.
	Removed bool
	// Err says why the row cannot be read. The row exists or was removed; Value is empty
	// and Removed is not set. Position is zero if it cannot be read either.
	Err error
}

// Reading is a reading of the store's clock: an answer to a call. StoreTime is what the
// clock showed, at some time after Sent on this machine's boot-time clock. The zero
// Reading means that the answer had none.
type Reading struct {
	StoreTime time.Duration
	Sent      time.Duration
}

// maxMS is the latest time in milliseconds that the store's clock may show, 139 years
// after its start, so that sums with other times do not overflow.
const maxMS = 1 << 42

// TimeFromMS returns a time on the store's clock that is given in milliseconds, and
// whether it is one that the clock can show. 0 means that the time is unknown.
func TimeFromMS(ms uint64) (time.Duration, bool) {
	if ms == 0 || ms > maxMS {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Rows holds all rows of a table, or the rows changed after an earlier version.
type Rows struct {
	Rows []Row
	// Unnamed says of each row whose key cannot be read why. Each may be one that is not
	// in Rows, so that such a row need not be absent.
	Unnamed []error
	// Position is the one up to which Rows is complete. Rows may hold some later
	// changes as well; a Watch after Position returns these again.
	Position Position
	// Reading is from the answer, or from the first of several.
	Reading Reading
	// More is set if some of the changes until Reading are not in Rows.
	More bool
}

// Errors returned by the methods of Store.
var (
	// ErrRefused means that the store did not perform the call.
	ErrRefused = errors.New("store refused the call")
	// ErrOutcomeUnknown means that the store did not answer or sent an invalid
	// answer; a write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("store did not answer")
	// ErrHistoryGone means that the store no longer keeps the requested changes;
	// the table must be read again in full.
	ErrHistoryGone = errors.New("store no longer has these changes")
	// ErrEarlierEra means that the answer describes rows that the store has lost
	// since, because it came back from an older copy.
	ErrEarlierEra = errors.New("store answered from an earlier era")
	// ErrConflict means that a row of a conditional write had another version than
	// expected, and nothing was written.
	ErrConflict = errors.New("store has another version of a row")
)

// Write is a row to be written. Expect is the version that the row must have, 0 for
// one that does not exist; CheckOnly leaves the row as it is.
type Write struct {
	Table     string
	Key       string
	Value     []byte
	Expect    uint64
	CheckOnly bool
}

// TableRow is a row and its table.
type TableRow struct {
	Table string
	Row
}

// Store reads, writes and watches tables. All methods are safe for concurrent
// use.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Rows, error)
	// Watch blocks until a row of the table has changed after a position, or wait
	// has elapsed, and returns the changed rows in order. It returns ErrHistoryGone
	// if the store no longer keeps all of these changes. If the result is of a
	// later era than after, the table must be read again in full.
	Watch(ctx context.Context, table string, after Position, wait time.Duration) (Rows, error)
	// Put creates or overwrites a row.
	Put(ctx context.Context, table, key string, value []byte) error
	// PutIf writes all rows, or none if one has another version than expected. It
	// returns the position of the write, or with ErrConflict the rows that the store
	// names, which may be only some of those that differ.
	PutIf(ctx context.Context, writes []Write) (Position, []TableRow, error)
	// Eras returns the tracker of the era of the store's answers.
	Eras() *EraTracker
	// SetClock sets the boot-time clock of readings. It must be called before the first
	// call.
	SetClock(clock func() time.Duration)
	// SetAddress sets the store's address, host:port, for subsequent calls.
	SetAddress(address string)
	// Remove removes a row; a missing row is not an error.
	Remove(ctx context.Context, table, key string) error
}
