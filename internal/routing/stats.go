package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// loadFade is how long a load carried back on an answer counts; its weight
// falls evenly from one to nothing over that time.
const loadFade = time.Second

// avoidRefusing is how long an upstream that refused because it is leaving is
// passed over, until membership says the same.
const avoidRefusing = time.Second

// Stats is what this daemon has seen of one upstream. It outlives snapshots.
// All methods may be called from any goroutine; times are on the process's
// monotonic clock.
type Stats struct {
	outstanding atomic.Int64
	// othersLoad is the load at the last answer that was not our own, and
	// loadAt when it was told.
	othersLoad atomic.Int64
	loadAt     atomic.Int64
	// since is when the upstream became known as ready.
	since atomic.Int64
	// avoidUntil is set by refusals of an upstream that is leaving.
	avoidUntil atomic.Int64
	// ejectedUntil is read without the lock and written under it.
	ejectedUntil atomic.Int64
	failing      atomic.Bool

	mu    sync.Mutex
	eject ejection
}

// Begin counts a send to the upstream; the caller calls End once for it.
func (s *Stats) Begin() { s.outstanding.Add(1) }

// End counts the send as over.
func (s *Stats) End() { s.outstanding.Add(-1) }

// Outstanding returns the sends of this daemon that are not over.
func (s *Stats) Outstanding() int64 { return s.outstanding.Load() }

// ReportLoad takes the number of requests at the upstream, as told on an
// answer; the answered request itself is not counted in it.
func (s *Stats) ReportLoad(load int64, now time.Duration) {
	own := s.outstanding.Load() - 1
	others := load - max(own, 0)
	s.othersLoad.Store(max(others, 0))
	s.loadAt.Store(int64(now))
}

// Load estimates the requests at the upstream now.
func (s *Stats) Load(now time.Duration) float64 {
	own := float64(s.outstanding.Load())
	age := now - time.Duration(s.loadAt.Load())
	if age >= loadFade {
		return own
	}
	weight := 1 - float64(max(age, 0))/float64(loadFade)
	return own + weight*float64(s.othersLoad.Load())
}

// Avoid passes the upstream over for a short while because it refuses new
// requests.
func (s *Stats) Avoid(now time.Duration) {
	s.avoidUntil.Store(int64(now + avoidRefusing))
}

// passedOver tells whether a choice at this time should leave the upstream out.
func (s *Stats) passedOver(now time.Duration) bool {
	return now < time.Duration(s.ejectedUntil.Load()) || now < time.Duration(s.avoidUntil.Load())
}
