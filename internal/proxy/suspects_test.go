package proxy

import (
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/manifest"
)

// TestNewsOfCrashesIsPassedOn covers daemons that are not connected to the one
// where an upstream crashed.
func TestNewsOfCrashesIsPassedOn(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	told := 0
	p.deps.Tell = func() { told++ }
	suspect := &hopv1.Suspect{Fingerprint: 1, Crashes: []uint64{7}}
	p.Suspected([]*hopv1.Suspect{suspect})
	p.Suspected([]*hopv1.Suspect{suspect})
	if told != 1 {
		t.Errorf("passed on %d times", told)
	}
	suspect.Crashes = append(suspect.Crashes, 8)
	p.Suspected([]*hopv1.Suspect{suspect})
	if told != 2 || len(p.Greeting().GetSuspects()) != 1 {
		t.Errorf("the second crash was passed on %d times, with %v", told-1, p.Greeting().GetSuspects())
	}
}
