package shaping

import (
	"context"
	"testing"
	"time"
)

func TestLinkWithoutLimitNeverWaits(t *testing.T) {
	link := NewLink(0)
	link.Consume(1 << 30)
	if !link.Await(context.Background(), link.Now(), 1<<30) {
		t.Error("the part was refused")
	}
}

func TestPartsAreSentAsTheLinkHasRoom(t *testing.T) {
	const rate, parts, size = 8_000_000, 20, 10_000
	link := NewLink(rate)
	began := time.Now()
	order := link.Now()
	for range parts {
		if !link.Await(context.Background(), order, size) {
			t.Fatal("the part was refused")
		}
	}
	if took := time.Since(began); took < 100*time.Millisecond {
		t.Errorf("200 kB at 0.9 MB/s were sent within %s", took)
	}
}

func TestWaitEndsWithTheConnection(t *testing.T) {
	link := NewLink(8000)
	link.Consume(1 << 20)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if link.Await(ended, 0, 1000) {
		t.Error("the part was sent on a closed connection")
	}
	if len(link.shaper.waiting) > 0 {
		t.Error("the turn of a closed connection is left")
	}
}
