package daemon

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/settings"
	"godwitmount/internal/step"
)

// heldStopCore is a reducer that processes a stop only once released is closed. It then removes
// the member entry.
type heldStopCore struct{ released chan struct{} }

func (c heldStopCore) Step(_ step.Env, ev step.Event) []step.Effect {
	if _, ok := ev.(control.StopRequested); !ok {
		return nil
	}
	<-c.released
	return []step.Effect{control.RemoveMember{Key: "a-1"}}
}

// removingStore counts the rows that were removed, each of which takes a while.
type removingStore struct {
	scriptedStore
	removed atomic.Int64
}

func (s *removingStore) Remove(ctx context.Context, _, _ string) error {
	sleep(ctx, 100*time.Millisecond)
	if ctx.Err() == nil {
		s.removed.Add(1)
	}
	return ctx.Err()
}

// startHeldDaemon starts a daemon with a control loop that core drives.
func startHeldDaemon(t *testing.T, core reducer, grace time.Duration) (*Daemon, *removingStore) {
	t.Helper()
	s := &settings.Daemon{}
	s.SetDefaults()
	s.ShutdownGrace = settings.Duration(grace)
	s.PeerListen, s.CallerListen, s.AnnounceListen, s.ReadyListen, s.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "", "", ""
	rows := &removingStore{}
	d := &Daemon{started: time.Now(), registry: prometheus.NewRegistry(), log: asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10)}
	d.cfg = Config{Settings: s, Log: d.log, BootClock: func() time.Duration { return time.Since(d.started) }, Platform: Platform{
		Store:     rows,
		ReadyPath: "/ready",
		NewReportHandler: func(func(control.UpstreamReport) error, func(error)) http.Handler {
			return http.NotFoundHandler()
		},
	}}
	d.background, d.cancel = context.WithCancel(context.Background())
	t.Cleanup(d.Abort)
	if err := d.build(); err != nil {
		t.Fatal(err)
	}
	d.loop.core = core
	if err := d.listen(); err != nil {
		t.Fatal(err)
	}
	go d.loop.run(d.background)
	return d, rows
}

// TestStopDoesNotWaitForAControlLoopThatHangs covers a planned stop whose event the control loop
// does not process. What callers get meanwhile is decided without it.
func TestStopDoesNotWaitForAControlLoopThatHangs(t *testing.T) {
	const grace = time.Second
	core := heldStopCore{released: make(chan struct{})}
	defer close(core.released)
	d, _ := startHeldDaemon(t, core, grace)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	if err := d.Stop(ctx); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > grace {
		t.Errorf("the stop took %s of the grace of %s", took, grace)
	}
}

// TestStopAwaitsTheRemovalOfTheMemberEntry covers a control loop that processes the stop late,
// when nothing else is waited for.
func TestStopAwaitsTheRemovalOfTheMemberEntry(t *testing.T) {
	const grace, late = 3 * time.Second, 300 * time.Millisecond
	core := heldStopCore{released: make(chan struct{})}
	d, rows := startHeldDaemon(t, core, grace)
	time.AfterFunc(share(grace, closeEntryShare)+late, func() { close(core.released) })
	if err := d.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if rows.removed.Load() != 1 {
		t.Error("the member entry was not removed")
	}
}

// TestExitTimeLeavesTimeToAnswer lists the times for which requests in flight are waited for.
func TestExitTimeLeavesTimeToAnswer(t *testing.T) {
	for graceMs, want := range map[int]int{100: 65, 500: 325, 1000: 700, 3000: 2700, 6000: 5700, 60000: 57000} {
		grace := time.Duration(graceMs) * time.Millisecond
		if got := exitTime(grace); got != time.Duration(want)*time.Millisecond {
			t.Errorf("grace %s: %s, want %d ms", grace, got, want)
		}
	}
}
