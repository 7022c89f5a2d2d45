package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deployment is a service of today's sizes.
type deployment struct {
	name      string
	instances int
	slots     int
	service   time.Duration
}

var deployments = []deployment{
	{"orders-desk", 6, 10, 50 * time.Millisecond},
	{"intake", 7, 20, 100 * time.Millisecond},
}

// capacity is how many calls per second the slots can serve.
func (d deployment) capacity() float64 {
	return float64(d.instances*d.slots) / d.service.Seconds()
}

// callDeadline is what callers allow, in multiples of the service time.
const callDeadline = 6

// policy is a way to spread calls over upstreams.
type policy struct {
	name  string
	build func(d deployment, ups []*upstream) (call func(n int) bool, stop func(), err error)
}

// measureGoodput offers more and more load to each deployment under the data
// path and two baselines, and counts answers within the deadline and runs
// whose caller had gone.
func measureGoodput(opts options) error {
	policies := []policy{
		{"godwitmount", throughMesh},
		{"uniform random, no admission", uniformRandom},
		{"round robin, 3 blind retries", roundRobin},
	}
	for _, d := range deployments {
		fmt.Printf("goodput of %s: %d instances x %d slots, service time %v +-50%%, capacity %.0f/s, deadline %v\n",
			d.name, d.instances, d.slots, d.service, d.capacity(), callDeadline*d.service)
		for _, load := range opts.Loads {
			for _, policy := range policies {
				if err := goodputAt(d, policy, load, opts.Length); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// goodputInFlight bounds the calls of a goodput run that are not answered, and
// with it the open files of the process.
const goodputInFlight = 3000

func goodputAt(d deployment, policy policy, load float64, length time.Duration) error {
	ups, err := upstreamsOf(d)
	if err != nil {
		return err
	}
	call, stop, err := policy.build(d, ups)
	if err != nil {
		return err
	}
	defer stop()
	var good atomic.Int64
	late := newLatencies()
	pace(load*d.capacity(), length, goodputInFlight, func(n int) {
		began := time.Now()
		if call(n) {
			good.Add(1)
			late.add(time.Since(began))
		}
	})
	runs, wasted := int64(0), int64(0)
	for _, up := range ups {
		runs += up.runs.Load()
		wasted += up.wasted.Load()
		_ = up.server.Close()
	}
	perSecond := float64(good.Load()) / length.Seconds()
	fmt.Printf("  %.1fx %-29s goodput %6.0f/s = %5.1f%% of capacity, %5.1f%% of runs wasted, answered p99 %.0f ms; refused %s\n",
		load, policy.name, perSecond, 100*perSecond/d.capacity(), 100*float64(wasted)/float64(max(runs, 1)), late.at(99), refusals.take())
	return nil
}

func upstreamsOf(d deployment) ([]*upstream, error) {
	var ups []*upstream
	for range d.instances {
		up, err := newUpstream(d.slots, func(int64) time.Duration {
			return time.Duration((0.5 + rand.Float64()) * float64(d.service))
		})
		if err != nil {
			return nil, err
		}
		ups = append(ups, up)
	}
	return ups, nil
}

// throughMesh gives each upstream its daemon; callers use all daemons alike.
func throughMesh(d deployment, ups []*upstream) (func(int) bool, func(), error) {
	m, err := newMesh()
	if err != nil {
		return nil, nil, err
	}
	for _, up := range ups {
		if _, err := m.add(up.server.address, d.slots); err != nil {
			return nil, nil, err
		}
	}
	call := func(n int) bool {
		return inTime(m.daemons[n%len(m.daemons)].callers.address, d)
	}
	return call, m.close, nil
}

func uniformRandom(d deployment, ups []*upstream) (func(int) bool, func(), error) {
	call := func(int) bool { return inTime(ups[rand.IntN(len(ups))].server.address, d) }
	return call, func() {}, nil
}

// blindRetries is how often the second baseline sends again after a failure.
const blindRetries = 3

// roundRobin gives each send half of the deadline and sends again whatever
// happened; an answer after the deadline does not count.
func roundRobin(d deployment, ups []*upstream) (func(int) bool, func(), error) {
	var next atomic.Uint64
	perTry := d
	perTry.service = d.service / 2
	call := func(int) bool {
		began := time.Now()
		for range blindRetries + 1 {
			if inTime(ups[next.Add(1)%uint64(len(ups))].server.address, perTry) {
				return time.Since(began) <= callDeadline*d.service
			}
		}
		return false
	}
	return call, func() {}, nil
}

// refusals counts the calls that were not answered in time, by code.
var refusals = &tally{counts: map[string]int{}}

type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name]++
}

// take returns the counts as text and starts anew.
func (t *tally) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprint(t.counts)
	clear(t.counts)
	return strings.TrimPrefix(text, "map")
}

// inTime makes a call and reports whether its answer came in time.
func inTime(address string, d deployment) bool {
	deadline := callDeadline * d.service
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	status, why, err := get(ctx, address, deadline)
	if err != nil {
		refusals.add("timeout")
		return false
	}
	if status != http.StatusOK {
		refusals.add(why)
	}
	return status == http.StatusOK
}
