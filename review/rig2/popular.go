package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// popular plays requests for one path of a route that was added later, of which some run at each
// worker at any moment, and workers that crash one after the other for another reason.
func popular(p *play) (broken bool, err error) {
	const (
		workers   = 6
		crashes   = 3
		crashTime = 3 * time.Second
		betweenAt = 6 * time.Second
		calm      = 10 * time.Second
		judged    = 20 * time.Second
	)
	services := []string{"svc-a", "svc-b"}
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "idempotent", service: "svc-a", timeoutMS: 1200}
	later := route{name: "r-later", host: "later.example", prefix: "/later/", kind: "idempotent", service: "svc-a", timeoutMS: 1200}
	p.publish(1, services, nil, first)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range workers + len(zones) {
		service := services[0]
		if i >= workers {
			service = services[1]
		}
		if _, err := p.addNode(zones[i%len(zones)], service); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	const work = 100 * time.Millisecond
	for i, n := range p.nodes {
		if _, err := n.startWorker(fmt.Sprintf("i-%d", i), work); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	p.publish(2, services, nil, first, later)
	p.printf("version 2 adds the route %s", later.name)
	time.Sleep(3 * time.Second)

	// All requests of the later route are for one path. Those of the first have one each.
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer func() {
		cancel()
		clients.Wait()
	}()
	var seen struct{ first, later outcome }
	start := func(ctx context.Context, seenFirst, seenLater *outcome) {
		for _, n := range p.nodes {
			clients.Add(2)
			go func() {
				defer clients.Done()
				n.traffic(ctx, later, http.MethodGet, 45*time.Millisecond, seenLater)
			}()
			go func() {
				defer clients.Done()
				r := first
				r.ownPath = true
				n.traffic(ctx, r, http.MethodGet, 150*time.Millisecond, seenFirst)
			}()
		}
	}
	disturbed, endDisturbed := context.WithCancel(ctx)
	defer endDisturbed()
	start(disturbed, &seen.first, &seen.later)
	time.Sleep(3 * time.Second)
	for i := range crashes {
		if p.trouble {
			n := p.nodes[i]
			n.worker.crash()
			p.printf("worker %s crashes", n.worker.id)
			time.Sleep(crashTime)
			if _, err := n.startWorker(n.worker.id+"x", work); err != nil {
				return false, err
			}
			time.Sleep(betweenAt - crashTime)
			continue
		}
		time.Sleep(betweenAt)
	}
	time.Sleep(calm)
	p.printf("until %s after the last crash: first route %s, later route %s", calm, &seen.first, &seen.later)
	endDisturbed()
	var steady struct{ first, later outcome }
	start(ctx, &steady.first, &steady.later)
	time.Sleep(judged)
	cancel()
	clients.Wait()
	firstShare, firstAll := steady.first.served()
	laterShare, laterAll := steady.later.served()
	p.printf("in %s of steady state: first route %s, served %.3f of %d; later route %s, served %.3f of %d",
		judged, &steady.first, firstShare, firstAll, &steady.later, laterShare, laterAll)
	const fewest, quarter = 20, 0.25
	return laterAll >= fewest && laterShare < quarter*firstShare, nil
}
