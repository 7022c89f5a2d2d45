package proxy

import (
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/manifest"
)

// TestNewCrashesAreReportedToAllPeers covers daemons that are not connected to the
// one whose upstream crashed: they learn of the crash from another peer. A daemon
// reports to all peers again only if a received crash is new to it.
func TestNewCrashesAreReportedToAllPeers(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	reports := 0
	p.deps.BroadcastState = func() { reports++ }
	suspect := &hopv1.Suspect{Fingerprint: 1, Crashes: []uint64{7}}
	p.MergeSuspects([]*hopv1.Suspect{suspect})
	p.MergeSuspects([]*hopv1.Suspect{suspect})
	if reports != 1 {
		t.Errorf("the first crash was reported %d times, want once", reports)
	}
	suspect.Crashes = append(suspect.Crashes, 8)
	p.MergeSuspects([]*hopv1.Suspect{suspect})
	if reports != 2 || len(p.StateWithSuspects().GetSuspects()) != 1 {
		t.Errorf("the second crash was reported %d times, want once; suspects %v", reports-1, p.StateWithSuspects().GetSuspects())
	}
}
