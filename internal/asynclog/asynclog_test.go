package asynclog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"godwitmount/internal/event"
)

// TestBlockedOutputDropsLinesWithoutBlocking writes far more lines than the queue
// holds while the output blocks.
func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	logger := New(writer, "a-1", zapcore.InfoLevel, 1<<30)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 * maxQueuedLines {
			logger.Event(event.DaemonStarted)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Event blocked")
	}
	if logger.Dropped() < 18*maxQueuedLines {
		t.Errorf("only %d lines were dropped", logger.Dropped())
	}
}

// output is a buffer that may be used from several goroutines.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

// TestUncertainRequestsAreDroppedLast checks that requests that were served leave half of the
// limit to failed ones, and that these leave a part of it to those that may have run.
func TestUncertainRequestsAreDroppedLast(t *testing.T) {
	b := budget{limit: 100}
	now := time.Unix(1000, 0)
	allowed := map[Outcome]int{}
	for _, outcome := range []Outcome{Served, Failed, Uncertain} {
		for range 200 {
			if ok, _ := b.allow(now, outcome); ok {
				allowed[outcome]++
			}
		}
	}
	if allowed[Served] != 50 || allowed[Failed] != 30 || allowed[Uncertain] != 20 {
		t.Errorf("lines were allowed by outcome: %v, want 50, 30 and 20", allowed)
	}
	if _, dropped := b.allow(now.Add(time.Second), Uncertain); dropped != 500 {
		t.Errorf("%d lines are reported as dropped, want 500", dropped)
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
	out := &output{}
	logger := New(out, "a-1", zapcore.InfoLevel, 10)
	for range 5 {
		logger.Request(event.CallAnswered, Uncertain)
	}
	logger.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.text.String(), "\n"); n != 5 {
		t.Errorf("%d lines were written, want 5", n)
	}
}

// TestCloseWhileLinesAreWritten closes the log while others write to it. The race
// detector must find nothing, and a second Close does no harm.
func TestCloseWhileLinesAreWritten(t *testing.T) {
	logger := New(io.Discard, "a-1", zapcore.InfoLevel, 1<<30)
	var writers sync.WaitGroup
	for range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 2000 {
				logger.Event(event.DaemonStarted)
			}
		}()
	}
	logger.Close()
	writers.Wait()
	logger.Close()
}
