package publish

import (
	"context"
	"errors"
	"fmt"
	"godwitmount/internal/code"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
)

// DigestError means that an object's body is not the one its name says.
type DigestError struct {
	Want, Got manifest.Digest
	// Cause is set when the object cannot be decompressed at all.
	Cause error
}

// Unwrap returns the cause, if any.
func (e *DigestError) Unwrap() error { return e.Cause }

// Code returns the numbered result code.
func (e *DigestError) Code() code.Code { return code.ApplyDigestMismatch }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("body has digest %s, want %s", e.Got.Short(), e.Want.Short())
}

// ReadHead returns the newest accepted version, or the zero Head when none was
// ever accepted.
func ReadHead(ctx context.Context, store platform.Store) (Head, error) {
	row, err := store.Read(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("read head: %w", err)
	}
	return parseHead(row)
}

// ConfirmHead returns the newest accepted version as a transaction sees it, so
// that it is current even where reads may be answered from old data.
func ConfirmHead(ctx context.Context, store platform.Store) (Head, error) {
	head, err := ReadHead(ctx, store)
	if err != nil {
		return Head{}, err
	}
	_, err = store.Transact(ctx, platform.Transaction{Preconditions: []platform.Precondition{head.precondition()}})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return head, nil
	case !errors.As(err, &conflict):
		return Head{}, fmt.Errorf("confirm head: %w", err)
	case conflict.Current.Revision == 0:
		return Head{}, nil
	}
	return parseHead(conflict.Current)
}

// ReadBody returns the body with this digest, or a *DigestError when the
// platform holds another one under its name.
func ReadBody(ctx context.Context, store platform.Store, digest manifest.Digest) ([]byte, error) {
	object, err := store.GetObject(ctx, ObjectName(digest))
	if err != nil {
		return nil, fmt.Errorf("read manifest %s: %w", digest.Short(), err)
	}
	body, err := manifest.ApplyDelta(nil, object)
	if err != nil {
		return nil, &DigestError{Want: digest, Got: manifest.DigestOf(object), Cause: err}
	}
	if got := manifest.DigestOf(body); got != digest {
		return nil, &DigestError{Want: digest, Got: got}
	}
	return body, nil
}

// History returns up to limit rows of history after the given version, oldest
// first.
func History(ctx context.Context, store platform.Store, after uint64, limit int) ([]HistoryRow, error) {
	rows, err := store.Scan(ctx, HistoryPrefix, HistoryKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	history := make([]HistoryRow, 0, len(rows))
	for _, row := range rows {
		parsed, err := parseHistory(row)
		if err != nil {
			return nil, err
		}
		history = append(history, parsed)
	}
	return history, nil
}

// ReadVersion returns one version's row of history, or platform.ErrNotFound.
func ReadVersion(ctx context.Context, store platform.Store, version uint64) (HistoryRow, error) {
	row, err := store.Read(ctx, HistoryKey(version))
	if err != nil {
		return HistoryRow{}, fmt.Errorf("read version %d: %w", version, err)
	}
	return parseHistory(row)
}
