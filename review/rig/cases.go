package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sendInterval is the time between two requests of the clients of a machine.
const sendInterval = 100 * time.Millisecond

// usualTraffic sends stock checks to each machine.
func (r *rig) usualTraffic() (stop func()) {
	return r.traffic(sendInterval, func(m *machine) {
		r.send(m, http.MethodGet, stockHost, "/check/shelf", 2*time.Second)
	})
}

// strayReport has another writer send one status report, whose service is none of the
// installation, to a daemon. Rule UNASKED: Caller-Service is the service of the machine where
// the request began.
func strayReport(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	stop := r.usualTraffic()
	time.Sleep(5 * time.Second)
	if m := r.machines[0]; r.trouble {
		stray := m.worker.status("ready")
		stray["service"] = "no-such-desk"
		m.postReport("/api/Instances.Heartbeat/i-stray", stray, "another writer")
	}
	time.Sleep(8 * time.Second)
	stop()
	return callerBreaks(r), nil
}

// callerBreaks returns the runs whose Caller-Service is not the service of the machine where
// the request began.
func callerBreaks(r *rig) []string {
	var broken []string
	for _, one := range r.allRuns() {
		entry := r.entryOf(one.id)
		if entry == nil || entry.service == one.caller {
			continue
		}
		broken = append(broken, fmt.Sprintf("UNASKED: request %s began at %s (service %s); worker %s ran it at %s with Caller-Service %q",
			one.id, entry.name, entry.service, one.worker.id, r.since(one.at), one.caller))
	}
	return broken
}

// Times of lateReport.
const (
	// killAfter is the time from the acknowledgement of the leaving to the kill.
	killAfter = 500 * time.Millisecond
	// lateBy is how late the delayed status report arrives.
	lateBy = 3 * time.Second
	// servesAfter is how long the worker serves after its leaving was acknowledged.
	servesAfter = 12 * time.Second
)

// lateReport has a worker leave with Instances.Leave while a status report of it is on its
// way. All daemons are killed and started again. Rule DRAIN: no request reaches the worker
// later than drain_ms after the acknowledgement.
func lateReport(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	stop := r.usualTraffic()
	defer stop()
	time.Sleep(5 * time.Second)
	leaver := r.machines[0].worker
	leaver.setQuiet(true)
	delayed := leaver.status("ready")
	left, err := leaver.leave()
	if err != nil {
		return nil, err
	}
	r.note("worker %s: its leaving is acknowledged", leaver.id)
	if r.trouble {
		time.Sleep(killAfter)
		if err := r.killAll(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(left.Add(lateBy)))
	leaver.post("/api/Instances.Heartbeat/"+leaver.id, delayed)
	time.Sleep(time.Until(left.Add(servesAfter)))
	leaver.exit()
	return drainBreaks(r, leaver, left), nil
}

// killAll kills all daemons at once and starts them again after restartDelay.
func (r *rig) killAll() error {
	var kills sync.WaitGroup
	for _, m := range r.machines {
		kills.Go(m.kill)
	}
	kills.Wait()
	time.Sleep(restartDelay)
	for _, m := range r.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// drainBreaks returns the runs at a worker that began later than drainTime after its leaving
// was acknowledged, with all machines in touch.
func drainBreaks(r *rig, leaver *worker, left time.Time) []string {
	from := left.Add(drainTime)
	for _, m := range r.machines {
		if since := m.inTouchSince(); since.After(from) {
			from = since
		}
	}
	var broken []string
	for _, one := range r.allRuns() {
		if one.worker != leaver || !one.at.After(from) {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: worker %s ran %s at %s, %.1f s after its leaving was acknowledged; all machines were in touch from %s",
			leaver.id, one.id, r.since(one.at), one.at.Sub(left).Seconds(), r.since(from)))
	}
	return broken
}
