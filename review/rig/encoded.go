package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Dose of the lost answers: that of a standard day of the site, share 0.6, x 0.4 and for_s 4.
const (
	losingWorkers = 3 // of 6, share 0.5
	lostShare     = 0.4
	lostTime      = 4 * time.Second
)

// Targets of the same non-idempotent route, whose prefix is /desk/. The second one has a slash
// as data, which is encoded: it does not begin with /desk/read/, the prefix of an idempotent
// route.
const (
	plainTarget   = "/desk/17"
	encodedTarget = "/desk/read%2F17"
)

// encodedSlash sends requests for both targets while some workers lose answers. Rule TWICE: no
// request that is not idempotent runs twice.
func encodedSlash(r *rig) ([]string, error) {
	if err := r.startUsual(); err != nil {
		return nil, err
	}
	stop := r.traffic(sendInterval, func(m *machine) {
		var both sync.WaitGroup
		for _, target := range []string{plainTarget, encodedTarget} {
			both.Go(func() { r.send(m, http.MethodPost, deskHost, target, 2500*time.Millisecond) })
		}
		both.Wait()
	})
	time.Sleep(5 * time.Second)
	if r.trouble {
		losing := losingWorkers
		for _, m := range r.machines {
			if m.service == ordersService && losing > 0 {
				m.worker.loseAnswers(lostShare)
				losing--
			}
		}
		r.note("%d workers lose %.1f of their answers", losingWorkers, lostShare)
	}
	time.Sleep(lostTime)
	for _, m := range r.machines {
		m.worker.loseAnswers(0)
	}
	time.Sleep(2 * time.Second)
	stop()
	return twiceBreaks(r), nil
}

// twiceBreaks returns the requests that ran more than once.
func twiceBreaks(r *rig) []string {
	runs := map[string][]oneRun{}
	for _, one := range r.allRuns() {
		runs[one.id] = append(runs[one.id], one)
	}
	var broken []string
	twice := map[string]int{}
	for id, all := range runs {
		if len(all) < 2 {
			continue
		}
		var where []string
		for _, one := range all {
			where = append(where, fmt.Sprintf("worker %s at %s", one.worker.id, r.since(one.at)))
		}
		twice[all[0].target]++
		broken = append(broken, fmt.Sprintf("TWICE: %s %s %s ran at %s", id, all[0].method, all[0].target, strings.Join(where, " and ")))
	}
	r.note("ran twice: %d requests for %s, %d for %s", twice[plainTarget], plainTarget, twice[encodedTarget], encodedTarget)
	return broken
}
