package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
)

// Config tunes a Publisher.
type Config struct {
	// RetryInterval is the pause between attempts to learn the result of a
	// write whose answer was lost.
	RetryInterval time.Duration
	// Now is the wall clock for the history; nil means time.Now.
	Now func() time.Time
}

// DefaultConfig returns the settings that the tool uses.
func DefaultConfig() Config {
	return Config{RetryInterval: 250 * time.Millisecond, Now: time.Now}
}

// Publisher proposes and accepts manifests.
type Publisher struct {
	store platform.Store
	cfg   Config
}

// New returns a Publisher that writes to store.
func New(store platform.Store, cfg Config) *Publisher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Publisher{store: store, cfg: cfg}
}

// Acceptance asks to make a proposed manifest the next version.
type Acceptance struct {
	// ID is unique to this acceptance; repeating it with the same ID changes
	// nothing and returns the same version.
	ID string
	// Digest names the proposed manifest.
	Digest manifest.Digest
	// Base is the version that was reviewed against; the zero ID for the
	// first. Another head is a conflict.
	Base manifest.ID
	// Operator is recorded in the history.
	Operator string
	// Note is recorded in the history; it may be empty.
	Note string
	// MinVersion, when larger than the head's next, is the version to take:
	// it lifts the numbering above what daemons hold after the platform was
	// restored from old data.
	MinVersion uint64
}

// Propose stores a canonical body, which the caller has validated, and returns
// its digest. Proposing the same body again changes nothing.
func (p *Publisher) Propose(ctx context.Context, body []byte) (manifest.Digest, error) {
	digest := manifest.DigestOf(body)
	object := manifest.MakeDelta(nil, body)
	for {
		err := p.store.PutObject(ctx, ObjectName(digest), object)
		if err == nil {
			break
		}
		if !errors.Is(err, platform.ErrUnknown) || !p.pause(ctx) {
			return digest, fmt.Errorf("store manifest %s: %w", digest.Short(), err)
		}
	}
	_, err := ReadBody(ctx, p.store, digest)
	return digest, err
}

// Accept makes the proposed manifest the next version. It returns the
// accepted version, a *ConflictError when another manifest came first, a
// *NoProposalError, an *IDReusedError, or an *UnknownResultError when the
// platform did not tell before ctx ended.
func (p *Publisher) Accept(ctx context.Context, a Acceptance) (manifest.ID, error) {
	if a.ID == "" {
		return manifest.ID{}, fmt.Errorf("acceptance without an id")
	}
	accepted, found, err := p.find(ctx, a)
	if err != nil || found {
		return accepted, err
	}
	if err := p.checkProposal(ctx, a.Digest); err != nil {
		return manifest.ID{}, err
	}
	head, err := ReadHead(ctx, p.store)
	if err != nil {
		return manifest.ID{}, err
	}
	if head.Acceptance == a.ID {
		return p.own(a, head)
	}
	if head.ID != a.Base {
		return manifest.ID{}, p.conflict(ctx, a)
	}
	return p.commit(ctx, a, head)
}

// find looks for an earlier acceptance with the same id.
func (p *Publisher) find(ctx context.Context, a Acceptance) (manifest.ID, bool, error) {
	row, err := p.store.Read(ctx, AcceptanceKey(a.ID))
	if errors.Is(err, platform.ErrNotFound) {
		return manifest.ID{}, false, nil
	}
	if err != nil {
		return manifest.ID{}, false, fmt.Errorf("read acceptance: %w", err)
	}
	earlier, err := parseHead(row)
	if err != nil {
		return manifest.ID{}, false, err
	}
	accepted, err := p.own(a, earlier)
	return accepted, err == nil, err
}

func (p *Publisher) checkProposal(ctx context.Context, digest manifest.Digest) error {
	_, err := ReadBody(ctx, p.store, digest)
	if errors.Is(err, platform.ErrNotFound) {
		return &NoProposalError{Digest: digest}
	}
	return err
}

// commit writes the version, and finds out what happened when the answer is
// lost.
func (p *Publisher) commit(ctx context.Context, a Acceptance, head Head) (manifest.ID, error) {
	next := manifest.ID{Version: max(head.ID.Version+1, a.MinVersion), Digest: a.Digest}
	tx, err := p.transaction(a, head, next)
	if err != nil {
		return manifest.ID{}, err
	}
	_, err = p.store.Transact(ctx, tx)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return next, nil
	case errors.As(err, &conflict):
		return p.afterConflict(ctx, a, conflict)
	case errors.Is(err, platform.ErrUnknown):
		return p.resolve(ctx, a, tx, next, err)
	}
	return manifest.ID{}, fmt.Errorf("accept: %w", err)
}

func (p *Publisher) transaction(a Acceptance, head Head, next manifest.ID) (platform.Transaction, error) {
	newHead := HeadRow{Version: next.Version, Digest: next.Digest.String(), Acceptance: a.ID}
	history := HistoryRow{
		Version:     next.Version,
		Digest:      next.Digest.String(),
		Acceptance:  a.ID,
		Operator:    a.Operator,
		Note:        a.Note,
		Accepted:    p.cfg.Now().UTC(),
		BaseVersion: head.ID.Version,
	}
	headValue, err := json.Marshal(newHead)
	if err != nil {
		return platform.Transaction{}, fmt.Errorf("encode head: %w", err)
	}
	historyValue, err := json.Marshal(history)
	if err != nil {
		return platform.Transaction{}, fmt.Errorf("encode history: %w", err)
	}
	return platform.Transaction{
		Preconditions: []platform.Precondition{
			{Key: AcceptanceKey(a.ID), Absent: true},
			head.precondition(),
			{Key: HistoryKey(next.Version), Absent: true},
		},
		Writes: []platform.Write{
			{Key: HeadKey, Value: headValue},
			{Key: HistoryKey(next.Version), Value: historyValue},
			{Key: AcceptanceKey(a.ID), Value: headValue, TTLSeconds: acceptanceTTL},
		},
	}, nil
}

// resolve learns the result of a transaction whose answer was lost by sending
// it again: its preconditions let it take effect at most once, and a conflict
// tells that the first send, or another operator, came first.
func (p *Publisher) resolve(ctx context.Context, a Acceptance, tx platform.Transaction, next manifest.ID, cause error) (manifest.ID, error) {
	for p.pause(ctx) {
		_, err := p.store.Transact(ctx, tx)
		if err == nil {
			return next, nil
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			continue
		}
		accepted, err := p.afterConflict(ctx, a, conflict)
		if err == nil || isFinal(err) {
			return accepted, err
		}
	}
	return manifest.ID{}, &UnknownResultError{Acceptance: a.ID, Cause: cause}
}

// own returns what an earlier acceptance with the same id made.
func (p *Publisher) own(a Acceptance, earlier Head) (manifest.ID, error) {
	if earlier.ID.Digest != a.Digest {
		return manifest.ID{}, &IDReusedError{Acceptance: a.ID, Accepted: earlier.ID}
	}
	return earlier.ID, nil
}

// afterConflict tells whether the acceptance itself is what came first. The
// row in the conflict is current even while reads are stale.
func (p *Publisher) afterConflict(ctx context.Context, a Acceptance, conflict *platform.ConflictError) (manifest.ID, error) {
	if conflict.Key == AcceptanceKey(a.ID) {
		earlier, err := parseHead(conflict.Current)
		if err != nil {
			return manifest.ID{}, err
		}
		return p.own(a, earlier)
	}
	accepted, found, err := p.find(ctx, a)
	if err != nil || found {
		return accepted, err
	}
	return manifest.ID{}, p.conflict(ctx, a)
}

func (p *Publisher) conflict(ctx context.Context, a Acceptance) error {
	head, err := ReadHead(ctx, p.store)
	if err != nil {
		return err
	}
	result := &ConflictError{Base: a.Base, Head: head.ID}
	if winner, err := ReadVersion(ctx, p.store, head.ID.Version); err == nil {
		result.Winner = winner
	}
	return result
}

// isFinal reports whether err settles the acceptance.
func isFinal(err error) bool {
	var conflict *ConflictError
	var reused *IDReusedError
	return errors.As(err, &conflict) || errors.As(err, &reused)
}

// pause waits for the retry interval and reports whether ctx still runs.
func (p *Publisher) pause(ctx context.Context) bool {
	timer := time.NewTimer(p.cfg.RetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
