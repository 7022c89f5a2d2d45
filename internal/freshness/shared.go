package freshness

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// SharedTracker is a Tracker for use by several goroutines. A nil one belongs to a daemon
// that needs no proof: its methods, except Now, do nothing, and requests are always served.
type SharedTracker struct {
	// clock reads the boot-time clock.
	clock func() time.Duration
	// refuseEarlier is the time before servedUntil from which no key counts as unknown,
	// in nanoseconds.
	refuseEarlier int64

	mu      sync.Mutex
	tracker *Tracker
	// servedUntil is the tracker's ServedUntil, and proof its newest proof, in
	// nanoseconds; never without one. Requests and reports of peers read them without
	// the lock.
	servedUntil atomic.Int64
	proof       atomic.Int64
}

// never is before all times.
const never = math.MinInt64

// NewSharedTracker returns a tracker without a proof. Clock reads the boot-time clock.
func NewSharedTracker(cfg Config, clock func() time.Duration) *SharedTracker {
	s := &SharedTracker{clock: clock, tracker: NewTracker(cfg)}
	s.refuseEarlier = int64(s.tracker.share(1 - refuseShare))
	s.publish()
	return s
}

// publish makes the tracker's state visible to readers without the lock.
func (s *SharedTracker) publish() {
	until, proven := s.tracker.ServedUntil()
	if !proven {
		until = never
	}
	s.servedUntil.Store(int64(until))
	proof := time.Duration(never)
	if s.tracker.proven {
		proof = s.tracker.proof
	}
	s.proof.Store(int64(proof))
}

// update changes the tracker.
func (s *SharedTracker) update(change func(t *Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.tracker)
	s.publish()
}

// Verdict says what the age of the proof allows.
type Verdict struct {
	// Serve is set if the configuration in force is known to have been the newest
	// recently enough to serve requests with its keys.
	Serve bool
	// Refuse is set if it is also recent enough to refuse a request for good because
	// of what it lacks. A newer configuration may have that; in calm times, the proof
	// is always as recent.
	Refuse bool
}

// Verdict returns the verdict on requests that have arrived before the call. It must be
// called before the configuration is loaded: a configuration that comes into force
// between the two is newer, but a proof that does is not valid for an older one.
func (s *SharedTracker) Verdict() Verdict {
	if s == nil {
		return Verdict{Serve: true, Refuse: true}
	}
	until, now := s.servedUntil.Load(), int64(s.clock())
	if until == never {
		return Verdict{}
	}
	return Verdict{Serve: now <= until, Refuse: now <= until-s.refuseEarlier}
}

// Now reads the boot-time clock. It must not be called on a nil SharedTracker.
func (s *SharedTracker) Now() time.Duration { return s.clock() }

// StoreAnswered records an answer of the store; Received is set here.
func (s *SharedTracker) StoreAnswered(a Answer) {
	if s == nil {
		return
	}
	a.Received = s.clock()
	s.update(func(t *Tracker) { t.StoreAnswered(a) })
}

// PeerProved records a peer's proof; see Tracker.PeerProved.
func (s *SharedTracker) PeerProved(proof time.Duration) {
	if s == nil || int64(proof) <= s.proof.Load() {
		return
	}
	now := s.clock()
	s.update(func(t *Tracker) { t.PeerProved(now, proof) })
}

// PeerClock records a peer's bound of the store's clock; see Tracker.PeerClock.
func (s *SharedTracker) PeerClock(sent, upper time.Duration) {
	if s == nil {
		return
	}
	s.update(func(t *Tracker) { t.PeerClock(sent, upper) })
}

// Reset forgets everything; see Tracker.Reset.
func (s *SharedTracker) Reset() {
	if s != nil {
		s.update((*Tracker).Reset)
	}
}

// Age returns the largest possible age of the newest proof, and whether there is one.
func (s *SharedTracker) Age() (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Age(s.clock())
}

// Report returns what peers may learn; see Tracker.Report.
func (s *SharedTracker) Report() (proof, upper time.Duration) {
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Report(s.clock())
}

// Next returns where to look for a newer proof now; see Tracker.Next.
func (s *SharedTracker) Next() Search {
	if s == nil {
		return Search{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Next(s.clock())
}
