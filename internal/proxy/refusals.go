package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusalTTL is the longest time for which a refused request is remembered
	// while requests keep arriving; the shortest is half of it. Callers retry for
	// as long as refusalTTL.
	refusalTTL = 4 * time.Second
	// maxRefusals bounds the requests remembered in each generation.
	maxRefusals = 16384
)

// refusals remembers when refused requests were first received. A retry by a
// caller is not treated as a new request, because its caller has waited since
// then. The entries are in two generations; a new one starts with the first use
// after half of refusalTTL. This bounds their number without a timer.
type refusals struct {
	mu sync.Mutex
	// since is the start of the recent generation.
	since  time.Duration
	recent map[uint64]time.Duration
	older  map[uint64]time.Duration
}

func newRefusals() *refusals {
	return &refusals{recent: map[uint64]time.Duration{}}
}

// requestKey identifies a request across a caller's retries, which have another
// id but the same method, host and target. Equal requests of other callers have
// the same key and therefore count as retries, too.
func requestKey(r *http.Request) uint64 {
	return xxhash.Sum64String(r.Method + " " + r.Host + r.RequestURI)
}

// firstSeen returns when a request was first received: now, unless it was
// refused recently.
func (s *refusals) firstSeen(key uint64, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if firstSeen, ok := s.recent[key]; ok {
		return firstSeen
	}
	if firstSeen, ok := s.older[key]; ok {
		return firstSeen
	}
	return now
}

// record remembers a refused request and when it was first received. It drops
// the request if the recent generation is full.
func (s *refusals) record(key uint64, firstSeen, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if len(s.recent) < maxRefusals {
		s.recent[key] = firstSeen
	}
}

// rotate starts a new generation when the recent one is at least half of
// refusalTTL old, and drops the older one; in quiet times, it drops both. The caller
// holds s.mu.
func (s *refusals) rotate(now time.Duration) {
	if now-s.since < refusalTTL/2 {
		return
	}
	if now-s.since >= refusalTTL {
		s.recent = nil
	}
	s.older, s.recent = s.recent, map[uint64]time.Duration{}
	s.since = now
}
