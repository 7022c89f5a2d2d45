// Package store is what the product needs of the platform's store: rows in
// tables, each with a version that only grows, and a wait for changes. The
// client of the platform's protocol implements it.
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
	// Version is from one counter over all tables; a later change of any row
	// has a larger one.
	Version uint64
	// Removed is set when the row is gone; it has no value then.
	Removed bool
}

// Rows are rows of one table as of one moment, or the changes after another.
type Rows struct {
	Rows []Row
	// Version is the newest version of the store at that moment.
	Version uint64
}

// What a call ends with otherwise.
var (
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrUnknown means that the store did not answer; a write may have been
	// performed, or may be performed later.
	ErrUnknown = errors.New("store did not answer")
	// ErrHistoryGone means that the changes asked for are not kept any more;
	// the table has to be read anew.
	ErrHistoryGone = errors.New("store no longer has these changes")
)

// Store reads and writes rows. All methods may be called from any goroutine.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Rows, error)
	// Watch waits until a row of the table has a version above after, or the
	// wait is over, and returns the changed rows in order.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
	// Put writes a row, whatever it held.
	Put(ctx context.Context, table, key string, value []byte) error
	// SetAddress changes the store's address, host:port, for the calls that
	// follow.
	SetAddress(address string)
	// Remove removes a row if there is one.
	Remove(ctx context.Context, table, key string) error
}
