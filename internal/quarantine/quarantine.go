// Package quarantine keeps requests that crash upstreams away from them. A
// request that was running when an upstream crashed is a suspect; from its
// second crash on, wherever these happened, it is refused.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// threshold is from how many crashes on a request is refused.
	threshold = 2
	// memory is how long a suspect is remembered after its last crash.
	memory = 5 * time.Minute
	// maxSuspects bounds how many are remembered; the one that would be
	// forgotten first makes room.
	maxSuspects = 1024
	// maxCrashes is how many crashes are told apart for one suspect.
	maxCrashes = 4
)

// Fingerprint recognises a request that comes again with another id.
type Fingerprint uint64

// Crash names one crash of one upstream.
type Crash uint64

// Suspect is a request and the crashes it was running at.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Set is what is known of suspects. All methods may be called from any
// goroutine; times are on one monotonic clock.
type Set struct {
	count atomic.Int64

	mu  sync.Mutex
	all map[Fingerprint]*entry
}

type entry struct {
	crashes []Crash
	expires time.Duration
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{all: map[Fingerprint]*entry{}} }

// Empty tells, without a lock, that nothing is suspected.
func (s *Set) Empty() bool { return s.count.Load() == 0 }

// Add takes the crashes of a suspect and reports whether any was new.
func (s *Set) Add(suspect Suspect, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	known := s.all[suspect.Fingerprint]
	if known == nil {
		s.makeRoom()
		known = &entry{}
		s.all[suspect.Fingerprint] = known
	}
	fresh := false
	for _, crash := range suspect.Crashes {
		fresh = known.add(crash) || fresh
	}
	if fresh {
		known.expires = now + memory
	}
	s.count.Store(int64(len(s.all)))
	return fresh
}

func (e *entry) add(crash Crash) bool {
	for _, known := range e.crashes {
		if known == crash {
			return false
		}
	}
	if len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, crash)
	return true
}

// Refused tells whether a request has crashed upstreams often enough.
func (s *Set) Refused(f Fingerprint, now time.Duration) bool {
	if s.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.all[f]
	return known != nil && now < known.expires && len(known.crashes) >= threshold
}

// Known returns the suspects, at most so many.
func (s *Set) Known(most int) []Suspect {
	if s.Empty() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Suspect
	for fingerprint, known := range s.all {
		if len(all) == most {
			break
		}
		all = append(all, Suspect{fingerprint, append([]Crash(nil), known.crashes...)})
	}
	return all
}

// expire forgets suspects whose time is over; the lock is held.
func (s *Set) expire(now time.Duration) {
	for fingerprint, known := range s.all {
		if now >= known.expires {
			delete(s.all, fingerprint)
		}
	}
}

// makeRoom forgets the suspect that would be forgotten first; the lock is held.
func (s *Set) makeRoom() {
	if len(s.all) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Duration
	for fingerprint, known := range s.all {
		if at == 0 || known.expires < at {
			oldest, at = fingerprint, known.expires
		}
	}
	delete(s.all, oldest)
}
