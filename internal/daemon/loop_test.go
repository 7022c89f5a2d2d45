package daemon

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// named is both an event and an effect; its value is its name.
type named string

// EventName implements step.Event.
func (n named) EventName() string { return string(n) }

// EffectName implements step.Effect.
func (n named) EffectName() string { return string(n) }

// echoCore returns each event as an effect. It panics on the event "panic" and
// blocks on the event "hold" until hold is closed.
type echoCore struct{ hold chan struct{} }

func (c echoCore) Step(_ step.Env, ev step.Event) []step.Effect {
	switch ev {
	case named("panic"):
		panic("bad event")
	case named("hold"):
		<-c.hold
	}
	if n, ok := ev.(named); ok {
		return []step.Effect{n}
	}
	return nil
}

func startLoop(t *testing.T) (*loop, echoCore, *atomic.Int64) {
	t.Helper()
	core := echoCore{hold: make(chan struct{})}
	performed := &atomic.Int64{}
	l := newLoop(core, func(step.Effect) { performed.Add(1) }, asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10))
	ctx, cancel := context.WithCancel(context.Background())
	go l.run(ctx)
	t.Cleanup(cancel)
	return l, core, performed
}

func TestDoReturnsOnceEffectsArePerformed(t *testing.T) {
	l, _, performed := startLoop(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := l.do(ctx, named("one")); err != nil || performed.Load() != 1 {
		t.Errorf("error %v after %d effects", err, performed.Load())
	}
}

func TestPanicDropsOnlyItsEvent(t *testing.T) {
	l, _, performed := startLoop(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := l.do(ctx, named("panic")); err != nil {
		t.Fatal(err)
	}
	if err := l.do(ctx, named("one")); err != nil || performed.Load() != 1 {
		t.Errorf("error %v after %d effects", err, performed.Load())
	}
}

func TestPostDoesNotBlockOnFullQueue(t *testing.T) {
	l, core, _ := startLoop(t)
	l.post(named("hold"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueLength {
			l.post(named("one"))
		}
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("post blocked on a full queue")
	}
	close(core.hold)
}

// scriptedStore returns the next error of errs from each call, then nil. Its
// answers are of the latest era of its tracker.
type scriptedStore struct {
	store.Store
	eras    store.EraTracker
	version uint64
	errs    []error
	reads   int
	watches int
}

func (s *scriptedStore) next() (store.Rows, error) {
	rows := store.Rows{Position: store.Position{Era: s.eras.Latest(), Version: s.version}}
	if len(s.errs) == 0 {
		return rows, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return rows, err
}

func (s *scriptedStore) SetClock(func() time.Duration) {}

func (s *scriptedStore) Eras() *store.EraTracker { return &s.eras }

func (s *scriptedStore) Read(context.Context, string) (store.Rows, error) {
	s.reads++
	return s.next()
}

func (s *scriptedStore) Watch(context.Context, string, store.Position, time.Duration) (store.Rows, error) {
	s.watches++
	return s.next()
}

// TestTableIsReadAgainWhenStoreHistoryIsGone covers a store that refuses a call,
// has then dropped the changes since the last read, and answers again.
func TestTableIsReadAgainWhenStoreHistoryIsGone(t *testing.T) {
	s := &scriptedStore{version: 7, errs: []error{nil, store.ErrRefused, store.ErrHistoryGone, nil, nil}}
	var notified []bool
	complete := 0
	tableReader := &tableReader{
		store: s, name: "t", addressChanges: &atomic.Int64{}, backoff: time.Millisecond, log: asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10),
		notify: func(unavailable bool) { notified = append(notified, unavailable) },
		apply: func(_ store.Rows, all bool) {
			if all {
				complete++
			}
		},
	}
	var outcomes []bool
	for range 5 {
		outcomes = append(outcomes, tableReader.poll(context.Background(), 0))
	}
	if s.reads != 2 || s.watches != 3 || complete != 2 {
		t.Errorf("%d reads, %d watches, %d complete", s.reads, s.watches, complete)
	}
	if want := []bool{true, false, false, true, true}; !slices.Equal(outcomes, want) {
		t.Errorf("outcomes %v", outcomes)
	}
	if want := []bool{true, false}; !slices.Equal(notified, want) {
		t.Errorf("store notifications: %v", notified)
	}
}

// TestTableIsReadAgainInNewEra covers a store that comes back from an older copy:
// between two calls of this reader, and while a call waits for changes. In both
// cases the changes since the last position are not those that the store had.
func TestTableIsReadAgainInNewEra(t *testing.T) {
	s := &scriptedStore{version: 7}
	var applied []store.Position
	reader := &tableReader{
		store: s, name: "t", addressChanges: &atomic.Int64{}, log: asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10), notify: func(bool) {},
		apply: func(rows store.Rows, complete bool) {
			if complete {
				applied = append(applied, rows.Position)
			}
		},
	}
	poll := func() {
		if !reader.poll(context.Background(), 0) {
			t.Fatal("the call failed")
		}
	}
	poll()
	s.eras.Observe(1)
	s.version = 3
	poll()
	poll()
	if s.reads != 2 || s.watches != 1 || reader.position != (store.Position{Era: 1, Version: 3}) {
		t.Errorf("%d reads, %d watches, at %+v", s.reads, s.watches, reader.position)
	}
	watching := &restoredWhileWatching{scriptedStore: s}
	reader.store = watching
	poll()
	if s.reads != 3 || reader.position != (store.Position{Era: 2, Version: 3}) || len(applied) != 3 {
		t.Errorf("restored while watching: %d reads, at %+v, %d applied", s.reads, reader.position, len(applied))
	}
}

// TestTableIsReadAgainFromAnotherStore covers a new address of the store, set between two
// calls of this reader and while one waits: the rows of the other store may have earlier
// positions than those that were read, and an answer of the former store is dropped.
func TestTableIsReadAgainFromAnotherStore(t *testing.T) {
	s := &scriptedStore{version: 7}
	changes := &atomic.Int64{}
	complete := 0
	reader := &tableReader{
		store: s, name: "t", addressChanges: changes, log: asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10), notify: func(bool) {},
		apply: func(_ store.Rows, all bool) {
			if all {
				complete++
			}
		},
	}
	reader.poll(context.Background(), 0)
	changes.Add(1)
	s.version = 3
	reader.poll(context.Background(), 0)
	if s.reads != 2 || complete != 2 || reader.position.Version != 3 {
		t.Errorf("%d reads, %d complete, at %+v", s.reads, complete, reader.position)
	}
	reader.store = movedWhileWatching{s, changes}
	if reader.poll(context.Background(), 0) || !reader.poll(context.Background(), 0) || s.reads != 3 || complete != 3 {
		t.Errorf("moved while watching: %d reads, %d complete", s.reads, complete)
	}
}

// movedWhileWatching is a store whose address changes during each Watch call.
type movedWhileWatching struct {
	*scriptedStore
	changes *atomic.Int64
}

func (m movedWhileWatching) Watch(ctx context.Context, table string, after store.Position, wait time.Duration) (store.Rows, error) {
	m.changes.Add(1)
	return m.scriptedStore.Watch(ctx, table, after, wait)
}

// restoredWhileWatching is a store that comes back from an older copy during each
// Watch call.
type restoredWhileWatching struct{ *scriptedStore }

func (s *restoredWhileWatching) Watch(context.Context, string, store.Position, time.Duration) (store.Rows, error) {
	s.eras.Observe(s.eras.Latest() + 1)
	return s.next()
}

// TestPollsGrowSlowerThanTheFleet covers the store calls of fleets of all sizes in
// calm time.
func TestPollsGrowSlowerThanTheFleet(t *testing.T) {
	for _, daemons := range []int{1, 9, 75, 195, 2200} {
		interval := pollInterval(daemons)
		rate := float64(daemons) / interval.Seconds()
		if interval < minPollInterval || rate > pollsPerSecond {
			t.Errorf("%d daemons poll every %s, %.1f polls a second", daemons, interval, rate)
		}
	}
}

// waitingStore is a store whose Watch calls wait until they are given up, or until their
// wait is over. It records the waits.
type waitingStore struct {
	scriptedStore
	waits chan time.Duration
}

func (s *waitingStore) Watch(ctx context.Context, _ string, _ store.Position, wait time.Duration) (store.Rows, error) {
	s.waits <- wait
	select {
	case <-ctx.Done():
		return store.Rows{}, ctx.Err()
	case <-time.After(wait):
		return store.Rows{Position: store.Position{Version: 7}}, nil
	}
}

// TestWatchIsGivenUp covers a store watcher in a call that may have fallen silent. The
// call ends at once if the other watcher has failed, or if a peer has a newer
// configuration or the proof is old; then the store is read, too. A new turn alone
// changes only the next call.
func TestWatchIsGivenUp(t *testing.T) {
	two := control.SetStoreWatcher{On: true, Turns: 2}
	for name, c := range map[string]struct {
		signal func(d *Daemon)
		role   control.SetStoreWatcher
		// reads is the number of calls after the first one, and ended says that the
		// first one is not given up.
		reads int
		ended bool
	}{
		"the other watcher has failed": {func(d *Daemon) { d.storeWatcher <- control.SetStoreWatcher{On: true, Turns: 1} }, control.SetStoreWatcher{On: true, Turns: 1}, 0, false},
		"another turn":                 {func(d *Daemon) { d.storeWatcher <- control.SetStoreWatcher{On: true, Turn: 1, Turns: 2} }, control.SetStoreWatcher{On: true, Turn: 1, Turns: 2}, 0, true},
		"no longer a watcher":          {func(d *Daemon) { d.storeWatcher <- control.SetStoreWatcher{} }, control.SetStoreWatcher{}, 0, true},
		"a newer configuration":        {func(d *Daemon) { d.readOnce <- struct{}{} }, two, 1, false},
		"an old proof":                 {func(d *Daemon) { d.proveOnce <- struct{}{} }, two, 1, false},
	} {
		s := &waitingStore{waits: make(chan time.Duration, 10)}
		storeMetrics, err := newStoreMetrics(prometheus.NewRegistry(), s.Eras())
		if err != nil {
			t.Fatal(err)
		}
		d := &Daemon{storeWatcher: make(chan control.SetStoreWatcher, 1), readOnce: make(chan struct{}, 1), proveOnce: make(chan struct{}, 1), storeMetrics: storeMetrics}
		reader := &tableReader{
			store: s, name: "t", addressChanges: &atomic.Int64{}, synced: true, storeTime: 10 * time.Second, storeTimeAt: time.Now(),
			log: asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10), notify: func(bool) {}, apply: func(store.Rows, bool) {},
		}
		began := time.Now()
		result := make(chan control.SetStoreWatcher)
		go func() { result <- d.watchOnce(context.Background(), reader, two) }()
		if wait := <-s.waits; wait < 1500*time.Millisecond || wait > 2*time.Second {
			t.Errorf("%s: the first call waits %s", name, wait)
		}
		c.signal(d)
		if role := <-result; role != c.role {
			t.Errorf("%s: role %+v", name, role)
		}
		if ended := time.Since(began) > 1500*time.Millisecond; ended != c.ended || len(s.waits) != c.reads {
			t.Errorf("%s: ended %t after %s, %d more calls", name, ended, time.Since(began), len(s.waits))
		}
		if c.reads > 0 && <-s.waits != 0 {
			t.Errorf("%s: the store is not read at once", name)
		}
	}
}
