// Package publish puts manifests into the platform's table: proposing a body,
// accepting it as the next version, and reading the head, the history and the
// bodies back.
//
// A body is stored compressed, as an object named by the body's digest. Accepting is one
// transaction that moves the head and adds a row of history, so that there is
// one order of versions for the whole mesh.
package publish

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
)

// Keys of the table and names of objects.
const (
	// HeadKey is the row of the newest accepted version, a HeadRow.
	HeadKey = "head"
	// HistoryPrefix starts the keys of the rows of history, each a HistoryRow.
	HistoryPrefix = "history/"
	// AcceptancePrefix starts the keys that map an acceptance id to its
	// version, each a HeadRow.
	AcceptancePrefix = "acceptance/"
	// ObjectPrefix starts the names of manifest bodies.
	ObjectPrefix = "manifest/"
)

// acceptanceTTL is how long the platform keeps the row of an acceptance id, in
// seconds; a repeat after that is an acceptance of its own.
const acceptanceTTL = 7 * 24 * 3600

// HistoryKey returns the key of a version's row of history.
func HistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", HistoryPrefix, version)
}

// AcceptanceKey returns the key of an acceptance id's row.
func AcceptanceKey(id string) string { return AcceptancePrefix + id }

// ObjectName returns the name of the object that holds a body.
func ObjectName(digest manifest.Digest) string { return ObjectPrefix + digest.String() }

// HeadRow is the value of the head row.
type HeadRow struct {
	Version uint64 `json:"version"`
	// Digest is in hex.
	Digest string `json:"digest"`
	// Acceptance is the id of the acceptance that made the version.
	Acceptance string `json:"acceptance"`
}

// HistoryRow is the value of a row of history.
type HistoryRow struct {
	Version uint64 `json:"version"`
	// Digest is in hex.
	Digest string `json:"digest"`
	// Acceptance is the id given by the operator's tool.
	Acceptance string `json:"acceptance"`
	// Operator is who accepted, as the tool was told.
	Operator string `json:"operator"`
	// Note is what the operator wrote about it; it may be empty.
	Note     string    `json:"note,omitempty"`
	Accepted time.Time `json:"accepted"`
	// BaseVersion is the version that was replaced, 0 for the first.
	BaseVersion uint64 `json:"base_version"`
}

// ID returns the configuration the row names.
func (r HistoryRow) ID() (manifest.ID, error) { return idOf(r.Version, r.Digest) }

// ErrBadRow means that a row of the table cannot be read as what it should be.
var ErrBadRow = errors.New("publish: row cannot be read")

// Head is the newest accepted version. The zero Head means none yet.
type Head struct {
	ID         manifest.ID
	Acceptance string
	// revision is the row's, for the precondition of the next acceptance.
	revision uint64
}

// precondition holds while the head is the one that was read.
func (h Head) precondition() platform.Precondition {
	return platform.Precondition{Key: HeadKey, Absent: h.revision == 0, Revision: h.revision}
}

func parseHead(row platform.Row) (Head, error) {
	var value HeadRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return Head{}, fmt.Errorf("%w: %s: %v", ErrBadRow, row.Key, err)
	}
	id, err := idOf(value.Version, value.Digest)
	if err != nil {
		return Head{}, fmt.Errorf("%w: %s: %v", ErrBadRow, row.Key, err)
	}
	return Head{ID: id, Acceptance: value.Acceptance, revision: row.Revision}, nil
}

func parseHistory(row platform.Row) (HistoryRow, error) {
	var value HistoryRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return HistoryRow{}, fmt.Errorf("%w: %s: %v", ErrBadRow, row.Key, err)
	}
	if row.Key != HistoryKey(value.Version) {
		return HistoryRow{}, fmt.Errorf("%w: %s holds version %d", ErrBadRow, row.Key, value.Version)
	}
	return value, nil
}

func idOf(version uint64, digest string) (manifest.ID, error) {
	parsed, err := manifest.ParseDigest(digest)
	if err != nil {
		return manifest.ID{}, err
	}
	if version == 0 {
		return manifest.ID{}, fmt.Errorf("version 0")
	}
	return manifest.ID{Version: version, Digest: parsed}, nil
}
