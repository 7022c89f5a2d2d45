package quarantine

import (
	"testing"
	"time"
)

func TestRequestIsRefusedFromSecondCrash(t *testing.T) {
	s := NewSet()
	if s.Quarantined(1, 0) || !s.Empty() {
		t.Error("an empty set refuses a request")
	}
	s.Add(Suspect{1, []Crash{10}}, 0)
	if s.Quarantined(1, 0) {
		t.Error("refused after one crash, at which other requests were running as well")
	}
	if s.Add(Suspect{1, []Crash{10}}, time.Second) {
		t.Error("the same crash is reported as new")
	}
	s.Add(Suspect{1, []Crash{11}}, time.Second)
	if !s.Quarantined(1, 2*time.Second) || s.Quarantined(2, 2*time.Second) {
		t.Error("want only the request with two crashes refused")
	}
}

func TestSuspectsExpire(t *testing.T) {
	s := NewSet()
	s.Add(Suspect{1, []Crash{10, 11}}, 0)
	if s.Quarantined(1, suspectTTL) {
		t.Error("refused after its time to live")
	}
	s.Add(Suspect{2, []Crash{12}}, suspectTTL)
	if known := s.Snapshot(10, suspectTTL); len(known) != 1 || known[0].Fingerprint != 2 {
		t.Errorf("suspects %v, want only fingerprint 2", known)
	}
}

func TestNumberOfSuspectsIsBounded(t *testing.T) {
	s := NewSet()
	for i := range 2 * maxSuspects {
		s.Add(Suspect{Fingerprint(i), []Crash{1}}, time.Duration(i))
	}
	if n := len(s.Snapshot(1<<20, 0)); n != maxSuspects {
		t.Errorf("%d suspects, want maxSuspects", n)
	}
	if n := len(s.Snapshot(5, 0)); n != 5 {
		t.Errorf("%d suspects, want the 5 asked for", n)
	}
}

// TestExpiredSuspectsAreNotReported covers a suspect that no other one pushes out
// after its time: peers that have dropped it would take it as new.
func TestExpiredSuspectsAreNotReported(t *testing.T) {
	s := NewSet()
	s.Add(Suspect{Fingerprint: 1, Crashes: []Crash{1}}, 0)
	if got := s.Snapshot(10, 0); len(got) != 1 {
		t.Errorf("reported %v", got)
	}
	if got := s.Snapshot(10, suspectTTL); len(got) != 0 {
		t.Errorf("reported after its time: %v", got)
	}
}
