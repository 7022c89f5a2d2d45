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

// TestTurnGrantedAtTheEndOfItsContextReturnsItsCredit covers a connection that ends at the
// moment at which a part is granted: the part is not sent, and others must not wait for it.
func TestTurnGrantedAtTheEndOfItsContextReturnsItsCredit(t *testing.T) {
	link := NewLink(8_000_000)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// Both the grant and the end of the context are there when Await looks.
	for range 100 {
		if link.Await(ended, 0, PartBytes) {
			t.Fatal("the part was sent on a closed connection")
		}
		link.mu.Lock()
		credit := link.shaper.credit
		link.mu.Unlock()
		if credit < 0 {
			t.Fatalf("%.0f bytes of credit after a part that was not sent", credit)
		}
	}
}
