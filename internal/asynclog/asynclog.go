// Package asynclog writes the daemon's log. A goroutine writes the lines to the
// output, so a slow or blocked output loses lines but never delays requests. Lines
// about single requests are limited per second. Lines beyond the limit are dropped
// and counted: first those of requests that were served, last those of requests that may have
// run and have no answer of an upstream.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"godwitmount/internal/event"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written.
	maxQueuedLines = 1024
	// servedShare and failedShare are the fractions of the limit after which lines about
	// requests with these outcomes are dropped. All lines count towards them.
	servedShare = 0.5
	failedShare = 0.8
	// closeTimeout bounds the time that Close waits for queued lines.
	closeTimeout = 200 * time.Millisecond
)

// Outcome says what a line about a request tells of it. It decides which lines are dropped
// first.
type Outcome uint8

const (
	// Served: it goes on, or an upstream has served it.
	Served Outcome = iota
	// Failed: it was refused, or an upstream has answered with a failure.
	Failed
	// Uncertain: it may have run and has no answer of an upstream.
	Uncertain
)

// share returns the fraction of the limit after which lines with the outcome are dropped.
func (o Outcome) share() float64 {
	switch o {
	case Served:
		return servedShare
	case Failed:
		return failedShare
	default:
		return 1
	}
}

// Logger is a log. Its methods may be called from any goroutine. Only Close
// blocks, and it must be called at most once.
type Logger struct {
	log    *zap.Logger
	sink   *sink
	budget budget
}

// New returns a log that writes JSON lines of at least the given level to output,
// each with the name of the instance. Lines is the largest number of lines about
// requests that it writes per second.
func New(output io.Writer, instance string, level zapcore.Level, lines int) *Logger {
	s := &sink{output: output, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, level)
	l := &Logger{log: zap.New(core).With(zap.String("instance", instance)), sink: s, budget: budget{limit: lines}}
	return l
}

// Event writes a line at info level. The limit on lines about requests does not
// apply to it.
func (l *Logger) Event(number event.Number, fields ...zap.Field) {
	number.Info(l.log, fields...)
}

// Warn writes a line at warning level. The limit on lines about requests does not
// apply to it.
func (l *Logger) Warn(number event.Number, fields ...zap.Field) {
	number.Warn(l.log, fields...)
}

// Request writes a line about one request, unless the limit is reached. The first
// call after a second in which lines were dropped also logs their number, and how
// many lines could not be written since New.
func (l *Logger) Request(number event.Number, outcome Outcome, fields ...zap.Field) {
	ok, dropped := l.budget.allow(time.Now(), outcome)
	if dropped > 0 {
		event.LogLinesDropped.Info(l.log, zap.Int("lines", dropped), zap.Int64("unwritten", l.sink.dropped.Load()))
	}
	if ok {
		number.Info(l.log, fields...)
	}
}

// Dropped returns the number of lines that were not written since New.
func (l *Logger) Dropped() int64 { return l.sink.dropped.Load() + l.budget.total.Load() }

// Close waits up to 200 ms until the queued lines are written. Lines written
// later are dropped.
func (l *Logger) Close() {
	l.sink.close()
	select {
	case <-l.sink.done:
	case <-time.After(closeTimeout):
	}
}

// budget limits the lines about requests per second of wall clock.
type budget struct {
	mu    sync.Mutex
	limit int
	// second is the current second in Unix time. Used and dropped count the lines
	// in it.
	second  int64
	used    int
	dropped int
	// total is the number of lines that exceeded the limit since New.
	total atomic.Int64
}

// allow reports whether a line may be written. The first call in a second also
// returns how many lines were dropped in the last second that had a call.
func (b *budget) allow(now time.Time, outcome Outcome) (ok bool, droppedBefore int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		droppedBefore = b.dropped
		b.second, b.used, b.dropped = second, 0, 0
	}
	if b.used >= int(float64(b.limit)*outcome.share()) {
		b.dropped++
		b.total.Add(1)
		return false, droppedBefore
	}
	b.used++
	return true, droppedBefore
}

// sink passes lines to the goroutine that writes them to the output.
type sink struct {
	output io.Writer
	lines  chan []byte
	// mu guards closed and the closing of lines.
	mu     sync.RWMutex
	closed bool
	// done is closed when run returns.
	done chan struct{}
	// dropped is the number of lines that were not written because the queue was
	// full or closed, or the output returned an error.
	dropped atomic.Int64
}

// close ends run once the queue is empty.
func (s *sink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
}

// Write implements io.Writer. It drops the line if the queue is full or closed.
func (s *sink) Write(line []byte) (n int, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

// run writes queued lines until the queue is closed and empty.
func (s *sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.output.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
}
