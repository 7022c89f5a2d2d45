package freshness

import (
	"testing"
	"time"

	"godwitmount/internal/store"
)

const (
	testLimit = 5 * time.Second
	ms        = time.Millisecond
)

func testTracker() *Tracker {
	return NewTracker(Config{MaxAge: testLimit - Margin(testLimit)})
}

// answer returns an answer of era 0 that proves the configuration at storeTime, to a
// call that was sent and received at the given times.
func answer(storeTime, sent, received time.Duration) Answer {
	return Answer{Reading: store.Reading{StoreTime: storeTime, Sent: sent}, Received: received, Newest: true}
}

// served reports whether the tracker serves requests at now.
func served(t *Tracker, now time.Duration) bool {
	until, proven := t.ServedUntil()
	return proven && now <= until
}

func TestProofExpires(t *testing.T) {
	tracker := testTracker()
	if served(tracker, 0) {
		t.Error("served without a proof")
	}
	tracker.StoreAnswered(answer(100*time.Second, 10*time.Second, 10*time.Second+5*ms))
	largest := testLimit - Margin(testLimit)
	if !served(tracker, 10*time.Second+largest-10*ms) || served(tracker, 10*time.Second+largest) {
		until, _ := tracker.ServedUntil()
		t.Errorf("served until %s", until)
	}
	// The store's clock is rounded down, so that the answer may be 1 ms old already.
	if age, _ := tracker.Age(10 * time.Second); age < ms {
		t.Errorf("age %s at once", age)
	}
	if age, proven := tracker.Age(11 * time.Second); !proven || age < time.Second || age > time.Second+3*ms {
		t.Errorf("age %s after a second", age)
	}
}

// TestClocksMayDrift covers a daemon that has not reached the store for an hour, whose
// clock is slower than the store's by the largest difference, and that gets a proof from
// a peer.
func TestClocksMayDrift(t *testing.T) {
	tracker := testTracker()
	tracker.StoreAnswered(answer(100*time.Second, 0, 0))
	now, drift := time.Hour, time.Hour/driftDivisor
	proof := 100*time.Second + now
	tracker.PeerProved(now, proof)
	if age, _ := tracker.Age(now); age < drift {
		t.Errorf("age %s, although the store's clock may be %s ahead", age, drift)
	}
	if largest := testLimit - Margin(testLimit); served(tracker, now+largest-drift) || !served(tracker, now+largest-drift-10*ms) {
		until, _ := tracker.ServedUntil()
		t.Errorf("served until %s after the proof", until-now)
	}
}

// TestSuspendedMachineRefusesAtOnce covers a machine that is suspended for a minute: the
// boot-time clock has gone on, so that the first request after it is refused, and the
// answer to a call that was sent before proves nothing recent.
func TestSuspendedMachineRefusesAtOnce(t *testing.T) {
	tracker := testTracker()
	tracker.StoreAnswered(answer(100*time.Second, 10*time.Second, 10*time.Second+5*ms))
	if served(tracker, 70*time.Second) {
		t.Error("served after a minute")
	}
	tracker.StoreAnswered(answer(101*time.Second, 10*time.Second+6*ms, 70*time.Second))
	if served(tracker, 70*time.Second) {
		t.Error("an answer from before the suspension counts as recent")
	}
}

// TestLongCallsDoNotAgeTheProof covers store watchers, whose calls wait for seconds. The
// bound of the store's clock from an earlier short call shows that the answer is recent.
func TestLongCallsDoNotAgeTheProof(t *testing.T) {
	tracker := testTracker()
	tracker.StoreAnswered(answer(100*time.Second, 10*time.Second, 10*time.Second+5*ms))
	tracker.StoreAnswered(answer(102*time.Second, 10*time.Second+5*ms, 12*time.Second+5*ms))
	if age, _ := tracker.Age(12*time.Second + 5*ms); age > 20*ms {
		t.Errorf("age %s at the end of a call", age)
	}
}

// TestPeersProveWithoutTheStore covers a daemon that has never reached the store: it
// learns the store's clock and proofs from peers.
func TestPeersProveWithoutTheStore(t *testing.T) {
	tracker := testTracker()
	tracker.PeerProved(time.Second, 100*time.Second)
	if served(tracker, time.Second) {
		t.Error("served without the store's clock")
	}
	tracker.PeerClock(time.Second, 101*time.Second)
	if age, proven := tracker.Age(time.Second + 20*ms); !proven || age < time.Second+20*ms || age > time.Second+30*ms {
		t.Errorf("age %s, proven %t", age, proven)
	}
	if !served(tracker, 4*time.Second) || served(tracker, 5*time.Second) {
		t.Error("not served while the proof is recent, or served later")
	}
	tracker.PeerProved(5*time.Second, 999*time.Second)
	if served(tracker, 5*time.Second) {
		t.Error("a proof from the future counts")
	}
}

// TestOlderCopyProvesNothingAtFirst covers a store that came back from an older copy
// while the daemon ran, and one that did so before the daemon started. The newest
// configuration may be lost there; until peers have had time to report it, the answers
// prove nothing.
func TestOlderCopyProvesNothingAtFirst(t *testing.T) {
	for name, began := range map[string]bool{"running": true, "started": false} {
		tracker := testTracker()
		if began {
			tracker.StoreAnswered(answer(100*time.Second, 10*time.Second, 10*time.Second))
		}
		at := 20 * time.Second
		for ; at < 20*time.Second+settleTime; at += 100 * ms {
			a := answer(at+90*time.Second, at, at)
			a.Era = 3
			tracker.StoreAnswered(a)
			if served(tracker, at) {
				t.Fatalf("%s: served %s after the first answer of the era", name, at-20*time.Second)
			}
		}
		a := answer(at+90*time.Second, at, at)
		a.Era = 3
		tracker.StoreAnswered(a)
		if !served(tracker, at) {
			t.Errorf("%s: not served after the time to settle", name)
		}
	}
}

// TestClockThatBeginsAnewIsNotCompared covers a store whose clock starts again, against
// its contract. The old proof would look as if it were from the future and never expire.
func TestClockThatBeginsAnewIsNotCompared(t *testing.T) {
	tracker := testTracker()
	tracker.StoreAnswered(answer(10000*time.Second, 10*time.Second, 10*time.Second))
	a := answer(time.Second, 11*time.Second, 11*time.Second)
	a.Newest = false
	tracker.StoreAnswered(a)
	if served(tracker, 11*time.Second) {
		t.Error("served with a proof on the old clock")
	}
	tracker.StoreAnswered(answer(2*time.Second, 12*time.Second, 12*time.Second))
	if !served(tracker, 13*time.Second) || served(tracker, 17*time.Second) {
		t.Error("not served with a proof on the new clock, or for too long")
	}
	tracker.Reset()
	if served(tracker, 13*time.Second) {
		t.Error("served after the store was replaced")
	}
}
