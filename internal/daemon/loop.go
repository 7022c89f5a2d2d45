package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

const (
	// tickInterval is the time between two step.Tick events.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process
	// counts as having been suspended.
	pauseThreshold = 1500 * time.Millisecond
	// queueLength is the maximum number of events waiting for the control
	// goroutine.
	queueLength = 4096
)

// errStopped is returned for events that arrive after the loop has ended.
var errStopped = errors.New("control loop has ended")

// reducer is the deterministic core that the loop drives.
type reducer interface {
	Step(env step.Env, ev step.Event) []step.Effect
}

// item is an event in the queue. If done is not nil, it is closed once the
// event's effects have been performed or its step has panicked.
type item struct {
	event step.Event
	done  chan struct{}
}

// loop owns all control state and runs on one goroutine. Events are queued by
// post and do. Their effects are passed to perform, which runs on the same
// goroutine and must not block.
type loop struct {
	core    reducer
	perform func(step.Effect)
	log     *asynclog.Logger
	// clock gives the times of the steps, which are relative to start.
	clock  func() time.Duration
	start  time.Duration
	events chan item
	done   chan struct{}
	// stepped is when the last step began; 0 before the first.
	stepped time.Duration
}

func newLoop(core reducer, perform func(step.Effect), log *asynclog.Logger) *loop {
	began := time.Now()
	return &loop{
		core:    core,
		perform: perform,
		log:     log,
		clock:   func() time.Duration { return time.Since(began) },
		events:  make(chan item, queueLength),
		done:    make(chan struct{}),
	}
}

// env returns the clock readings and a random number for one step.
func (l *loop) env() step.Env {
	return step.Env{Now: l.clock() - l.start, Wall: time.Now(), Random: rand.Uint64()}
}

// post queues an event without blocking. If the queue is full, the event is
// dropped and logged; senders must tolerate that like a lost message.
func (l *loop) post(ev step.Event) {
	select {
	case l.events <- item{event: ev}:
	default:
		l.log.Warn(event.EventQueueOverflow, zap.String("dropped", ev.EventName()))
	}
}

// do queues an event and waits until its effects have been performed. It
// returns the error of ctx if that ends first, or errStopped. It returns nil
// also if the event was dropped because its step panicked.
func (l *loop) do(ctx context.Context, ev step.Event) error {
	done := make(chan struct{})
	select {
	case l.events <- item{ev, done}:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errStopped
	}
}

// run processes queued events and ticks until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-l.events:
			l.step(queued.event)
			if queued.done != nil {
				close(queued.done)
			}
		case now := <-ticker.C:
			if gap := now.Sub(last); gap > pauseThreshold {
				l.log.Warn(event.ProcessPaused, zap.Duration("gap", gap))
			}
			last = now
			l.step(step.Tick{})
		}
	}
}

// step runs one event through the core and performs its effects. If that
// panics, the event is dropped, so that one bad message cannot crash the
// daemon.
func (l *loop) step(ev step.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			l.log.Warn(event.ReducerPanicked, zap.String("on", ev.EventName()),
				zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
		}
	}()
	env := l.env()
	before := l.stepped
	l.stepped = env.Now
	if before > 0 && env.Now-before > pauseThreshold {
		l.reduce(env, step.Resumed{PausedFrom: before})
	}
	l.reduce(env, ev)
}

// reduce passes one event to the core and performs the effects.
func (l *loop) reduce(env step.Env, ev step.Event) {
	for _, effect := range l.core.Step(env, ev) {
		l.perform(effect)
	}
}
