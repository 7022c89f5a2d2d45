package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusalMemory is how long a refused request is remembered: as long as
	// callers come back.
	refusalMemory = 4 * time.Second
	// maxRefusals is how many are remembered in each half of that time.
	maxRefusals = 16384
)

// refusals remembers when refused requests first came, so that one that comes
// back is not taken for a new one: its caller waits since then. Two
// generations of half the memory's length bound it without a timer.
type refusals struct {
	mu     sync.Mutex
	since  time.Duration
	recent map[uint64]time.Duration
	older  map[uint64]time.Duration
}

func newRefusals() *refusals {
	return &refusals{recent: map[uint64]time.Duration{}}
}

// refusedKey recognises a request: its caller sends it again with another id
// but the same target.
func refusedKey(r *http.Request) uint64 {
	return xxhash.Sum64String(r.Method + " " + r.Host + r.RequestURI)
}

// first returns when a request first came: now unless it was refused lately.
func (s *refusals) first(key uint64, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if first, ok := s.recent[key]; ok {
		return first
	}
	if first, ok := s.older[key]; ok {
		return first
	}
	return now
}

// note remembers a refused request that first came at a time.
func (s *refusals) note(key uint64, first, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if len(s.recent) < maxRefusals {
		s.recent[key] = first
	}
}

// turn forgets what is older than the memory; the lock is held.
func (s *refusals) turn(now time.Duration) {
	if now-s.since < refusalMemory/2 {
		return
	}
	s.older, s.recent = s.recent, map[uint64]time.Duration{}
	s.since = now
}
