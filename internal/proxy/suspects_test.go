package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/manifest"
)

// TestNewCrashesAreReportedToAllPeers covers daemons that are not connected to the
// one whose upstream crashed: they learn of the crash from another peer. A daemon
// reports to all peers again only if a received crash is new to it.
func TestNewCrashesAreReportedToAllPeers(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	var reports atomic.Int64
	p.deps.BroadcastState = func() { reports.Add(1) }
	awaitReports := func(want int64) {
		time.Sleep(2 * suspectReportInterval)
		if got := reports.Load(); got != want {
			t.Errorf("%d reports to all peers, want %d", got, want)
		}
	}
	suspect := &hopv1.Suspect{Fingerprint: 1, Crashes: []uint64{7}}
	p.MergeSuspects([]*hopv1.Suspect{suspect})
	p.MergeSuspects([]*hopv1.Suspect{suspect})
	awaitReports(1)
	suspect.Crashes = append(suspect.Crashes, 8)
	p.MergeSuspects([]*hopv1.Suspect{suspect})
	awaitReports(2)
	if got := p.StateWithSuspects().GetSuspects(); len(got) != 1 {
		t.Errorf("suspects %v, want one", got)
	}
}

// TestCrashOfManyRequestsIsReportedTogether covers an upstream that crashes while it
// runs many requests, and peers that each learn of them one by one. A report for each
// would load the network links of the fleet with the square of its size.
func TestCrashOfManyRequestsIsReportedTogether(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	var reports atomic.Int64
	p.deps.BroadcastState = func() { reports.Add(1) }
	for fingerprint := range uint64(100) {
		p.MergeSuspects([]*hopv1.Suspect{{Fingerprint: fingerprint, Crashes: []uint64{7}}})
	}
	time.Sleep(2 * suspectReportInterval)
	if got := reports.Load(); got < 1 || got > 2 {
		t.Errorf("100 suspects of one crash were reported %d times, want once or twice", got)
	}
	if got := len(p.StateWithSuspects().GetSuspects()); got != 100 {
		t.Errorf("%d suspects are reported, want 100", got)
	}
}
