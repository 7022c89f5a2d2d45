// Package logbook writes the daemon's log. Lines go to the output from a
// goroutine of their own, so that a slow or full output costs lines and never
// requests. Lines of single requests are bounded by a number a second; what is
// left out is counted, and the lines of failed requests are left out last.
package logbook

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
	// queueLines is how many lines may wait to be written.
	queueLines = 1024
	// successShare is the part of the lines a second that requests without a
	// failure may use.
	successShare = 0.5
	// closeTimeout bounds the writing of what is left at the end.
	closeTimeout = 200 * time.Millisecond
)

// Book is a log. All methods may be called from any goroutine and none blocks.
type Book struct {
	log    *zap.Logger
	sink   *sink
	budget budget
}

// New returns a log of an instance that writes JSON lines to an output, at most
// so many lines of requests a second.
func New(output io.Writer, instance string, level zapcore.Level, lines int) *Book {
	s := &sink{output: output, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, level)
	b := &Book{log: zap.New(core).With(zap.String("instance", instance)), sink: s, budget: budget{limit: lines}}
	return b
}

// Event writes a line that is never left out for its number.
func (b *Book) Event(number event.Number, fields ...zap.Field) {
	number.Info(b.log, fields...)
}

// Warn writes a line at warning level.
func (b *Book) Warn(number event.Number, fields ...zap.Field) {
	number.Warn(b.log, fields...)
}

// Call writes a line of one request, if there is room for it.
func (b *Book) Call(number event.Number, failed bool, fields ...zap.Field) {
	ok, dropped := b.budget.take(time.Now(), failed)
	if dropped > 0 {
		event.LogLinesDropped.Info(b.log, zap.Int("lines", dropped), zap.Int64("unwritten", b.sink.dropped.Load()))
	}
	if ok {
		number.Info(b.log, fields...)
	}
}

// Dropped returns how many lines were not written.
func (b *Book) Dropped() int64 { return b.sink.dropped.Load() + b.budget.total.Load() }

// Close writes what is left, for a short time at most.
func (b *Book) Close() {
	close(b.sink.lines)
	select {
	case <-b.sink.done:
	case <-time.After(closeTimeout):
	}
}

// budget counts the lines of a second.
type budget struct {
	mu      sync.Mutex
	limit   int
	second  int64
	used    int
	dropped int
	total   atomic.Int64
}

// take tells whether a line may be written, and how many were left out in the
// second before.
func (b *budget) take(now time.Time, failed bool) (ok bool, droppedBefore int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		droppedBefore = b.dropped
		b.second, b.used, b.dropped = second, 0, 0
	}
	limit := b.limit
	if !failed {
		limit = int(float64(limit) * successShare)
	}
	if b.used >= limit {
		b.dropped++
		b.total.Add(1)
		return false, droppedBefore
	}
	b.used++
	return true, droppedBefore
}

// sink hands lines to the goroutine that writes.
type sink struct {
	output  io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// Write implements io.Writer. A line for which there is no room is dropped.
func (s *sink) Write(line []byte) (n int, err error) {
	// A line that comes after Close has nowhere to go.
	defer func() {
		if recover() != nil {
			s.dropped.Add(1)
		}
	}()
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.done)
	for line := range s.lines {
		if _, err := s.output.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
}
