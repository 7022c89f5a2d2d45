package soak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
)

const (
	// rolloutService is the service that is moved from oldVersion to newVersion.
	rolloutService         = "desk"
	oldVersion, newVersion = "v1", "v2"
	rolloutPeriod          = 6 * time.Second
	// exposePerMille and exposeSlack bound the requests that a bad version gets in the period,
	// and rollback how long after its badAnswers-th bad answer it gets any.
	exposePerMille = 100
	exposeSlack    = 50
	rollback       = 5 * time.Second
	badAnswers     = 50
	// failEvery makes each second answer of a bad version fail.
	failEvery = 2
	// statePollInterval is the interval at which the platform reads the state of a rollout.
	statePollInterval = 10 * time.Millisecond
)

// States of a rollout.
const (
	completed = "completed"
	reverted  = "reverted"
)

// rollout moves rolloutService to new upstreams during a plan, as the platform does.
type rollout struct {
	soak *soak
	bad  bool
	// old are the nodes of the old upstreams, and new those that run starts; mu guards new.
	old, new []*node
	began    time.Time
	problems
	// retiring are the old upstreams that are being stopped.
	retiring sync.WaitGroup

	mu sync.Mutex
	// final is the first final state that was read, at the time ended.
	final string
	ended time.Time
}

// hasRollout reports whether a seed has a rollout: of five seeds one has a good one and one a
// bad one.
func hasRollout(seed uint64) bool { return seed%5 == 1 || seed%5 == 2 }

// newRollout returns the rollout of a seed, or nil.
func newRollout(s *soak, seed uint64) *rollout {
	if !hasRollout(seed) {
		return nil
	}
	r := &rollout{soak: s, bad: seed%5 == 2}
	for _, n := range s.nodes {
		if n.Service == rolloutService {
			r.old = append(r.old, n)
		}
	}
	return r
}

// run requests the rollout, starts the new upstreams, and follows its state until ctx ends.
func (r *rollout) run(ctx context.Context) {
	r.began = time.Now()
	r.soak.store.RequestRollout(rolloutService, newVersion, rolloutPeriod)
	for i, old := range r.old {
		config := old.nodeConfig
		config.number, config.version = len(r.soak.nodes)+i, newVersion
		n, err := startNode(config)
		if err != nil {
			r.problem("start of a new node: %v", err)
			return
		}
		if r.bad {
			n.upstream.FailEvery(failEvery)
		}
		r.mu.Lock()
		r.new = append(r.new, n)
		r.mu.Unlock()
	}
	for ctx.Err() == nil {
		r.observe(r.soak.store.RolloutState(rolloutService))
		time.Sleep(statePollInterval)
	}
	r.retiring.Wait()
}

// started returns the new nodes.
func (r *rollout) started() []*node {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.new)
}

// observe handles the state that was read. A final state may be missing again only after the
// store has come back from an older copy.
func (r *rollout) observe(state string) {
	first := false
	r.mu.Lock()
	switch {
	case r.final == "" && (state == completed || state == reverted):
		r.final, r.ended, first = state, time.Now(), true
	case r.final != "" && state != r.final:
		if state == completed || state == reverted || !r.soak.configs.restoredSince(r.ended) {
			r.problem("the state is %q after %s", state, r.final)
		}
	}
	r.mu.Unlock()
	if first && state == completed {
		for _, n := range r.old {
			r.retiring.Go(n.retireUpstream)
		}
	}
}

// await waits until the rollout has a final state.
func (r *rollout) await(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		r.mu.Lock()
		ended := r.final != ""
		r.mu.Unlock()
		if ended {
			return
		}
	}
	r.problem("no final state %s after the request", time.Since(r.began).Round(time.Millisecond))
}

// check checks the final state and the requests of both versions.
func (r *rollout) check() {
	switch {
	case r.final == "":
		return // await has reported it.
	case r.bad != (r.final == reverted):
		r.problem("the rollout, bad: %t, was %s", r.bad, r.final)
	}
	r.soak.t.Logf("rollout, bad: %t, %s after %s", r.bad, r.final, r.ended.Sub(r.began).Round(time.Millisecond))
	if r.final == completed {
		r.checkCompleted()
		return
	}
	r.checkReverted()
}

// checkCompleted checks that no request ran at an old upstream when the platform stopped it,
// and that none came later.
func (r *rollout) checkCompleted() {
	for _, run := range runsOf(r.old) {
		switch {
		case run.At.After(r.ended):
			r.problem("request %s reached an old upstream %s after the completion", run.ID, run.At.Sub(r.ended))
		case run.Ended.IsZero() || run.Ended.After(r.ended):
			r.problem("request %s ran at an old upstream when it was stopped, since %s", run.ID, r.ended.Sub(run.At))
		}
	}
}

// checkReverted checks the requests that the new version got: at most its share in the period,
// none later than rollback after its bad answers, and none once the state is known at the
// daemon.
func (r *rollout) checkReverted() {
	exposed, all := inWindow(runsOf(r.new), r.began, rolloutPeriod), inWindow(runsOf(r.old), r.began, rolloutPeriod)
	all += exposed
	if limit := all*exposePerMille/1000 + exposeSlack; r.bad && exposed > limit {
		r.problem("%d of %d requests reached the bad version in the period, at most %d allowed", exposed, all, limit)
	}
	var failures []time.Time
	for _, run := range runsOf(r.new) {
		if run.Status >= http.StatusInternalServerError {
			failures = append(failures, run.Ended)
		}
	}
	slices.SortFunc(failures, time.Time.Compare)
	closed := r.ended.Add(rollback)
	if len(failures) >= badAnswers && failures[badAnswers-1].Before(r.ended) {
		closed = failures[badAnswers-1].Add(rollback)
	}
	for _, n := range r.new {
		known, settled := r.soak.disturbances.settled(r.ended, configLimit, theStore, reach(n.number))
		for _, run := range runsOf([]*node{n}) {
			if run.At.After(closed) || settled && run.At.After(known) {
				r.problem("request %s reached the reverted version %s after that, with %d bad answers in all", run.ID, run.At.Sub(r.ended), len(failures))
			}
		}
	}
	r.soak.t.Logf("%d of %d requests in the period reached the new version, %d bad answers", exposed, all, len(failures))
}

// inWindow returns the number of runs that began in a window.
func inWindow(runs []platformtest.Run, from time.Time, window time.Duration) int {
	count := 0
	for _, run := range runs {
		if run.At.After(from) && run.At.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// runsOf returns the runs at all upstreams of nodes.
func runsOf(nodes []*node) []platformtest.Run {
	var runs []platformtest.Run
	for _, n := range nodes {
		for _, u := range n.upstreams {
			runs = append(runs, u.Runs()...)
		}
	}
	return runs
}
