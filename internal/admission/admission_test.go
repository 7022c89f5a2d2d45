package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const soon = time.Hour // far enough never to matter

func mustAdmit(t testing.TB, g *Gate) Slot {
	t.Helper()
	slot, err := g.Admit(context.Background(), time.Now().Add(soon))
	if err != nil {
		t.Fatal(err)
	}
	return slot
}

func wantErr(t testing.TB, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: got %v, want %v", what, err, want)
	}
}

// queued starts a request that waits, and returns once it is in the queue.
func queued(t testing.TB, g *Gate, ctx context.Context, deadline time.Time) <-chan error {
	t.Helper()
	before := g.Waiting()
	out := make(chan error, 1)
	go func() {
		slot, err := g.Admit(ctx, deadline)
		out <- err
		if err == nil {
			slot.Release()
		}
	}()
	for g.Waiting() == before {
		select {
		case err := <-out:
			out <- err
			return out
		default:
			time.Sleep(time.Millisecond)
		}
	}
	return out
}

func TestQueueIsBoundedAndInOrder(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLimit: 2})
	slot := mustAdmit(t, g)
	var order []int
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range 2 {
		before := g.Waiting()
		group.Go(func() {
			s, err := g.Admit(context.Background(), time.Now().Add(soon))
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, i)
			mu.Unlock()
			s.Release()
		})
		for g.Waiting() == before {
			time.Sleep(time.Millisecond)
		}
	}
	_, err := g.Admit(context.Background(), time.Now().Add(soon))
	wantErr(t, "third waiter", err, Full)
	slot.Release()
	group.Wait()
	if len(order) != 2 || order[0] != 0 || order[1] != 1 {
		t.Errorf("served in order %v", order)
	}
	if g.Running() != 0 || g.Waiting() != 0 {
		t.Errorf("%d running and %d waiting at the end", g.Running(), g.Waiting())
	}
}

func TestWhatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLimit: 10})
	// The mean is long although some requests are quick: the wait in the queue
	// alone would take longer than there is time.
	g.service.add(20 * soon)
	g.service.add(time.Millisecond)
	slot := mustAdmit(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	late := queued(t, g, ctx, time.Now().Add(soon))
	if g.Waiting() != 0 {
		t.Fatal("it waits all the same")
	}
	wantErr(t, "waiter", <-late, TooLate)
	_, err := g.Admit(context.Background(), time.Now().Add(-time.Second))
	wantErr(t, "past deadline", err, TooLate)
	slot.Release()
	// A free slot is given without judging, or nobody would ever be measured
	// again.
	if _, err := g.Admit(context.Background(), time.Now().Add(soon)); err != nil {
		t.Errorf("free slot refused: %v", err)
	}
}

func TestLateWaitersAreDropped(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLimit: 10})
	slot := mustAdmit(t, g)
	late := queued(t, g, context.Background(), time.Now().Add(20*time.Millisecond))
	wantErr(t, "waiter", <-late, TooLate)
	if g.Waiting() != 0 {
		t.Error("the dropped waiter is still counted")
	}
	slot.Release()
	mustAdmit(t, g).Release()
}

func TestCancelledWaiterGivesNothingAway(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLimit: 10})
	slot := mustAdmit(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	waiter := queued(t, g, ctx, time.Now().Add(soon))
	cancel()
	wantErr(t, "waiter", <-waiter, Cancelled)
	slot.Release()
	mustAdmit(t, g).Release()
	if g.Running() != 0 {
		t.Errorf("%d running at the end", g.Running())
	}
}

func TestDrainRefusesNewAndWaitingButNotRunning(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLimit: 10})
	slot := mustAdmit(t, g)
	waiter := queued(t, g, context.Background(), time.Now().Add(soon))
	g.Drain()
	wantErr(t, "waiter", <-waiter, Draining)
	_, err := g.Admit(context.Background(), time.Now().Add(soon))
	wantErr(t, "new request", err, Draining)
	if g.Running() != 1 {
		t.Error("the running request lost its slot")
	}
	slot.Release()
	g.Reopen()
	mustAdmit(t, g).Release()
}

func TestMoreSlotsServeWaiters(t *testing.T) {
	g := NewGate(Config{Slots: 1, QueueLimit: 10})
	slot := mustAdmit(t, g)
	waiter := queued(t, g, context.Background(), time.Now().Add(soon))
	g.Resize(Config{Slots: 2, QueueLimit: 10})
	if err := <-waiter; err != nil {
		t.Error(err)
	}
	g.Resize(Config{Slots: 1, QueueLimit: 0})
	_, err := g.Admit(context.Background(), time.Now().Add(soon))
	wantErr(t, "new request", err, Full)
	slot.Release()
}

// TestNeverMoreThanTheSlots runs many requests with cancellations and checks
// the bound and that no slot is lost.
func TestNeverMoreThanTheSlots(t *testing.T) {
	const slots = 3
	g := NewGate(Config{Slots: slots, QueueLimit: 4})
	var running, served, refused atomic.Int64
	var group sync.WaitGroup
	for worker := range 16 {
		group.Go(func() {
			for i := range 300 {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+worker)%3 == 0 {
					go cancel()
				}
				slot, err := g.Admit(ctx, time.Now().Add(soon))
				if err != nil {
					refused.Add(1)
					cancel()
					continue
				}
				if now := running.Add(1); now > slots {
					t.Errorf("%d run at once", now)
				}
				running.Add(-1)
				served.Add(1)
				slot.Release()
				cancel()
			}
		})
	}
	group.Wait()
	if g.Running() != 0 || g.Waiting() != 0 {
		t.Errorf("%d running and %d waiting at the end", g.Running(), g.Waiting())
	}
	if served.Load()+refused.Load() != 16*300 {
		t.Errorf("%d served and %d refused", served.Load(), refused.Load())
	}
}

func TestConfigIsChecked(t *testing.T) {
	for _, cfg := range []Config{{Slots: 0}, {Slots: 1, QueueLimit: -1}} {
		if cfg.Validate() == nil {
			t.Errorf("%+v passes", cfg)
		}
	}
}

func BenchmarkAdmit(bench *testing.B) {
	g := NewGate(Config{Slots: 100, QueueLimit: 200})
	deadline := time.Now().Add(soon)
	bench.ReportAllocs()
	bench.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if slot, err := g.Admit(context.Background(), deadline); err == nil {
				slot.Release()
			}
		}
	})
}

// TestDrainNeverForgetsAWaiter drains at every moment around the arrival of a
// request.
func TestDrainNeverForgetsAWaiter(t *testing.T) {
	for range 3000 {
		g := NewGate(Config{Slots: 1, QueueLimit: 4})
		slot := mustAdmit(t, g)
		out := make(chan error, 1)
		go func() {
			_, err := g.Admit(context.Background(), time.Now().Add(soon))
			out <- err
		}()
		for g.Waiting() != 1 {
		}
		g.Drain()
		if err := <-out; !errors.Is(err, Draining) {
			t.Fatalf("got %v, want draining", err)
		}
		slot.Release()
	}
}
