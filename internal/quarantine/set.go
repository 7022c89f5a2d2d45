package quarantine

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"godwitmount/internal/claim"
	"godwitmount/internal/step"
)

// Entry is what the data path knows of a request that was in flight at a
// crash.
type Entry struct {
	// Refused is set from the threshold on; before, the request is a suspect.
	Refused bool
	// Expires is on the wall clock.
	Expires time.Time
}

// Set is the lock-free side that the data path reads.
type Set struct {
	entries atomic.Pointer[map[claim.Hash]Entry]
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{} }

// Replace puts new entries in force; the map must not be changed afterwards.
func (s *Set) Replace(entries map[claim.Hash]Entry) { s.entries.Store(&entries) }

// Lookup returns the entry of a fingerprint at a time, if there is one.
func (s *Set) Lookup(fingerprint claim.Hash, now time.Time) (Entry, bool) {
	entries := s.entries.Load()
	if entries == nil || len(*entries) == 0 {
		return Entry{}, false
	}
	entry, ok := (*entries)[fingerprint]
	return entry, ok && now.Before(entry.Expires)
}

// Len returns how many requests are refused and how many are suspects.
func (s *Set) Len() (refused, suspects int) {
	entries := s.entries.Load()
	if entries == nil {
		return 0, 0
	}
	for _, entry := range *entries {
		if entry.Refused {
			refused++
			continue
		}
		suspects++
	}
	return refused, suspects
}

const (
	// suspectRetry is when a suspect that found another one running may come
	// back.
	suspectRetry = time.Second
	// crashWindow is how long after its first sign one crash goes on breaking
	// the requests that were in flight.
	crashWindow = time.Second
	// goodFor is how long a request that ended without a crash is above
	// suspicion.
	goodFor = 10 * time.Second
	// goodSlots is how many such requests are remembered.
	goodSlots = 4096
)

// Tracker is the data path's view of the quarantine at one upstream. It may be
// used from any goroutine; only a crash and a suspect take a lock.
type Tracker struct {
	set    *Set
	report func(step.Event)
	now    func() time.Time
	// suspects is how many of them run.
	suspects atomic.Int64

	mu      sync.Mutex
	running map[claim.Hash]int
	crash   uint64
	crashed time.Time

	good [goodSlots]goodSlot
}

// goodSlot remembers one request that ended without a crash: the first half of
// its fingerprint and when, in Unix milliseconds.
type goodSlot struct {
	fingerprint atomic.Uint64
	at          atomic.Int64
}

// NewTracker returns a tracker that reports crashes and clearances; report must
// not block. now is the wall clock, normally time.Now.
func NewTracker(set *Set, report func(step.Event), now func() time.Time) *Tracker {
	return &Tracker{set: set, report: report, now: now, running: make(map[claim.Hash]int)}
}

// Refused tells whether a request is refused now, and when coming back makes
// sense: one that crashed upstreams, or a suspect while another one runs.
func (t *Tracker) Refused(fingerprint claim.Hash) (bool, time.Duration) {
	now := t.now()
	entry, known := t.set.Lookup(fingerprint, now)
	if !known {
		return false, 0
	}
	if entry.Refused {
		return true, entry.Expires.Sub(now)
	}
	if t.suspects.Load() > 0 {
		return true, suspectRetry
	}
	return false, 0
}

// Started tells that the upstream began a request. Each is followed by one of
// Finished and Crashed.
func (t *Tracker) Started(fingerprint claim.Hash) {
	if _, known := t.set.Lookup(fingerprint, t.now()); !known {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[fingerprint]++
	t.suspects.Add(1)
}

// Finished tells that a request ended and the upstream lives.
func (t *Tracker) Finished(fingerprint claim.Hash) {
	slot, half := t.slot(fingerprint)
	now := t.now()
	slot.fingerprint.Store(half)
	slot.at.Store(now.UnixMilli())
	t.ended(fingerprint)
	if _, known := t.set.Lookup(fingerprint, now); known {
		t.report(Cleared{Fingerprint: fingerprint})
	}
}

// Crashed tells that the upstream was lost while it ran a request. One that
// has just ended well elsewhere in the same process is not suspected.
func (t *Tracker) Crashed(fingerprint claim.Hash) {
	now := t.now()
	t.ended(fingerprint)
	t.mu.Lock()
	if now.Sub(t.crashed) > crashWindow {
		t.crash++
		t.crashed = now
	}
	crash := t.crash
	t.mu.Unlock()
	if !t.provedGood(fingerprint, now) {
		t.report(Crashed{Fingerprint: fingerprint, Crash: crash})
	}
}

// ended forgets a suspect that ran.
func (t *Tracker) ended(fingerprint claim.Hash) {
	if t.suspects.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[fingerprint] == 0 {
		return
	}
	t.running[fingerprint]--
	if t.running[fingerprint] == 0 {
		delete(t.running, fingerprint)
	}
	t.suspects.Add(-1)
}

func (t *Tracker) provedGood(fingerprint claim.Hash, now time.Time) bool {
	slot, half := t.slot(fingerprint)
	if slot.fingerprint.Load() != half {
		return false
	}
	return now.UnixMilli()-slot.at.Load() < goodFor.Milliseconds()
}

func (t *Tracker) slot(fingerprint claim.Hash) (*goodSlot, uint64) {
	half := binary.BigEndian.Uint64(fingerprint[:8])
	return &t.good[half%goodSlots], half
}
