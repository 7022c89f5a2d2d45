package routing

import (
	"testing"
	"time"
)

// TestFullLineIsSeenAndForgotten covers a machine whose line large answers fill
// for half a second, asked 50 times a second.
func TestFullLineIsSeenAndForgotten(t *testing.T) {
	var l Line
	now := time.Duration(0)
	observe := func(took time.Duration, times int) {
		for range times {
			now += 20 * ms
			l.Observe(now, took)
		}
	}
	observe(5*ms, 100)
	if got := l.Delay(now); got > 6*ms {
		t.Errorf("a quick line takes %s", got)
	}
	observe(300*ms, 25)
	if got := l.Delay(now); got < 200*ms {
		t.Errorf("a full line takes %s", got)
	}
	observe(5*ms, 50)
	if got := l.Delay(now); got > 30*ms {
		t.Errorf("after the answers have passed the line takes %s", got)
	}
	observe(300*ms, 25)
	if got := l.Delay(now + 2*time.Second); got > ms {
		t.Errorf("without news for two seconds the line takes %s", got)
	}
}
