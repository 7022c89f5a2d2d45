// Package platform is the client of the platform's transactional table
// service and object store: the only place where the mesh keeps or agrees on
// anything. It speaks the platform's HTTP protocol.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the number of the transaction that wrote the row last; it
	// only grows.
	Revision uint64 `json:"revision"`
}

// Precondition must hold for a transaction to take effect.
type Precondition struct {
	Key string `json:"key"`
	// Absent asks that the row does not exist; otherwise Revision must be
	// the row's revision.
	Absent   bool   `json:"absent,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// Write is one row written or deleted by a transaction.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// TTLSeconds, when not 0, is after how long the platform may drop the row.
	TTLSeconds uint32 `json:"ttl_seconds,omitempty"`
	// IfAbsent skips just this write when the row exists; the result says so.
	IfAbsent bool `json:"if_absent,omitempty"`
}

// Transaction is applied whole or not at all.
type Transaction struct {
	Preconditions []Precondition `json:"preconditions,omitempty"`
	Writes        []Write        `json:"writes"`
}

// Result is what a transaction did.
type Result struct {
	Revision uint64 `json:"revision"`
	// Existing holds the rows that IfAbsent writes found in place.
	Existing []Row `json:"existing,omitempty"`
}

// MaxWrites is how many writes one transaction may carry.
const MaxWrites = 500

// Errors of a Store. ErrUnavailable means that nothing took effect; ErrUnknown
// that a write may have.
var (
	ErrNotFound    = errors.New("platform: not found")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrUnknown     = errors.New("platform: answer lost, the write may have taken effect")
)

// ConflictError tells which precondition did not hold.
type ConflictError struct {
	Key string
	// Current is the row as it is; its Revision is 0 when there is none.
	Current Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: precondition on %q failed at revision %d", e.Key, e.Current.Revision)
}

// Store is the platform as the mesh sees it.
type Store interface {
	// Read returns a row, or ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with the prefix, after the key after, in
	// key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact applies a transaction, or returns *ConflictError,
	// ErrUnavailable or ErrUnknown.
	Transact(ctx context.Context, tx Transaction) (Result, error)
	// PutObject stores an object. Objects are never changed once stored.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns an object, or ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
