package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
)

const (
	// pollPeriod is how often a client of the polling baseline reads.
	pollPeriod = 500 * time.Millisecond
	// baselineVersions is how many versions each baseline is given.
	baselineVersions = 3
	// pushParallel is how many receivers the pushing baseline serves at a time.
	pushParallel = 16
)

func (c *configCommand) baselines(f *fleet, r *configReports) error {
	pollTime, pollBytes, pollReads, err := measurePolling(f)
	if err != nil {
		return err
	}
	pushTime, pushBytes, err := measurePushing(f)
	r.baselines.add(f.count, pollTime, pollBytes, pollReads, pushTime, pushBytes)
	return err
}

// pollingClient reads the whole manifest again and again.
type pollingClient struct {
	store   *platform.Client
	version atomic.Uint64
	bytes   atomic.Uint64
}

func (p *pollingClient) run(ctx context.Context, phase time.Duration) {
	time.Sleep(phase)
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.poll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (p *pollingClient) poll(ctx context.Context) {
	head, err := publish.ReadHead(ctx, p.store)
	if err != nil {
		return
	}
	body, err := publish.ReadBody(ctx, p.store, head.ID.Digest)
	if err != nil {
		return
	}
	p.bytes.Add(uint64(len(body)))
	if head.ID.Version == p.version.Load() {
		return
	}
	if _, err := compile(body); err == nil {
		p.version.Store(head.ID.Version)
	}
}

// measurePolling has as many clients as daemons poll. It returns the median
// time until all hold a version, the bytes a second for each and the platform's
// reads a second.
func measurePolling(f *fleet) (seconds, bytesPerSecond, readsPerSecond float64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := make([]*pollingClient, f.count)
	for i := range clients {
		clients[i] = &pollingClient{store: platform.NewClient(f.mesh.Platform.URL, platform.DefaultClientConfig())}
		go clients[i].run(ctx, pollPeriod*time.Duration(i)/time.Duration(f.count))
	}
	time.Sleep(2 * pollPeriod)
	bytesBefore := polledBytes(clients)
	var times []float64
	seen, err := f.observe(func() error {
		for range baselineVersions {
			at, err := f.publish()
			if err != nil {
				return err
			}
			if err := awaitClients(clients, f.head.Version); err != nil {
				return err
			}
			times = append(times, time.Since(at).Seconds())
		}
		return nil
	})
	if err != nil {
		return 0, 0, 0, err
	}
	polled := polledBytes(clients) - bytesBefore
	return quantile(times, 0.5), polled / seen.seconds / float64(f.count), seen.reads / seen.seconds, nil
}

func polledBytes(clients []*pollingClient) float64 {
	sum := 0.0
	for _, client := range clients {
		sum += float64(client.bytes.Load())
	}
	return sum
}

func awaitClients(clients []*pollingClient, version uint64) error {
	const look = 5 * time.Millisecond
	deadline := time.Now().Add(stepTimeout)
	for _, client := range clients {
		for client.version.Load() < version {
			if time.Now().After(deadline) {
				return fmt.Errorf("polling baseline: version %d not seen by all within %s", version, stepTimeout)
			}
			time.Sleep(look)
		}
	}
	return nil
}

// measurePushing has one sender give the whole manifest to as many receivers
// as there are daemons. It returns the median time and the bytes for each
// receiver.
func measurePushing(f *fleet) (seconds, bytesPerVersion float64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, fmt.Errorf("pushing baseline: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(receivePush)}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	var times []float64
	for version := range baselineVersions {
		body, err := manifestVersion(version)
		if err != nil {
			return 0, 0, err
		}
		began := time.Now()
		packed := manifest.MakeDelta(nil, body)
		if err := pushToAll("http://"+listener.Addr().String(), packed, f.count); err != nil {
			return 0, 0, err
		}
		times = append(times, time.Since(began).Seconds())
		bytesPerVersion = float64(len(packed))
	}
	return quantile(times, 0.5), bytesPerVersion, nil
}

func pushToAll(url string, packed []byte, receivers int) error {
	var group errgroup.Group
	group.SetLimit(pushParallel)
	for range receivers {
		group.Go(func() error {
			resp, err := http.Post(url, "application/octet-stream", bytes.NewReader(packed))
			if err != nil {
				return fmt.Errorf("push: %w", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusNoContent {
				return fmt.Errorf("push: %s", resp.Status)
			}
			return nil
		})
	}
	return group.Wait()
}

// receivePush unpacks and compiles, as a daemon would.
func receivePush(w http.ResponseWriter, r *http.Request) {
	packed, err := io.ReadAll(io.LimitReader(r.Body, manifest.MaxSourceSize))
	if err == nil {
		var body []byte
		if body, err = manifest.ApplyDelta(nil, packed); err == nil {
			_, err = compile(body)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
