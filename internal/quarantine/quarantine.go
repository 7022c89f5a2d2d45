// Package quarantine identifies requests that crash upstreams. A request that was
// running when an upstream crashed is a crash suspect. It is quarantined, which
// means refused, from its second crash on, whichever upstreams crashed.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// threshold is the number of crashes from which on a request is refused. One
	// crash is not enough, because other requests were running as well.
	threshold = 2
	// suspectTTL is how long a suspect is kept after the last crash that was new
	// to the set.
	suspectTTL = 5 * time.Minute
	// maxSuspects bounds the suspects in a set. When it is full, the suspect
	// that expires first is removed.
	maxSuspects = 1024
	// maxCrashes bounds the distinct crashes kept for one suspect.
	maxCrashes = 4
)

// Fingerprint identifies a request across retries, which have other ids.
type Fingerprint uint64

// Crash identifies one crash of one upstream.
type Crash uint64

// Suspect is a request and the crashes during which it was running.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Set holds the crash suspects that a daemon has seen or that its peers have
// reported. All methods may be called from any goroutine. Times are on one
// monotonic clock.
type Set struct {
	// count is the size of all, for reads without the lock.
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

// Empty reports whether the set has no suspects. It acquires no lock.
func (s *Set) Empty() bool { return s.count.Load() == 0 }

// Add records the crashes of a suspect and reports whether any of them was new.
// It also removes expired suspects.
func (s *Set) Add(suspect Suspect, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	known := s.all[suspect.Fingerprint]
	if known == nil {
		s.makeRoom()
		known = &entry{}
		s.all[suspect.Fingerprint] = known
	}
	anyNew := false
	for _, crash := range suspect.Crashes {
		anyNew = known.add(crash) || anyNew
	}
	if anyNew {
		known.expires = now + suspectTTL
	}
	s.count.Store(int64(len(s.all)))
	return anyNew
}

// add records a crash and reports whether it was new. Crashes beyond maxCrashes
// are dropped and not new.
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

// Quarantined reports whether a request is quarantined: it was running at
// threshold or more crashes and has not expired.
func (s *Set) Quarantined(f Fingerprint, now time.Duration) bool {
	if s.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.all[f]
	return known != nil && now < known.expires && len(known.crashes) >= threshold
}

// Snapshot returns copies of at most limit suspects that have not expired, in no
// particular order.
func (s *Set) Snapshot(limit int, now time.Duration) []Suspect {
	if s.Empty() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Suspect
	for fingerprint, known := range s.all {
		if len(all) == limit {
			break
		}
		if now >= known.expires {
			continue
		}
		all = append(all, Suspect{fingerprint, append([]Crash(nil), known.crashes...)})
	}
	return all
}

// removeExpired removes expired suspects. The caller holds s.mu.
func (s *Set) removeExpired(now time.Duration) {
	for fingerprint, known := range s.all {
		if now >= known.expires {
			delete(s.all, fingerprint)
		}
	}
}

// makeRoom removes the suspect that expires first if the set is full. The
// caller holds s.mu.
func (s *Set) makeRoom() {
	if len(s.all) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var first *entry
	for fingerprint, known := range s.all {
		if first == nil || known.expires < first.expires {
			oldest, first = fingerprint, known
		}
	}
	delete(s.all, oldest)
}
