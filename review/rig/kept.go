package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Dose of the silently lost answers: that of a standard day, share 0.6, x 0.3 and for_s 6.
const (
	silentWorkers = 3 // of 6, share 0.5
	silentShare   = 0.3
	silentTime    = 6 * time.Second
	// silentPlays is how often that happens, with silentGap between two.
	silentPlays = 8
	silentGap   = 3 * time.Second
	// afterTime is how long the traffic goes on when no answer is lost any more.
	afterTime = 10 * time.Second
)

// keptAfterTimeout has workers lose answers silently, so that some orders reach the timeout of
// their route while their clients still wait. The clients keep their connections. Rule DENIED: no
// more than 5 and one in 500 of all proper requests get a 4xx of the system's own.
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
	for range silentPlays {
		if r.trouble {
			r.loseSilently(silentShare)
		}
		time.Sleep(silentTime)
		r.loseSilently(0)
		time.Sleep(silentGap)
	}
	calm := time.Now()
	r.note("no answer is lost any more")
	time.Sleep(afterTime)
	stop()
	return deniedBreaks(r, calm), nil
}

// loseSilently makes silentWorkers of orders-desk lose a share of their answers.
func (r *rig) loseSilently(share float64) {
	silent := silentWorkers
	for _, m := range r.machines {
		if m.service == ordersService && silent > 0 {
			m.worker.loseAnswers(share, true)
			silent--
		}
	}
	r.note("%d workers lose %.1f of their answers silently", silentWorkers, share)
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
	r.note("of %d requests %d got 504 and %d a 4xx of the system's own, %d of these were sent later than 3 s after the last lost answer", all, timedOut, denied, late)
	if denied <= 5+all/500 {
		return nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d proper requests got a 4xx of the system's own, allowed are %d; %d of them were sent later than 3 s after the last lost answer",
		denied, all, 5+all/500, late)}
}
