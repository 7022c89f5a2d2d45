package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeClock is a wall clock that tests move.
type fakeClock struct{ millis atomic.Int64 }

func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.millis.Store(1_700_000_000_000)
	return c
}

func (c *fakeClock) now() time.Time          { return time.UnixMilli(c.millis.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.millis.Add(d.Milliseconds()) }

func stamped(created time.Time, rest string) string {
	return string(StampAttempt(nil, created)) + rest
}

func testFences(maxAttempts int) (*Fences, *fakeClock) {
	clock := newFakeClock()
	cfg := DefaultFenceConfig()
	cfg.MaxAttempts = maxAttempts
	return NewFences(cfg, clock.now), clock
}

func TestFenceAndStartExcludeEachOther(t *testing.T) {
	fences, clock := testFences(1 << 16)
	started := stamped(clock.now(), "started")
	fenced := stamped(clock.now(), "fenced")
	steps := []struct {
		name string
		got  bool
		want bool
	}{
		{"first start", fences.Start(started), true},
		{"second start", fences.Start(started), false},
		{"fence of a started one", fences.Fence(started), false},
		{"first fence", fences.Fence(fenced), true},
		{"start of a fenced one", fences.Start(fenced), false},
		{"second fence", fences.Fence(fenced), true},
		{"start without a time of creation", fences.Start("kendal-a-1"), false},
		{"fence without a time of creation", fences.Fence("kendal-a-1"), false},
		{"start from the future", fences.Start(stamped(clock.now().Add(time.Hour), "f")), false},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: %t, want %t", s.name, s.got, s.want)
		}
	}
}

// TestForgottenFenceStaysClosed forgets fences by age and by number, with the
// clock going forward and back, and sends the fenced attempts again.
func TestForgottenFenceStaysClosed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		limit int
		pass  time.Duration
	}{
		{"by age", 1 << 16, 3 * time.Minute},
		{"by number", fenceShards, 0},
		{"clock stepped back", fenceShards, -time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fences, clock := testFences(tc.limit)
			var attempts []string
			for i := range 500 {
				attempt := stamped(clock.now(), fmt.Sprint(i))
				attempts = append(attempts, attempt)
				if !fences.Fence(attempt) {
					t.Fatalf("attempt %d not fenced", i)
				}
				clock.advance(time.Millisecond)
			}
			clock.advance(tc.pass)
			for i := range 500 {
				fences.Start(stamped(clock.now(), fmt.Sprint("other", i)))
			}
			for _, attempt := range attempts {
				if fences.Start(attempt) {
					t.Fatalf("fenced attempt %s started", attempt)
				}
			}
		})
	}
}

// TestFenceRace lets a start and a fence of each attempt race: exactly one of
// them must win.
func TestFenceRace(t *testing.T) {
	fences, clock := testFences(1 << 20)
	const attempts = 2000
	var starts, fenced atomic.Int64
	for i := range attempts {
		attempt := stamped(clock.now(), fmt.Sprint(i))
		var ready, group sync.WaitGroup
		ready.Add(1)
		race := func(decide func(string) bool, won *atomic.Int64) {
			defer group.Done()
			ready.Wait()
			if decide(attempt) {
				won.Add(1)
			}
		}
		group.Add(2)
		go race(fences.Start, &starts)
		go race(fences.Fence, &fenced)
		ready.Done()
		group.Wait()
	}
	if sum := starts.Load() + fenced.Load(); sum != attempts {
		t.Errorf("%d starts and %d fences of %d attempts, want exactly one of each", starts.Load(), fenced.Load(), attempts)
	}
}

func BenchmarkFenceStart(b *testing.B) {
	fences := NewFences(DefaultFenceConfig(), time.Now)
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			fences.Start(stamped(time.Now(), fmt.Sprint(n.Add(1))))
		}
	})
}
