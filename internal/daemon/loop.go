package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/event"
	"godwitmount/internal/logbook"
	"godwitmount/internal/step"
)

const (
	// tickInterval is the time between two step.Tick events.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between two ticks from which the process
	// counts as having stood still.
	pauseThreshold = 1500 * time.Millisecond
	// queueLength bounds the events that wait for the control goroutine.
	queueLength = 4096
)

// errStopped is returned for events that are not taken any more.
var errStopped = errors.New("control loop has ended")

// reducer is the deterministic core that the loop drives.
type reducer interface {
	Step(m step.Moment, ev step.Event) []step.Effect
}

// item is an event in the queue; done is closed once its effects are carried
// out, if it is set.
type item struct {
	event step.Event
	done  chan struct{}
}

// loop is the one goroutine that owns control state. Events go in through
// post and run; effects come out through the perform function, which runs on
// the loop's goroutine and must not block.
type loop struct {
	core    reducer
	perform func(step.Effect)
	log     *logbook.Book
	start   time.Time
	events  chan item
	done    chan struct{}
}

func newLoop(core reducer, perform func(step.Effect), log *logbook.Book) *loop {
	return &loop{
		core:    core,
		perform: perform,
		log:     log,
		start:   time.Now(),
		events:  make(chan item, queueLength),
		done:    make(chan struct{}),
	}
}

// moment returns the present as reducers see it.
func (l *loop) moment() step.Moment {
	now := time.Now()
	return step.Moment{Now: now.Sub(l.start), Wall: now, Random: rand.Uint64()}
}

// post hands an event to the loop. It never blocks: when the queue is full
// the event is dropped, as a lost message would be.
func (l *loop) post(ev step.Event) {
	select {
	case l.events <- item{event: ev}:
	default:
		l.log.Warn(event.EventQueueOverflow, zap.String("dropped", ev.EventName()))
	}
}

// do hands an event to the loop and waits until its effects are carried out.
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

// run steps the core until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-l.events:
			l.step(it.event)
			if it.done != nil {
				close(it.done)
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

// step runs one event through the core. A panic drops the event, so that one
// bad message cannot take the daemon down.
func (l *loop) step(ev step.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			l.log.Warn(event.ReducerPanicked, zap.String("on", ev.EventName()),
				zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
		}
	}()
	for _, effect := range l.core.Step(l.moment(), ev) {
		l.perform(effect)
	}
}
