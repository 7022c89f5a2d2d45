package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still; the site files have 4 s, of one machine.
	freezeTime = 4 * time.Second
	// freezeGap is the time between two machines that stand still.
	freezeGap = 2 * time.Second
	// afterTime is how long the traffic goes on when the machine is awake again.
	afterTime = 10 * time.Second
)

// keptAfterTimeout freezes three machines, one after the other, so that some orders that their
// workers run for others reach the timeout of their route while their clients still wait. The clients keep their connections.
// Rule DENIED: no more than 5 and one in 500 of all proper requests get a 4xx of the system's own.
func keptAfterTimeout(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	order := strings.Repeat("pallet ", 30)
	stop := r.traffic(sendInterval, func(m *machine) {
		var both sync.WaitGroup
		both.Go(func() { r.sendBody(m, http.MethodPost, stockHost, "/order/pallet", order, 2500*time.Millisecond) })
		both.Go(func() { r.send(m, http.MethodGet, stockHost, "/check/shelf", 2*time.Second) })
		both.Wait()
	})
	time.Sleep(4 * time.Second)
	if r.trouble {
		for _, m := range r.frozen() {
			m.freeze(freezeTime)
			time.Sleep(freezeGap)
		}
	}
	calm := time.Now()
	time.Sleep(afterTime)
	stop()
	return deniedBreaks(r, calm), nil
}

// frozen returns the machines that stand still, one after the other.
func (r *rig) frozen() []*machine { return []*machine{r.machines[0], r.machines[3], r.machines[6]} }

// freeze stops the daemon and its worker for a while.
func (m *machine) freeze(duration time.Duration) {
	m.worker.freeze(true)
	m.signal(syscall.SIGSTOP)
	m.rig.note("%s: stands still", m.name)
	time.Sleep(duration)
	m.signal(syscall.SIGCONT)
	m.worker.freeze(false)
	m.rig.note("%s: is awake", m.name)
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// deniedBreaks returns how many requests got a 4xx of the system's own, if they are too many.
func deniedBreaks(r *rig, calm time.Time) []string {
	denied, late, timedOut := 0, 0, 0
	r.mu.Lock()
	all := len(r.sent)
	for i := range r.sent {
		q := &r.sent[i]
		if q.status == http.StatusGatewayTimeout {
			timedOut++
		}
		// Those that are frozen at any time are not judged.
		if slices.Contains(r.frozen(), q.entry) {
			continue
		}
		if q.status < 300 || q.status >= 500 || q.signature != "" {
			continue
		}
		if q.status == http.StatusRequestTimeout || q.status == http.StatusMisdirectedRequest || q.status == http.StatusTooManyRequests {
			continue
		}
		denied++
		if q.sent.After(calm.Add(3 * time.Second)) {
			late++
		}
	}
	r.mu.Unlock()
	r.note("of %d requests %d got 504 and %d a 4xx of the system's own, %d of these were sent later than 3 s after the last machine was awake again", all, timedOut, denied, late)
	if denied <= 5+all/500 {
		return nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d proper requests got a 4xx of the system's own, allowed are %d; %d of them were sent later than 3 s after the last machine was awake again",
		denied, all, 5+all/500, late)}
}
