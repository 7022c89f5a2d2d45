package logbook

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

// TestOutputThatIsNeverReadCostsLinesOnly writes far more than fits anywhere.
func TestOutputThatIsNeverReadCostsLinesOnly(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	book := New(writer, "a-1", zapcore.InfoLevel, 1<<30)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 * queueLines {
			book.Event(event.DaemonStarted)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("writing lines blocks")
	}
	if book.Dropped() < 18*queueLines {
		t.Errorf("%d lines dropped", book.Dropped())
	}
}

// lines is an output that counts.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func TestFailedRequestsAreLeftOutLast(t *testing.T) {
	b := budget{limit: 100}
	now := time.Unix(1000, 0)
	succeeded, failed := 0, 0
	for range 200 {
		if ok, _ := b.take(now, false); ok {
			succeeded++
		}
	}
	for range 200 {
		if ok, _ := b.take(now, true); ok {
			failed++
		}
	}
	if succeeded != 50 || failed != 50 {
		t.Errorf("%d lines of successes and %d of failures", succeeded, failed)
	}
	if _, dropped := b.take(now.Add(time.Second), true); dropped != 300 {
		t.Errorf("%d lines told as dropped", dropped)
	}
}

func TestCloseWritesWhatIsLeft(t *testing.T) {
	out := &lines{}
	book := New(out, "a-1", zapcore.InfoLevel, 10)
	for range 5 {
		book.Call(event.CallAnswered, true)
	}
	book.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := strings.Count(out.text.String(), "\n"); n != 5 {
		t.Errorf("%d lines", n)
	}
}
