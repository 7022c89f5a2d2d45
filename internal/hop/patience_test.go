package hop

import (
	"testing"
	"time"
)

// TestSilenceIsBorneLongerOnFullLines covers lines that large answers fill for
// parts of a second, and a cut in an otherwise quick network.
func TestSilenceIsBorneLongerOnFullLines(t *testing.T) {
	p := &Patience{}
	const now = time.Minute
	p.Delayed(now, 20*time.Millisecond)
	if got := p.GiveUpAfter(now); got != minGiveUp {
		t.Errorf("quick peers: %s", got)
	}
	p.Delayed(now, 300*time.Millisecond)
	if got := p.GiveUpAfter(now); got != 900*time.Millisecond {
		t.Errorf("after a delay of 300 ms: %s", got)
	}
	p.Delayed(now, 200*time.Millisecond)
	if got := p.GiveUpAfter(now); got != 900*time.Millisecond {
		t.Errorf("a shorter delay made it %s", got)
	}
	p.FalseAlarm(now, 900*time.Millisecond)
	p.FalseAlarm(now, 1800*time.Millisecond)
	if got := p.GiveUpAfter(now); got != maxGiveUp {
		t.Errorf("after false alarms: %s", got)
	}
	if got := p.GiveUpAfter(now + 5*patienceFade); got > minGiveUp+20*time.Millisecond {
		t.Errorf("long after: %s", got)
	}
}

// TestOwnLineExplainsSilence covers a machine whose own line is full: all peers
// are silent at once.
func TestOwnLineExplainsSilence(t *testing.T) {
	p := &Patience{}
	const now = time.Minute
	p.Heard(now - 300*time.Millisecond)
	if got := p.Excess(now, 280*time.Millisecond); got != 0 {
		t.Errorf("all are silent, and one is blamed for %s", got)
	}
	p.Heard(now - 10*time.Millisecond)
	if got := p.Excess(now, 280*time.Millisecond); got != 270*time.Millisecond {
		t.Errorf("one is silent, and is blamed for %s", got)
	}
}
