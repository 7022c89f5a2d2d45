package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// seriesTarget is that of a request for which its worker makes calls, one after another, to
	// lookupTarget of the other service, each of which takes lookupTime.
	seriesTarget = "/series/17"
	lookupTarget = "/lookup/17"
	lookupTime   = 100 * time.Millisecond
	// series is the number of such requests, seriesBudget the time budget of one, and seriesTime
	// how long it takes. lookupBudget is that of a call.
	series       = 4
	seriesBudget = 10 * time.Second
	seriesTime   = 9 * time.Second
	lookupBudget = 1200 * time.Millisecond
	// graceTime is grace_s of the settings, and excusedTime the time after a SIGTERM until which
	// the rule excuses requests at which a worker is at work in the last sixth of it.
	graceTime   = 6 * time.Second
	excusedTime = 3 * time.Second
)

// makeSeries makes the calls of a request for seriesTarget, and reports whether the request came
// to its end.
func (w *worker) makeSeries(in *http.Request, id string) bool {
	began := time.Now()
	for i := 1; time.Since(began) < seriesTime; i++ {
		if in.Context().Err() != nil {
			w.machine.rig.note("worker %s: %s is broken off", w.id, id)
			return false
		}
		left := min(seriesBudget-time.Since(began), lookupBudget)
		w.machine.rig.sendAs(fmt.Sprintf("%s.%d", id, i), w.machine, http.MethodGet, sheetHost, lookupTarget, left)
	}
	return true
}

// nestedStop stops a daemon, with SIGTERM, whose worker makes calls for a long request. Rule
// LOST: no request at which a worker is at work is broken off, but for those that were sent no
// later than 3 s after SIGTERM.
func nestedStop(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for range series {
		clients.Go(func() { r.send(r.machines[0], http.MethodPost, stockHost, seriesTarget, seriesBudget) })
	}
	time.Sleep(time.Second)
	m := r.mostSeries()
	if m == nil {
		return nil, errors.New("no worker runs a series")
	}
	stopped := time.Now()
	if r.trouble {
		r.note("platform: SIGTERM to %s", m.name)
		m.terminate()
	}
	clients.Wait()
	return brokenOff(r, m, stopped), nil
}

// mostSeries returns the machine whose worker runs the most requests for seriesTarget, or nil.
func (r *rig) mostSeries() *machine {
	var most *machine
	runs := map[*machine]int{}
	for _, one := range r.allRuns() {
		if m := one.worker.machine; one.target == seriesTarget {
			runs[m]++
			if most == nil || runs[m] > runs[most] {
				most = m
			}
		}
	}
	return most
}

// terminate stops the daemon as the platform does: with SIGTERM, and SIGKILL after graceTime. It
// returns when the process has ended.
func (m *machine) terminate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	kill := time.AfterFunc(graceTime, func() { _ = m.process.Process.Signal(syscall.SIGKILL) })
	defer kill.Stop()
	_ = m.process.Process.Signal(syscall.SIGTERM)
	_ = m.process.Wait()
	m.process = nil
	m.rig.note("%s: daemon ended", m.name)
}

// brokenOff returns the calls that began at a machine later than excusedTime after the stop, ran
// at a worker, and got no answer of it although they had time left.
func brokenOff(r *rig, m *machine, stopped time.Time) []string {
	began := map[string]oneRun{}
	for _, one := range r.allRuns() {
		began[one.id] = one
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []string
	for i := range r.sent {
		q := &r.sent[i]
		one, ran := began[q.id]
		inTime := q.ended.Sub(q.sent) < q.deadline
		if !ran || q.entry != m || q.target != lookupTarget || q.signature != "" || !inTime || q.sent.Sub(stopped) <= excusedTime {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: call %s was sent %.2f s after SIGTERM, worker %s began it %.2f s after SIGTERM, and %s answered %d in its place %.2f s after SIGTERM, with %.1f s of its time left %s",
			q.id, q.sent.Sub(stopped).Seconds(), one.worker.id, one.at.Sub(stopped).Seconds(), m.name, q.status, q.ended.Sub(stopped).Seconds(), (q.deadline-q.ended.Sub(q.sent)).Seconds(), shortError(q.err)))
	}
	return broken
}
