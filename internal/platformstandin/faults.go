package platformstandin

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/platform"
)

// Outage is how the platform is away.
type Outage string

// The kinds of outage.
const (
	// NoOutage answers.
	NoOutage Outage = ""
	// OutageRefuse refuses each request at once; nothing takes effect.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves each request without an answer until the outage ends;
	// nothing takes effect.
	OutageHang Outage = "hang"
)

// Faults is the whole set of faults in force; the zero value is a healthy
// platform.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// SlowMs delays each request by this many milliseconds.
	SlowMs int `json:"slow_ms,omitempty"`
	// LoseAnswers is for how many of the next writes the answer is lost after
	// the write took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LosePercent is the share of writes whose answer is lost after the write
	// took effect, 0 to 100.
	LosePercent int `json:"lose_percent,omitempty"`
	// StaleRevisions makes reads and scans answer from this many transactions
	// ago; objects are not affected.
	StaleRevisions int `json:"stale_revisions,omitempty"`
}

// Validate reports a value that is out of range.
func (f Faults) Validate() error {
	switch f.Outage {
	case NoOutage, OutageRefuse, OutageHang:
	default:
		return fmt.Errorf("outage %q: want %q or %q", f.Outage, OutageRefuse, OutageHang)
	}
	if f.SlowMs < 0 || f.LoseAnswers < 0 || f.StaleRevisions < 0 {
		return fmt.Errorf("slow_ms, lose_answers and stale_revisions must not be negative")
	}
	if f.LosePercent < 0 || f.LosePercent > 100 {
		return fmt.Errorf("lose_percent %d: want 0 to 100", f.LosePercent)
	}
	return nil
}

// SetFaults replaces the faults in force. Requests that hang in an outage go
// on when it ends.
func (s *Store) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.healed)
	s.healed = make(chan struct{})
	return nil
}

// Faults returns the faults in force, with LoseAnswers as many as are left.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Restore sets the table back by a number of transactions, revisions included,
// as when the platform is restored from old data. Objects stay.
func (s *Store) Restore(transactions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = s.table.back(transactions)
}

func (s *Store) outage(ctx context.Context) error {
	for {
		s.mu.Lock()
		outage, healed := s.faults.Outage, s.healed
		s.mu.Unlock()
		switch outage {
		case OutageRefuse:
			return fmt.Errorf("%w: outage", platform.ErrUnavailable)
		case OutageHang:
			if err := waitFor(ctx, healed); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func waitFor(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", platform.ErrUnavailable, ctx.Err())
	case <-done:
		return nil
	}
}

func (s *Store) slow(ctx context.Context) error {
	delay := time.Duration(s.Faults().SlowMs) * time.Millisecond
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", platform.ErrUnavailable, ctx.Err())
	case <-timer.C:
		return nil
	}
}

// readable returns the table that reads see.
func (s *Store) readable() *table {
	if s.faults.StaleRevisions == 0 {
		return s.table
	}
	return s.table.back(s.faults.StaleRevisions)
}

// loseAnswer returns ErrUnknown when the answer to a write that took effect is
// to be lost. The share is drawn from a fixed sequence, so that runs repeat.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return fmt.Errorf("%w: fault", platform.ErrUnknown)
	}
	if s.faults.LosePercent == 0 {
		return nil
	}
	s.chance++
	draw := xxhash.Sum64String(fmt.Sprint("answer ", s.chance)) % 100
	if int(draw) < s.faults.LosePercent {
		return fmt.Errorf("%w: fault", platform.ErrUnknown)
	}
	return nil
}
