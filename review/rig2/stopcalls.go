package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case about calls at a planned stop.
const (
	graceTime = 6 * time.Second
	// lateAfter is how long after SIGTERM a request is sent at least that counts although its
	// worker is at work at the end of the grace time.
	lateAfter = 3 * time.Second
	callWork  = 300 * time.Millisecond
	// callsOfParent is how many calls a request makes, one after the other.
	callsOfParent = 20
	parents       = 6
)

// call is one call that a worker made while it ran a request.
type call struct {
	id              string
	sentAt, endedAt time.Time
	deadline        time.Time
	status          int
}

// caller makes the calls of the requests that a worker runs.
type caller struct {
	node  *node
	route route
	// budget is the time budget of a request.
	budget time.Duration

	mu    sync.Mutex
	calls []call
}

// run makes the calls of the request with an id. It reports whether all were served.
func (c *caller) run(id string) bool {
	deadline := time.Now().Add(c.budget)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := range callsOfParent {
		r := c.route
		r.timeoutMS = min(r.timeoutMS, int(time.Until(deadline).Milliseconds()))
		if r.timeoutMS <= 0 {
			return false
		}
		made := call{id: fmt.Sprintf("%s.%d", id, i), sentAt: time.Now()}
		made.deadline = made.sentAt.Add(time.Duration(r.timeoutMS) * time.Millisecond)
		made.status = c.node.send(client, http.MethodGet, r, made.id, nil)
		made.endedAt = time.Now()
		c.mu.Lock()
		c.calls = append(c.calls, made)
		c.mu.Unlock()
		if made.status != http.StatusOK {
			return false
		}
	}
	return true
}

// stopCalls plays a planned stop of a daemon while the worker beside it runs requests that make
// calls.
func stopCalls(p *play) (broken bool, err error) {
	const budget = 8 * time.Second
	parent := route{name: "r-parent", host: "parent.example", prefix: "/parent/", kind: "idempotent", service: "svc-a", timeoutMS: int(budget.Milliseconds())}
	called := route{name: "r-call", host: "call.example", prefix: "/call/", kind: "idempotent", service: "svc-b", timeoutMS: 1200}
	p.publish(1, []string{"svc-a", "svc-b"}, nil, parent, called)
	services := []string{"svc-a", "svc-b", "svc-b"}
	for i, service := range services {
		if _, err := p.addNode([]string{"zone-a", "zone-b", "zone-c"}[i], service); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	for i, n := range p.nodes {
		if _, err := n.startWorker(fmt.Sprintf("i-%d", i), callWork); err != nil {
			return false, err
		}
	}
	stopped := p.nodes[0]
	c := &caller{node: stopped, route: called, budget: budget}
	stopped.worker.setCaller(c)
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	seen := &outcome{}
	for range parents {
		clients.Add(1)
		go func() {
			defer clients.Done()
			seen.add(p.nodes[1].send(&http.Client{}, http.MethodGet, parent, newID(), nil))
		}()
		time.Sleep(50 * time.Millisecond)
	}
	termAt := time.Now()
	if p.trouble {
		if err := stopped.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		p.printf("SIGTERM of the daemon of %s", stopped.name)
	}
	clients.Wait()
	p.printf("answers to the %d requests, which make %d calls of %s each: %s", parents, callsOfParent, callWork, seen)
	cut := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, made := range c.calls {
		sent := made.sentAt.Sub(termAt)
		if made.status == http.StatusOK || sent < lateAfter || !made.endedAt.Before(made.deadline) || made.endedAt.Sub(termAt) > graceTime+time.Second {
			continue
		}
		began, runs := p.beganAt(made.id)
		p.printf("call %s, sent %d ms after SIGTERM: status %d at %d ms, with %d ms of its time left; ran: %v, since %d ms",
			made.id, sent.Milliseconds(), made.status, made.endedAt.Sub(termAt).Milliseconds(), made.deadline.Sub(made.endedAt).Milliseconds(), runs, began.Sub(termAt).Milliseconds())
		// Its worker was at work when the answer was given in its place.
		if runs && made.endedAt.Before(began.Add(callWork)) {
			cut++
		}
	}
	p.printf("%d calls that were sent later than %s after SIGTERM were broken off while their worker was at work; %d calls in all", cut, lateAfter, len(c.calls))
	return cut > 0, nil
}

// beganAt returns when a worker began to run the request with an id.
func (p *play) beganAt(id string) (began time.Time, runs bool) {
	for _, n := range p.nodes {
		for _, a := range n.worker.arrivals() {
			if a.id == id {
				return a.at, true
			}
		}
	}
	return time.Time{}, false
}
