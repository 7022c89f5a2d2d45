package quarantine

import (
	"testing"
	"time"
)

func TestSecondCrashRefuses(t *testing.T) {
	s := NewSet()
	if s.Refused(1, 0) || !s.Empty() {
		t.Error("refused from the start")
	}
	s.Add(Suspect{1, []Crash{10}}, 0)
	if s.Refused(1, 0) {
		t.Error("one crash does not refuse: others ran as well")
	}
	if s.Add(Suspect{1, []Crash{10}}, time.Second) {
		t.Error("the same crash is not new")
	}
	s.Add(Suspect{1, []Crash{11}}, time.Second)
	if !s.Refused(1, 2*time.Second) || s.Refused(2, 2*time.Second) {
		t.Error("want the one with two crashes refused")
	}
}

func TestSuspectsAreForgotten(t *testing.T) {
	s := NewSet()
	s.Add(Suspect{1, []Crash{10, 11}}, 0)
	if s.Refused(1, memory) {
		t.Error("still refused")
	}
	s.Add(Suspect{2, []Crash{12}}, memory)
	if known := s.Known(10); len(known) != 1 || known[0].Fingerprint != 2 {
		t.Errorf("%v", known)
	}
}

func TestNumberOfSuspectsIsBounded(t *testing.T) {
	s := NewSet()
	for i := range 2 * maxSuspects {
		s.Add(Suspect{Fingerprint(i), []Crash{1}}, time.Duration(i))
	}
	if n := len(s.Known(1 << 20)); n != maxSuspects {
		t.Errorf("%d suspects", n)
	}
	if n := len(s.Known(5)); n != 5 {
		t.Errorf("%d of five", n)
	}
}
