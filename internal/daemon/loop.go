package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"godwitmount/internal/event"
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

// errStopped is returned by call when the loop has ended.
var errStopped = errors.New("daemon: control loop has ended")

// reducer is the deterministic core that the loop drives.
type reducer interface {
	Step(m step.Moment, ev step.Event) []step.Effect
}

// loop is the one goroutine that owns control state. Events go in through
// post and call; effects come out through the perform function, which runs on
// the loop's goroutine and must not block.
type loop struct {
	core    reducer
	perform func(step.Effect)
	log     *zap.Logger
	start   time.Time
	events  chan step.Event
	done    chan struct{}

	nextCall atomic.Uint64
	mu       sync.Mutex
	waiting  map[step.CallID]chan proto.Message

	overflows atomic.Uint64
}

// newLoop returns a loop that takes events at once; core and perform must be
// set before run.
func newLoop(start time.Time, log *zap.Logger) *loop {
	return &loop{
		log:     log,
		start:   start,
		events:  make(chan step.Event, queueLength),
		done:    make(chan struct{}),
		waiting: map[step.CallID]chan proto.Message{},
	}
}

// moment returns the present as reducers see it.
func (l *loop) moment() step.Moment {
	now := time.Now()
	return step.Moment{Now: now.Sub(l.start), Wall: now, Random: rand.Uint64()}
}

// post hands an event to the loop. It never blocks: when the queue is full
// the event is dropped and counted, as a lost message would be.
func (l *loop) post(ev step.Event) {
	select {
	case l.events <- ev:
	default:
		if l.overflows.Add(1) == 1 {
			event.EventQueueOverflow.Warn(l.log, zap.String("dropped", ev.EventName()))
		}
	}
}

// call posts the event that make builds for a fresh id, and waits for the
// reducer's reply to that id, or for ctx to end.
func (l *loop) call(ctx context.Context, build func(step.CallID) step.Event) (proto.Message, error) {
	id := step.CallID(l.nextCall.Add(1))
	answer := make(chan proto.Message, 1)
	l.mu.Lock()
	l.waiting[id] = answer
	l.mu.Unlock()
	defer l.forget(id)

	l.post(build(id))
	select {
	case message := <-answer:
		return message, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errStopped
	}
}

func (l *loop) forget(id step.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// reply hands a reducer's reply to the call that waits for it, if it still
// does.
func (l *loop) reply(r step.Reply) {
	l.mu.Lock()
	answer := l.waiting[r.Call]
	delete(l.waiting, r.Call)
	l.mu.Unlock()
	if answer != nil {
		answer <- r.Message
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
		case ev := <-l.events:
			last = l.noticePause(last)
			l.step(ev)
		case <-ticker.C:
			last = l.noticePause(last)
			l.step(step.Tick{})
		}
	}
}

// noticePause tells the core when the process stood still since last. It runs
// before each event, so that no event that waited out a pause is judged by
// state that lapsed meanwhile.
func (l *loop) noticePause(last time.Time) time.Time {
	now := time.Now()
	gap := now.Sub(last)
	if gap < pauseThreshold {
		return now
	}
	event.ProcessPaused.Warn(l.log, zap.Duration("gap", gap))
	l.step(step.Paused{Gap: gap})
	return now
}

// step runs one event through the core. A panic drops the event, so that one
// bad message cannot take the daemon down.
func (l *loop) step(ev step.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			event.ReducerPanicked.Error(l.log,
				zap.String("on", ev.EventName()),
				zap.Any("cause", cause),
				zap.ByteString("stack", debug.Stack()))
		}
	}()
	for _, effect := range l.core.Step(l.moment(), ev) {
		l.perform(effect)
	}
}
