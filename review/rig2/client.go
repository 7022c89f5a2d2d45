package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lastID numbers the attempts of all clients.
var lastID atomic.Int64

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastID.Add(1)) }

// outcome counts answers by their status; 0 stands for none.
type outcome struct {
	mu    sync.Mutex
	count map[int]int
	// sentAt holds the times at which attempts were sent, by id.
	sentAt map[string]time.Time
}

// sent records that an attempt is sent now.
func (o *outcome) sent(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sentAt == nil {
		o.sentAt = map[string]time.Time{}
	}
	o.sentAt[id] = time.Now()
}

func (o *outcome) add(status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count == nil {
		o.count = map[int]int{}
	}
	o.count[status]++
}

// served returns the share of the attempts that got status 200, and the number of all.
func (o *outcome) served() (share float64, all int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, count := range o.count {
		all += count
	}
	return float64(o.count[http.StatusOK]) / float64(max(all, 1)), all
}

func (o *outcome) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(o.count)
}

// send sends one attempt to the daemon of a machine and returns the status, 0 without a whole
// answer.
func (n *node) send(client *http.Client, method string, r route, id string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.timeoutMS)*time.Millisecond)
	defer cancel()
	path := r.prefix + "x"
	if r.ownPath {
		path = r.prefix + id
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.at(outboundPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = r.host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(r.timeoutMS))
	if r.key != "" {
		request.Header.Set("Credential", r.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// traffic sends attempts to the daemon of a machine, one each interval, until ctx ends.
func (n *node) traffic(ctx context.Context, r route, method string, interval time.Duration, seen *outcome) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			id := newID()
			seen.sent(id)
			seen.add(n.send(client, method, r, id, nil))
		}()
	}
}
