package claim

import (
	"bytes"
	"encoding/hex"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/step"
)

// state is how far a claim has come.
type state uint8

const (
	// queued: not granted; its row is to be written or being written.
	queued state = iota + 1
	// replicating: not granted; the backup is being told.
	replicating
	// claimed: granted; it may be running.
	claimed
	// done: it ran.
	done
	// releasing: it never ran and never will; its row is to be deleted.
	releasing
)

// entry is one claim in memory.
type entry struct {
	key         Hash
	fingerprint Hash
	attempt     string
	executor    string
	state       state
	// expires is when the key is forgotten.
	expires time.Duration
	// claimedAt is Unix milliseconds.
	claimedAt int64

	// written is set when the table is known to hold the row.
	written bool
	// maybeWritten is set when a write was sent whose fate is unknown.
	maybeWritten bool
	// revision is the row's, or 0 when not known.
	revision uint64
	// inserting and deleting are set while the entry waits in a queue.
	inserting bool
	deleting  bool
	// reading is set while the row is being read.
	reading bool

	// foreign is set when another holder granted the attempt, so that news of
	// its end may never come here.
	foreign bool
	// replica is set on a backup's copy of a claim.
	replica bool

	answer *peerv1.StoredAnswer
	// grants are the calls of the attempt itself; they are to be told granted.
	grants []step.CallID
	// releases are the calls to be told once the attempt is released.
	releases []step.CallID
	waiters  []waiter
	// parked is set while the entry is in the list of those with waiters.
	parked bool
}

// waiter is a repeat waiting for the claim's attempt to end.
type waiter struct {
	call     step.CallID
	request  *peerv1.AcquireClaimRequest
	deadline time.Duration
}

// unwritten reports whether the claim was granted but its row is not known to
// be in the table.
func (e *entry) unwritten() bool {
	return !e.written && (e.state == claimed || e.state == done)
}

const (
	rowPrefix = "claims/key/"
	// markerPrefix leads the row of a data centre in which grants from memory
	// may have been given.
	markerPrefix = "claims/armed/"
	// checkedPrefix leads the row that a check of the marker writes.
	checkedPrefix = "claims/checked/"
)

func rowKey(key Hash) string { return rowPrefix + hex.EncodeToString(key[:]) }

func keyOfRow(row string) (Hash, bool) {
	if len(row) != len(rowPrefix)+2*HashSize {
		return Hash{}, false
	}
	raw, err := hex.DecodeString(row[len(rowPrefix):])
	if err != nil {
		return Hash{}, false
	}
	return HashFrom(raw)
}

// rowValue encodes what the table keeps of a claim.
func (e *entry) rowValue() []byte {
	value, err := proto.Marshal(&peerv1.HeldClaim{
		Fingerprint: e.fingerprint[:],
		Attempt:     e.attempt,
		Executor:    e.executor,
		ClaimedAt:   e.claimedAt,
	})
	if err != nil {
		// Only an invalid UTF-8 string can fail, and acquire refuses those.
		return nil
	}
	return value
}

// parseRow decodes a row; a broken one yields an empty claim, which no attempt
// or fingerprint equals.
func parseRow(value []byte) *peerv1.HeldClaim {
	held := &peerv1.HeldClaim{}
	if err := proto.Unmarshal(value, held); err != nil {
		return &peerv1.HeldClaim{}
	}
	return held
}

// held returns the claim in the form that is handed over.
func (e *entry) held() *peerv1.HeldClaim {
	return &peerv1.HeldClaim{
		Key:         e.key[:],
		Fingerprint: e.fingerprint[:],
		Attempt:     e.attempt,
		Executor:    e.executor,
		Done:        e.state == done,
		Written:     e.written,
		ClaimedAt:   e.claimedAt,
		Answer:      e.answer,
		Revision:    e.revision,
	}
}

func sortEntries(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int { return bytes.Compare(a.key[:], b.key[:]) })
}

// sortedEntries returns the entries in order of key, so that what a step does
// depends on nothing but its input.
func (c *Core) sortedEntries() []*entry {
	entries := make([]*entry, 0, len(c.entries))
	for _, e := range c.entries {
		entries = append(entries, e)
	}
	sortEntries(entries)
	return entries
}
