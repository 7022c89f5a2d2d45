package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
	"godwitmount/test/harness"
)

// pollInterval is how often each process of the polling baseline reads the
// head.
const pollInterval = 500 * time.Millisecond

// pushers is how many sends the pushing baseline makes at once.
const pushers = 8

// measurePolling is the baseline in which each of count clients polls the head
// and reads the whole manifest from the platform.
func measurePolling(opts options, binaries harness.Binaries, dir string, count int, releases []release) error {
	f, err := startFleet(binaries, dir, 0, releases[0])
	if err != nil {
		return err
	}
	defer f.mesh.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	arrivals := &arrivals{}
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() { pollAll(ctx, f.mesh.Platform.URL, i, count, arrivals) })
	}
	time.Sleep(settleTime)
	before, err := f.sample()
	if err != nil {
		return err
	}
	var times []time.Duration
	for _, r := range releases[1:] {
		if err := f.accept(r); err != nil {
			return err
		}
		accepted := time.Now()
		time.Sleep(opts.Pause)
		last, seen := arrivals.of(f.head)
		if seen < count {
			return fmt.Errorf("polling: %d of %d have %s", seen, count, f.head)
		}
		times = append(times, last.Sub(accepted))
	}
	after, err := f.sample()
	if err != nil {
		return err
	}
	stop()
	clients.Wait()
	fmt.Printf("baseline polling, %d clients: everywhere after %s; body bytes/client/version %d; platform reads/s %.1f\n",
		count, describe(times), len(manifest.MakeDelta(nil, releases[1].body)), (reads(after)-reads(before))/after.at.Sub(before.at).Seconds())
	return nil
}

// arrivals notes when each client got a version.
type arrivals struct {
	mu   sync.Mutex
	last map[manifest.ID]time.Time
	seen map[manifest.ID]int
}

func (a *arrivals) add(id manifest.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last == nil {
		a.last = map[manifest.ID]time.Time{}
		a.seen = map[manifest.ID]int{}
	}
	a.last[id] = time.Now()
	a.seen[id]++
}

func (a *arrivals) of(id manifest.ID) (time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[id], a.seen[id]
}

// pollAll polls until ctx ends, out of step with the other clients.
func pollAll(ctx context.Context, url string, i, count int, arrivals *arrivals) {
	client := platform.NewClient(url, platform.DefaultClientConfig())
	defer client.Close()
	time.Sleep(pollInterval * time.Duration(i) / time.Duration(count))
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var have manifest.ID
	for {
		head, err := publish.ReadHead(ctx, client)
		if err == nil && head.ID != have {
			if _, err := publish.ReadBody(ctx, client, head.ID.Digest); err == nil {
				have = head.ID
				arrivals.add(have)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// measurePush is the baseline in which one process sends the whole manifest to
// each of count receivers.
func measurePush(_ options, count int, releases []release) error {
	var received atomic.Int64
	receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		received.Add(int64(len(body)))
	}))
	defer receiver.Close()
	var times []time.Duration
	for _, r := range releases[1:] {
		began := time.Now()
		var group errgroup.Group
		group.SetLimit(pushers)
		for range count {
			group.Go(func() error { return push(receiver.URL, r.body) })
		}
		if err := group.Wait(); err != nil {
			return err
		}
		times = append(times, time.Since(began))
	}
	fmt.Printf("baseline push of whole manifests, %d receivers: everywhere after %s from one sender that knows all; body bytes/receiver/version %d\n",
		count, describe(times), received.Load()/int64(count*len(times)))
	return nil
}

func push(url string, body []byte) error {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("push: %w", err)
	}
	return resp.Body.Close()
}
