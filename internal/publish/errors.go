package publish

import (
	"fmt"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// ConflictError means that another manifest was accepted first; nothing was
// written.
type ConflictError struct {
	// Base is the version the operator wanted to replace.
	Base manifest.ID
	// Head is the version in its place.
	Head manifest.ID
	// Winner is the head's row of history; its Version is 0 when it could not
	// be read.
	Winner HistoryRow
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner.Version == 0 {
		return fmt.Sprintf("head is %s, not %s", e.Head, e.Base)
	}
	return fmt.Sprintf("head is %s, accepted by %q, not %s", e.Head, e.Winner.Operator, e.Base)
}

// Code returns the numbered result code.
func (e *ConflictError) Code() code.Code { return code.PublishConflict }

// UnknownResultError means that the platform did not say whether the
// acceptance took effect. Repeating it with the same id is safe.
type UnknownResultError struct {
	Acceptance string
	Cause      error
}

// Error implements error.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("acceptance %s may have taken effect: %v", e.Acceptance, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// Code returns the numbered result code.
func (e *UnknownResultError) Code() code.Code { return code.PublishUnknownResult }

// NoProposalError means that no proposed manifest has the digest.
type NoProposalError struct {
	Digest manifest.Digest
}

// Error implements error.
func (e *NoProposalError) Error() string {
	return fmt.Sprintf("no manifest with digest %s was proposed", e.Digest.Short())
}

// Code returns the numbered result code.
func (e *NoProposalError) Code() code.Code { return code.PublishNoProposal }

// IDReusedError means that the acceptance id was used for another manifest.
type IDReusedError struct {
	Acceptance string
	Accepted   manifest.ID
}

// Error implements error.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("acceptance %s already accepted %s", e.Acceptance, e.Accepted)
}

// Code returns the numbered result code.
func (e *IDReusedError) Code() code.Code { return code.PublishConflict }
