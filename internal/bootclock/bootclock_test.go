package bootclock

import (
	"testing"
	"time"
)

func TestClockAdvancesWithTime(t *testing.T) {
	before, began := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, measured := Now()-before, time.Since(began)
	if passed < 20*time.Millisecond || passed > measured+10*time.Millisecond {
		t.Errorf("the clock advanced by %s in %s", passed, measured)
	}
}
