package daemon

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"godwitmount/internal/logbook"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// patience bounds each wait of a test.
const patience = 10 * time.Second

type named string

// EventName implements step.Event.
func (n named) EventName() string { return string(n) }

// EffectName implements step.Effect.
func (n named) EffectName() string { return string(n) }

// echoCore turns each event into an effect; it panics on one and holds another.
type echoCore struct{ hold chan struct{} }

func (c echoCore) Step(_ step.Moment, ev step.Event) []step.Effect {
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
	l := newLoop(core, func(step.Effect) { performed.Add(1) }, logbook.New(io.Discard, "a-1", zapcore.InfoLevel, 10))
	ctx, cancel := context.WithCancel(context.Background())
	go l.run(ctx)
	t.Cleanup(cancel)
	return l, core, performed
}

func TestDoReturnsOnceEffectsAreCarriedOut(t *testing.T) {
	l, _, performed := startLoop(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := l.do(ctx, named("one")); err != nil || performed.Load() != 1 {
		t.Errorf("%v after %d effects", err, performed.Load())
	}
}

func TestPanicDropsTheEventOnly(t *testing.T) {
	l, _, performed := startLoop(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := l.do(ctx, named("panic")); err != nil {
		t.Fatal(err)
	}
	if err := l.do(ctx, named("one")); err != nil || performed.Load() != 1 {
		t.Errorf("%v after %d effects", err, performed.Load())
	}
}

func TestPostNeverBlocks(t *testing.T) {
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
	case <-time.After(patience):
		t.Error("post blocks on a full queue")
	}
	close(core.hold)
}

// scriptedStore answers each call with the next step of a script.
type scriptedStore struct {
	store.Store
	errs  []error
	reads int
	waits int
}

func (s *scriptedStore) next() (store.Rows, error) {
	if len(s.errs) == 0 {
		return store.Rows{Version: 7}, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return store.Rows{Version: 7}, err
}

func (s *scriptedStore) Read(context.Context, string) (store.Rows, error) {
	s.reads++
	return s.next()
}

func (s *scriptedStore) Watch(context.Context, string, uint64, time.Duration) (store.Rows, error) {
	s.waits++
	return s.next()
}

// TestTableIsReadAnewOnceItsHistoryIsGone covers a store that refuses, forgets
// its history and answers again.
func TestTableIsReadAnewOnceItsHistoryIsGone(t *testing.T) {
	s := &scriptedStore{errs: []error{nil, store.ErrRefused, store.ErrHistoryGone, nil, nil}}
	var lost []bool
	whole := 0
	table := &table{
		store: s, name: "t", backoff: time.Millisecond, log: logbook.New(io.Discard, "a-1", zapcore.InfoLevel, 10),
		lose: func(l bool) { lost = append(lost, l) },
		take: func(_ []store.Row, all bool) {
			if all {
				whole++
			}
		},
	}
	var outcomes []bool
	for range 5 {
		outcomes = append(outcomes, table.look(context.Background(), 0))
	}
	if s.reads != 2 || s.waits != 3 || whole != 2 {
		t.Errorf("%d reads, %d waits, %d times whole", s.reads, s.waits, whole)
	}
	if want := []bool{true, false, false, true, true}; !slices.Equal(outcomes, want) {
		t.Errorf("outcomes %v", outcomes)
	}
	if want := []bool{true, false}; !slices.Equal(lost, want) {
		t.Errorf("told of the store: %v", lost)
	}
}
