package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the tenant and bounds of its allowance.
const (
	ratePerSecond = 100
	burst         = 20
	quotaWindow   = 5 * time.Second
	quotaExcess   = 0.1
	quotaSlack    = 20
)

// allowed is the largest number of the tenant's requests in a window of quotaWindow.
func allowed() int {
	return int((ratePerSecond*quotaWindow.Seconds()+burst)*(1+quotaExcess)) + quotaSlack
}

// allowance plays a tenant whose clients work in one zone for a while. When that zone's machine
// stands still for a moment, clients in the other zones begin to work.
func allowance(p *play) (broken bool, err error) {
	const key = "7yx5x42q492cqf75rjvz"
	p.moreBounds = `,"strict_revoke=true","revoke_ms=5000","quota_window_s=5","quota_excess=0.1","quota_slack=20"`
	r := route{name: "r-read", host: "read.example", prefix: "/read/", kind: "idempotent", service: "svc-a", timeoutMS: 1500, key: key}
	p.publish(1, []string{"svc-a"}, []tenant{{Name: "tenant-1", APIKeys: []string{key}, RatePerSec: ratePerSecond, Burst: burst}}, r)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := p.addNode(zone, "svc-a"); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	for i, n := range p.nodes {
		if _, err := n.startWorker(fmt.Sprintf("i-%d", i), 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	seen := &outcome{}
	start := func(n *node, perSecond int) {
		p.printf("clients of the tenant at %s send %d requests a second", n.name, perSecond)
		clients.Add(1)
		go func() {
			defer clients.Done()
			n.traffic(ctx, r, http.MethodGet, time.Second/time.Duration(perSecond), seen)
		}()
	}
	// More than the whole allowance is asked for in one zone, and nothing in the others.
	const aloneTime = 60 * time.Second
	start(p.nodes[0], 120)
	time.Sleep(aloneTime)
	if p.trouble {
		p.printf("the machine %s stands still", p.nodes[0].name)
		if err := p.nodes[0].signal(syscall.SIGSTOP); err != nil {
			cancel()
			return false, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	start(p.nodes[1], 30)
	start(p.nodes[2], 30)
	time.Sleep(2 * time.Second)
	if p.trouble {
		if err := p.nodes[0].signal(syscall.SIGCONT); err != nil {
			cancel()
			return false, err
		}
		p.printf("the machine %s goes on", p.nodes[0].name)
	}
	time.Sleep(15 * time.Second)
	cancel()
	clients.Wait()
	p.printf("answers by status: %s", seen)
	most, at := p.mostInWindow(seen)
	p.printf("at most %d requests of the tenant were sent and ran within %s, from %.1f s on; allowed are %d", most, quotaWindow, at.Seconds(), allowed())
	return most > allowed(), nil
}

// mostInWindow returns the largest number of requests that were sent and began to run within a
// window, and when that began.
func (p *play) mostInWindow(seen *outcome) (most int, at time.Duration) {
	type run struct{ sent, began time.Duration }
	var runs []run
	for _, n := range p.nodes {
		for _, a := range n.worker.arrivals() {
			runs = append(runs, run{seen.sentAt[a.id].Sub(p.began), a.at.Sub(p.began)})
		}
	}
	perSecond := map[int]int{}
	for _, r := range runs {
		perSecond[int(r.began.Seconds())]++
	}
	for second := range int(time.Since(p.began).Seconds()) {
		p.printf("second %d: %d requests began to run", second, perSecond[second])
	}
	slices.SortFunc(runs, func(a, b run) int { return int(a.sent - b.sent) })
	for i, first := range runs {
		count := 0
		for _, r := range runs[i:] {
			if r.began <= first.sent+quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	return most, at
}
