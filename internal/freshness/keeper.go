package freshness

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Keeper makes a Tracker usable from several goroutines. A nil Keeper belongs to a
// daemon that needs no proof: its methods do nothing, and requests are always served.
type Keeper struct {
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

// NewKeeper returns a keeper without a proof. Clock reads the boot-time clock.
func NewKeeper(cfg Config, clock func() time.Duration) *Keeper {
	k := &Keeper{clock: clock, tracker: NewTracker(cfg)}
	k.refuseEarlier = int64(k.tracker.share(1 - refuseShare))
	k.publish()
	return k
}

// publish makes the tracker's state visible to readers without the lock.
func (k *Keeper) publish() {
	until, proven := k.tracker.ServedUntil()
	if !proven {
		until = never
	}
	k.servedUntil.Store(int64(until))
	proof := time.Duration(never)
	if k.tracker.proven {
		proof = k.tracker.proof
	}
	k.proof.Store(int64(proof))
}

// update changes the tracker.
func (k *Keeper) update(change func(t *Tracker)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.tracker)
	k.publish()
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
func (k *Keeper) Verdict() Verdict {
	if k == nil {
		return Verdict{Serve: true, Refuse: true}
	}
	until, now := k.servedUntil.Load(), int64(k.clock())
	if until == never {
		return Verdict{}
	}
	return Verdict{Serve: now <= until, Refuse: now <= until-k.refuseEarlier}
}

// Now reads the boot-time clock.
func (k *Keeper) Now() time.Duration { return k.clock() }

// StoreAnswered records an answer of the store; Received is set here.
func (k *Keeper) StoreAnswered(a Answer) {
	if k == nil {
		return
	}
	a.Received = k.clock()
	k.update(func(t *Tracker) { t.StoreAnswered(a) })
}

// PeerProved records a peer's proof; see Tracker.PeerProved.
func (k *Keeper) PeerProved(proof time.Duration) {
	if k == nil || int64(proof) <= k.proof.Load() {
		return
	}
	now := k.clock()
	k.update(func(t *Tracker) { t.PeerProved(now, proof) })
}

// PeerClock records a peer's bound of the store's clock; see Tracker.PeerClock.
func (k *Keeper) PeerClock(sent, upper time.Duration) {
	if k == nil {
		return
	}
	k.update(func(t *Tracker) { t.PeerClock(sent, upper) })
}

// Reset forgets everything; see Tracker.Reset.
func (k *Keeper) Reset() {
	if k != nil {
		k.update((*Tracker).Reset)
	}
}

// Age returns the largest possible age of the newest proof, and whether there is one.
func (k *Keeper) Age() (time.Duration, bool) {
	if k == nil {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Age(k.clock())
}

// Report returns what peers may learn; see Tracker.Report.
func (k *Keeper) Report() (proof, upper time.Duration) {
	if k == nil {
		return 0, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Report(k.clock())
}

// Next returns where to look for a newer proof now; see Tracker.Next.
func (k *Keeper) Next() Search {
	if k == nil {
		return Search{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Next(k.clock())
}
