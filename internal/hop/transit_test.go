package hop

import (
	"testing"
	"time"
)

// TestTransit replays a line that answers fill for a second, a sender that was
// suspended, and one whose clock began long before.
func TestTransit(t *testing.T) {
	const ms = time.Millisecond
	var tr transit
	for _, step := range []struct {
		arrived, sent, want time.Duration
	}{
		{1000 * ms, 900000 * ms, 0},
		{1100 * ms, 900095 * ms, 5 * ms},
		{1200 * ms, 900205 * ms, 0},
		{2500 * ms, 900300 * ms, 1205 * ms},
		{2501 * ms, 901500 * ms, 6 * ms},
		// Quick frames of the window before still count.
		{3500 * ms, 902305 * ms, 200 * ms},
		// Suspended for 5 s: the clock stood still.
		{9000 * ms, 902805 * ms, 0},
		{9100 * ms, 902905 * ms, 0},
	} {
		if got := tr.delay(step.arrived, step.sent); got != step.want {
			t.Errorf("arrived %s, sent %s: delay %s, want %s", step.arrived, step.sent, got, step.want)
		}
	}
}
