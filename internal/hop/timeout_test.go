package hop

import (
	"testing"
	"time"
)

// TestTimeoutGrowsWithObservedDelay covers network links that large answers
// saturate for parts of a second. On a fast network the timeout must stay at its
// minimum, so that a partition is detected quickly.
func TestTimeoutGrowsWithObservedDelay(t *testing.T) {
	timeout := &AdaptiveTimeout{}
	const now = time.Minute
	timeout.RecordPingDelay(now, 20*time.Millisecond)
	if got := timeout.Timeout(now); got != minTimeout {
		t.Errorf("after a delay of 20 ms: timeout %s, want the minimum", got)
	}
	timeout.RecordPingDelay(now, 300*time.Millisecond)
	if got := timeout.Timeout(now); got != 900*time.Millisecond {
		t.Errorf("after a delay of 300 ms: timeout %s, want 900 ms", got)
	}
	timeout.RecordPingDelay(now, 200*time.Millisecond)
	if got := timeout.Timeout(now); got != 900*time.Millisecond {
		t.Errorf("a shorter delay changed the timeout to %s", got)
	}
	timeout.RecordFalsePositive(now, 900*time.Millisecond)
	timeout.RecordFalsePositive(now, 1800*time.Millisecond)
	if got := timeout.Timeout(now); got != maxTimeout {
		t.Errorf("after false positives: timeout %s, want the maximum", got)
	}
	if got := timeout.Timeout(now + 5*timeoutDecay); got > minTimeout+20*time.Millisecond {
		t.Errorf("after five time constants: timeout %s, want about the minimum", got)
	}
}

// TestPeerIdleTimeExcludesLocalLinkIdleTime covers a machine whose local network
// link is saturated, so that nothing arrives from any peer.
func TestPeerIdleTimeExcludesLocalLinkIdleTime(t *testing.T) {
	timeout := &AdaptiveTimeout{}
	const now = time.Minute
	timeout.RecordReceive(now - 300*time.Millisecond)
	if got := timeout.PeerIdleTime(now, 280*time.Millisecond); got != 0 {
		t.Errorf("all peers are idle: got %s, want 0", got)
	}
	timeout.RecordReceive(now - 10*time.Millisecond)
	if got := timeout.PeerIdleTime(now, 280*time.Millisecond); got != 270*time.Millisecond {
		t.Errorf("one peer is idle: got %s, want 270 ms", got)
	}
}
