// Package freshness decides whether the configuration in force is provably recent, so
// that requests may be served with the customers' keys in it, and where the daemon
// looks for a newer proof.
//
// A proof is a time on the store's clock at which no configuration newer than the one
// in force had been accepted. It stays valid when a newer configuration comes into
// force, and may be passed on to any daemon whose configuration is not older than that
// of the daemon that has it.
//
// Tracker, ChooseSources and Margin make the decisions and do no I/O. SharedTracker makes
// a Tracker usable from several goroutines and gives it the clock.
package freshness

import (
	"math"
	"time"

	"godwitmount/internal/store"
)

const (
	// driftDivisor bounds the difference between the rates of two machines' clocks:
	// one part in driftDivisor. The kernel adjusts its clocks by at most 500 parts in
	// a million.
	driftDivisor = 2000
	// clockResolution is the unit of the store's clock, which is rounded down.
	clockResolution = time.Millisecond
	// settleTime is how long after a daemon has first seen an era of the store, other
	// than the first one, the answers of the store prove nothing. A store that came
	// back from an older copy may lack the newest configuration, which peers report
	// within this time: a read timeout of 400 ms, a new connection and its handshake.
	settleTime = 1200 * time.Millisecond
	// marginShare is the part of the limit that is left as a margin, for the time that
	// the store may take between reading its rows and its clock; at least minMargin.
	marginShare = 20
	minMargin   = 50 * time.Millisecond
)

// Margin returns the part of limit by which a proof must be younger.
func Margin(limit time.Duration) time.Duration { return max(limit/marginShare, minMargin) }

// The ages of a proof, as shares of the largest one with which requests are served,
// from which a daemon looks for a newer one. With a largest age of 4.75 s, peers are
// asked at 0.95 to 1.4 s, when the proof of the next poll of the data centre's store
// watchers should have arrived, and the store from 1.9 to 2.4 s on.
const (
	askShare  = 0.2
	readShare = 0.4
	// spreadShare is the range over which the daemons of a mesh are spread, by
	// Config.Share: the first ones pass the proof on to the others.
	spreadShare = 0.1
	// refuseShare is the largest age with which a key counts as unknown. In calm times
	// no proof is as old: the oldest of a replay is 0.33 of the largest age.
	refuseShare = 0.45
	// minAskShare and maxAskShare bound the interval at which peers are asked,
	// minReadShare and maxReadShare that at which the store is read. Intervals double
	// while no newer proof is found.
	minAskShare  = 0.05
	maxAskShare  = 0.2
	minReadShare = 0.2
	maxReadShare = 2
)

// Config holds the parameters of a Tracker.
type Config struct {
	// MaxAge is the largest age of a proof with which requests are served.
	MaxAge time.Duration
	// Share, in [0,1), differs between the daemons of a mesh.
	Share float64
}

// Answer describes one answer of the store. Received is on this machine's boot-time
// clock, like the time Sent of the reading.
type Answer struct {
	store.Reading
	Received time.Duration
	Era      store.Era
	// Newest is set if the answer shows that the store has no configuration that is
	// newer than the one in force.
	Newest bool
}

// bound is an upper bound of the store's clock: at the time at of this machine's
// boot-time clock, the store's clock showed at most store.
type bound struct{ at, store time.Duration }

// upper returns the bound at a time that is not before at.
func (b bound) upper(now time.Duration) time.Duration {
	passed := now - b.at
	return b.store + clockResolution + passed + passed/driftDivisor
}

// tighter reports whether b is lower than other at all times after both, at which both
// rise at the same rate.
func (b bound) tighter(other bound) bool { return b.upper(b.at) < other.upper(b.at) }

// Tracker knows the newest proof and the present time of the store's clock. It is not
// safe for concurrent use.
type Tracker struct {
	cfg Config
	// proof is valid while proven is set, clock while clockKnown is.
	proof      time.Duration
	proven     bool
	clock      bound
	clockKnown bool
	// era is the latest era of an answer, and eraSeen when it was first seen; both are
	// valid while eraKnown is set. Settled is set once answers of the era prove
	// something.
	era      store.Era
	eraSeen  time.Duration
	eraKnown bool
	settled  bool
	// nextAsk and nextRead are the earliest times of the next search for a proof,
	// askInterval and readInterval the times to the one after it.
	nextAsk, nextRead         time.Duration
	askInterval, readInterval time.Duration
}

// NewTracker returns a tracker without a proof.
func NewTracker(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg}
	t.resetIntervals()
	return t
}

// share returns a part of the largest age.
func (t *Tracker) share(part float64) time.Duration {
	return time.Duration(part * float64(t.cfg.MaxAge))
}

func (t *Tracker) resetIntervals() {
	t.askInterval, t.readInterval = t.share(minAskShare), t.share(minReadShare)
}

// Reset forgets everything, for use when another store is used.
func (t *Tracker) Reset() { *t = *NewTracker(t.cfg) }

// StoreAnswered records an answer of the store to this daemon.
func (t *Tracker) StoreAnswered(a Answer) {
	own := bound{at: a.Sent, store: a.StoreTime}
	if t.proven && t.proof > own.upper(a.Received) {
		// The store's clock began anew. Nothing known before can be compared with it.
		t.proven = false
		t.clockKnown = false
	}
	// A clock that is ahead of its bound has jumped. Older proofs then only look older
	// than they are.
	if !t.clockKnown || own.tighter(t.clock) || a.StoreTime > t.clock.upper(a.Received) {
		t.clock, t.clockKnown = own, true
	}
	t.observeEra(a)
	if a.Newest && t.settled {
		t.advance(a.StoreTime)
	}
}

// observeEra decides whether answers of the era prove something. Those of the very
// first era do: the store has never come back from an older copy.
func (t *Tracker) observeEra(a Answer) {
	if !t.eraKnown || a.Era > t.era {
		t.era, t.eraSeen, t.eraKnown = a.Era, a.Received, true
		t.settled = a.Era == 0
	}
	if a.Received-t.eraSeen >= settleTime {
		t.settled = true
	}
}

// advance makes proof the newest one, unless it is older.
func (t *Tracker) advance(proof time.Duration) {
	if t.proven && proof <= t.proof {
		return
	}
	t.proof, t.proven = proof, true
	t.resetIntervals()
}

// PeerProved records the proof of a peer whose configuration is not newer than the one
// in force. A proof from later than now is not used: it is from another clock.
func (t *Tracker) PeerProved(now, proof time.Duration) {
	if t.clockKnown && proof > t.clock.upper(now) {
		return
	}
	t.advance(proof)
}

// PeerClock records an upper bound of the store's clock that a peer reported in reply
// to a message which this daemon sent at the given time. Daemons that cannot reach the
// store learn its time in this way.
func (t *Tracker) PeerClock(sent, upper time.Duration) {
	reported := bound{at: sent, store: upper}
	if !t.clockKnown || reported.tighter(t.clock) {
		t.clock, t.clockKnown = reported, true
	}
}

// Age returns the largest possible age of the newest proof, and whether there is one.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	if !t.proven || !t.clockKnown {
		return 0, false
	}
	return t.clock.upper(now) - t.proof, true
}

// ServedUntil returns the boot time until which the proof is young enough to serve
// requests, and whether there is a proof.
func (t *Tracker) ServedUntil() (time.Duration, bool) {
	if !t.proven || !t.clockKnown {
		return 0, false
	}
	left := t.proof + t.cfg.MaxAge - t.clock.store - clockResolution
	// While left passes here, the store's clock may advance by one part in
	// driftDivisor more. For a negative time, rounding up the correction is safe, too.
	return t.clock.at + left - time.Duration(math.Abs(float64(left)))/driftDivisor, true
}

// Report returns what peers may learn: the newest proof and the upper bound of the
// store's clock at now; 0 stands for unknown.
func (t *Tracker) Report(now time.Duration) (proof, upper time.Duration) {
	if t.proven {
		proof = t.proof
	}
	if t.clockKnown {
		upper = t.clock.upper(now)
	}
	return proof, upper
}

// Search says where to look for a newer proof.
type Search struct {
	// Ask says that peers are to be asked, Read that the store is to be read.
	Ask, Read bool
}

// Next returns where to look for a newer proof now, and records that this is done.
func (t *Tracker) Next(now time.Duration) Search {
	age, proven := t.Age(now)
	spread := spreadShare * t.cfg.Share
	var search Search
	if (!proven || age >= t.share(askShare+spread)) && now >= t.nextAsk {
		search.Ask = true
		t.nextAsk = now + t.askInterval
		t.askInterval = min(2*t.askInterval, t.share(maxAskShare))
	}
	if (!proven || age >= t.share(readShare+spread)) && now >= t.nextRead {
		search.Read = true
		t.nextRead = now + t.readInterval
		t.readInterval = min(2*t.readInterval, t.share(maxReadShare))
	}
	return search
}
