package main

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pace starts one call after another at a rate for a time, without waiting for
// answers as long as fewer than limit are awaited, and returns when all are
// over.
func pace(rate float64, length time.Duration, limit int, call func(n int)) {
	var group sync.WaitGroup
	room := make(chan struct{}, limit)
	start := time.Now()
	total := int(rate * length.Seconds())
	for n := range total {
		due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		room <- struct{}{}
		group.Go(func() {
			defer func() { <-room }()
			call(n)
		})
	}
	group.Wait()
}

// latencies is a histogram in microseconds that many goroutines record in.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(max(d.Microseconds(), 1))
}

// at returns a percentile in milliseconds.
func (l *latencies) at(percentile float64) float64 {
	return float64(l.hist.ValueAtPercentile(percentile)) / 1000
}

func (l *latencies) String() string {
	return fmt.Sprintf("p50 %.3f p99 %.3f p99.9 %.3f ms", l.at(50), l.at(99), l.at(99.9))
}

// cost is what the whole process spent.
type cost struct {
	cpu    time.Duration
	allocs uint64
}

func spent() cost {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return cost{
		cpu:    time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		allocs: mem.Mallocs,
	}
}

// since returns the cost per call since an earlier reading.
func (c cost) since(before cost, calls int) cost {
	return cost{
		cpu:    (c.cpu - before.cpu) / time.Duration(calls),
		allocs: (c.allocs - before.allocs) / uint64(calls),
	}
}
