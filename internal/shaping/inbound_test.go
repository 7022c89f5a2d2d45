package shaping

import (
	"testing"
	"time"
)

func TestFastAndUnknownLinksAreNotPaced(t *testing.T) {
	for rate, want := range map[int64]bool{0: false, 10_000_000: true, 99_999_000: true, 100_000_000: false} {
		link := NewLink(rate)
		if paced := link.Inbound() != nil; paced != want || IsPaced(link.Kbps()) != want {
			t.Errorf("%d bit/s: paced %t, by its kbps %t, want %t", rate, paced, IsPaced(link.Kbps()), want)
		}
	}
	NewLink(0).Inbound().Consume(1 << 20)
}

// TestGrantsFollowArrivals covers a frame larger than what is granted at once: its further
// parts are granted by timers and by arrivals, none is missing, and none too many.
func TestGrantsFollowArrivals(t *testing.T) {
	in := NewLink(80_000_000).Inbound()
	grants := make(chan int, 100)
	const parts = 20
	transfer, _ := in.Announce(Announcement{Kind: ReplyFrame, Bytes: parts * PartBytes}, func(bytes int) { grants <- bytes })
	for total := 0; total < parts*PartBytes; {
		select {
		case bytes := <-grants:
			total += bytes
			in.Arrived(transfer, bytes)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d bytes granted, then nothing", total)
		}
	}
	in.End(transfer)
	if len(grants) > 0 || in.Backlog() > 0 || in.Transfers() > 0 {
		t.Errorf("%d more grants, backlog %s of %d frames", len(grants), in.Backlog(), in.Transfers())
	}
}
