package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings.
	memoryLimit = 284
	// largeBody is the size of a large body in bytes. The configuration allows max_body_bytes,
	// 67,108,864.
	largeBody = 60_000_000
	// smallBody is the size of the bodies without the trouble.
	smallBody = 4_000
	// uploads is the number of clients that send a body at the same time.
	uploads = 4
	// uploadRate is the rate of one of them in bytes per second: together they fill the
	// machine's link of 1,000 Mbit/s.
	uploadRate = 125_000_000 / uploads
	// busyChecks is the number of stock checks that come at a time to the machine with the
	// large bodies; one comes to each other machine.
	busyChecks = 6
	// maxLost is the number of requests on kept connections that may be lost.
	maxLost = 3
)

// pacedBody is a body of zeros that arrives at uploadRate.
type pacedBody struct {
	left  int
	began time.Time
	given int
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	n := min(len(p), b.left)
	clear(p[:n])
	b.left -= n
	b.given += n
	due := b.began.Add(time.Duration(float64(b.given) / uploadRate * float64(time.Second)))
	time.Sleep(time.Until(due))
	return n, nil
}

// resident returns the resident memory of the daemon in MB, or 0 if it has ended.
func (m *machine) resident() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1000
		}
	}
	return 0
}

// limitMemory does what the platform does with a process that exceeds memory_mb: it kills it
// and starts it again. It returns when the returned function is called.
func (r *rig) limitMemory() (stop func()) {
	ended := make(chan struct{})
	var watchers sync.WaitGroup
	for _, m := range r.machines {
		watchers.Go(func() {
			ticker := time.NewTicker(5 * time.Millisecond)
			defer ticker.Stop()
			peak := 0
			for {
				select {
				case <-ended:
					r.note("%s: peak memory %d MB of %d MB", m.name, peak, memoryLimit)
					return
				case <-ticker.C:
				}
				now := m.resident()
				peak = max(peak, now)
				if now > memoryLimit {
					r.note("platform: %s uses %d MB, more than memory_mb = %d", m.name, now, memoryLimit)
					m.kill()
					time.Sleep(restartDelay)
					if err := m.start(); err != nil {
						return
					}
				}
			}
		})
	}
	return func() {
		close(ended)
		watchers.Wait()
	}
}

// upload sends a request with a body of the given size.
func (r *rig) upload(m *machine, size int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.outbound+"/pallets/list", &pacedBody{left: size})
	if err != nil {
		return
	}
	id := r.nextID(m)
	out.Host, out.ContentLength = stockHost, int64(size)
	out.Header.Set("Attempt-Id", id)
	out.Header.Set("Deadline-Ms", "10000")
	r.note("client: %s begins to send %d bytes to %s", id, size, m.name)
	status, _, _, err := r.exchange(out)
	r.note("client: %s with %d bytes got %d %s", id, size, status, shortError(err))
}

// largeBodies has some clients of a machine send large bodies at the same time, each within
// the limit of the configuration. Rule LOST: a process that ends by itself counts as in touch,
// and must not cut requests on kept connections that it has passed on.
func largeBodies(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	stopLimit := r.limitMemory()
	stop := r.traffic(sendInterval, func(m *machine) {
		checks := 1
		if m == r.machines[0] {
			checks = busyChecks
		}
		var all sync.WaitGroup
		for range checks {
			all.Go(func() { r.send(m, http.MethodGet, stockHost, "/check/shelf", 2*time.Second) })
		}
		all.Wait()
	})
	time.Sleep(5 * time.Second)
	size := smallBody
	if r.trouble {
		size = largeBody
	}
	var clients sync.WaitGroup
	for range uploads {
		clients.Go(func() { r.upload(r.machines[0], size) })
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	stop()
	stopLimit()
	return lostBreaks(r), nil
}

// lostBreaks returns the machines that cut more than maxLost requests on kept connections
// which they had passed on to a worker.
func lostBreaks(r *rig) []string {
	ran := map[string]bool{}
	for _, one := range r.allRuns() {
		ran[one.id] = true
	}
	lost := map[*machine][]string{}
	r.mu.Lock()
	for i := range r.sent {
		if q := &r.sent[i]; q.kept && q.err != nil && ran[q.id] {
			lost[q.entry] = append(lost[q.entry], q.id)
		}
	}
	r.mu.Unlock()
	var broken []string
	for m, ids := range lost {
		if len(ids) > maxLost {
			broken = append(broken, fmt.Sprintf("LOST: the process of %s ended by itself; %d requests on kept connections that workers ran got no answer: %s",
				m.name, len(ids), strings.Join(ids, " ")))
		}
	}
	return broken
}
