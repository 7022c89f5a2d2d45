package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestEjection runs a transcript of one upstream's failures and successes.
func TestEjection(t *testing.T) {
	var e ejection
	cfg := DefaultEjection()
	datadriven.RunTest(t, "testdata/ejection", func(t *testing.T, d *datadriven.TestData) string {
		ms, random, times, room := 0, 0, 1, true
		d.MaybeScanArgs(t, "at-ms", &ms)
		d.MaybeScanArgs(t, "random-percent", &random)
		d.MaybeScanArgs(t, "times", &times)
		d.MaybeScanArgs(t, "room", &room)
		now := time.Duration(ms) * time.Millisecond
		switch d.Cmd {
		case "new":
			e = ejection{}
			return ""
		case "fail":
			var length time.Duration
			for range times {
				length = e.failed(cfg, now, room, ^uint64(0)/100*uint64(random))
			}
			return fmt.Sprintf("ejected for %s\n", length.Round(time.Millisecond))
		case "succeed":
			return fmt.Sprintf("returned %t\n", e.succeeded(now))
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
}
