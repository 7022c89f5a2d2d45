package hop

import (
	"testing"
	"time"
)

// TestQueueDelay covers a network link that is saturated for a second, a sender
// that was suspended, and clocks with different origins.
func TestQueueDelay(t *testing.T) {
	const ms = time.Millisecond
	var q queueDelay
	for _, step := range []struct {
		arrived, sent, want time.Duration
	}{
		{1000 * ms, 900000 * ms, 0},
		{1100 * ms, 900095 * ms, 5 * ms},
		{1200 * ms, 900205 * ms, 0},
		{2500 * ms, 900300 * ms, 1205 * ms},
		{2501 * ms, 901500 * ms, 6 * ms},
		// The minimum of the previous window is still in use.
		{3500 * ms, 902305 * ms, 200 * ms},
		// The sender was suspended for 5 s and its clock stood still.
		{9000 * ms, 902805 * ms, 0},
		{9100 * ms, 902905 * ms, 0},
	} {
		if got := q.delay(step.arrived, step.sent); got != step.want {
			t.Errorf("arrived %s, sent %s: delay %s, want %s", step.arrived, step.sent, got, step.want)
		}
	}
}
