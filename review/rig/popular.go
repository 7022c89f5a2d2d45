package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
)

const (
	// popularTarget is what many clients ask for, on a route that is added by addedVersion.
	popularTarget = "/news/today"
	addedVersion  = 8
	// crashTime is how long a crashed worker is down, crashGap the time between two crashes.
	crashTime = 3 * time.Second
	crashGap  = 6 * time.Second
	// steadyTime is the part of the play that is judged.
	steadyTime = 20 * time.Second
	// popularInterval is the time between the requests of a machine: popularClients for
	// popularTarget and one other. All machines together send 327 a second, and the site
	// 337 to this service.
	popularInterval = 110 * time.Millisecond
	popularClients  = 3
	// leastAsked is the number of requests from which the rule holds.
	leastAsked = 20
)

// crash ends the worker at once, as by a crash, and starts it again after a while, as a new
// incarnation with another id at the same address.
func (w *worker) crash(down time.Duration) error {
	w.setQuiet(true)
	_ = w.server.Close()
	w.machine.rig.note("worker %s: crashes", w.id)
	time.Sleep(down)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id += "b"
	w.born = time.Now().UnixMilli()
	w.sequence = 0
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	w.mu.Unlock()
	w.machine.rig.note("worker %s: is back", w.id)
	w.setQuiet(false)
	_ = w.post("/api/Instances.Heartbeat/"+w.id, w.status("ready"))
	return nil
}

// popularPath has three workers crash, one after the other, while many clients ask for the same
// path on a route that was added later. Rule CONFIG: in steady state, requests on later routes
// are not served less than a quarter as often as those on the first ones.
func popularPath(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	routes := append(usualRoutes(), platformtest.Route{Host: stockHost, Prefix: "/news/", Kind: platformtest.Idempotent, Service: ordersService, TimeoutMS: 2000, GoalMS: 300, Priority: 2, MaxAttempts: 3})
	r.publish(addedVersion, routes...)
	time.Sleep(3 * time.Second)
	stop := r.traffic(popularInterval, func(m *machine) {
		var popular sync.WaitGroup
		defer popular.Wait()
		for range popularClients {
			popular.Go(func() { r.send(m, http.MethodGet, stockHost, popularTarget, 2*time.Second) })
		}
		r.send(m, http.MethodGet, stockHost, fmt.Sprintf("/check/shelf-%d", time.Now().UnixNano()), 2*time.Second)
	})
	time.Sleep(4 * time.Second)
	for _, m := range []*machine{r.machines[0], r.machines[3], r.machines[6]} {
		if r.trouble {
			if err := m.worker.crash(crashTime); err != nil {
				return nil, err
			}
		}
		time.Sleep(crashGap - crashTime)
	}
	time.Sleep(2 * contactTime)
	from := time.Now()
	r.note("steady state begins")
	time.Sleep(steadyTime)
	until := time.Now()
	stop()
	return lateRouteBreaks(r, from, until), nil
}

// lateRouteBreaks compares how often requests for popularTarget and all others were served.
func lateRouteBreaks(r *rig, from, until time.Time) []string {
	var asked, served [2]int
	r.mu.Lock()
	for i := range r.sent {
		q := &r.sent[i]
		if q.sent.Before(from) || q.sent.After(until) {
			continue
		}
		kind := 0
		if q.target == popularTarget {
			kind = 1
		}
		asked[kind]++
		if q.status == http.StatusOK && q.signature != "" {
			served[kind]++
		}
	}
	r.mu.Unlock()
	r.note("steady state: first routes %d of %d served, the later route %d of %d", served[0], asked[0], served[1], asked[1])
	first, later := share(served[0], asked[0]), share(served[1], asked[1])
	if asked[1] < leastAsked || later >= first/4 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: in %.0f s of steady state %d of %d requests on the route that was added later were served, and %d of %d on the first ones",
		until.Sub(from).Seconds(), served[1], asked[1], served[0], asked[0])}
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
