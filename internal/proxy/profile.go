package proxy

import (
	"sync"
	"time"
)

// profileWeight is the weight of a new sample in a route's means.
const profileWeight = 0.05

// routeProfiles holds, by route, what recent requests have needed. All methods may
// be called from any goroutine.
type routeProfiles struct {
	mu    sync.Mutex
	sizes map[string]float64
	works map[string]float64
	// durations holds how long requests took at this daemon, from their arrival to their end.
	durations map[string]*recentMaximum
}

func newRouteProfiles() *routeProfiles {
	return &routeProfiles{sizes: map[string]float64{}, works: map[string]float64{}, durations: map[string]*recentMaximum{}}
}

// recordSize records the size in bytes of a request and its answer together,
// without headers.
func (r *routeProfiles) recordSize(route string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addSample(r.sizes, route, float64(bytes))
}

// size returns the mean size in bytes of the route's requests and their answers
// together, or 0 before the first one.
func (r *routeProfiles) size(route string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.sizes[route])
}

// recordWork records a request that held its slot for ran at an upstream whose
// mean service time is mean. It ignores times of 0, which mean unknown.
func (r *routeProfiles) recordWork(route string, ran, mean time.Duration) {
	if ran <= 0 || mean <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	addSample(r.works, route, float64(ran)/float64(mean))
}

// work returns the mean service time of the route's requests as a share of that of
// all requests at the same upstream, or 0 before the first one.
func (r *routeProfiles) work(route string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.works[route]
}

// recordDuration records a request that took d and ended at now, since the proxy's epoch.
func (r *routeProfiles) recordDuration(route string, now, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.durations[route] == nil {
		r.durations[route] = &recentMaximum{}
	}
	r.durations[route].add(now, d)
}

// maxDuration returns the longest recent duration of the route's requests, or 0 if it is unknown.
func (r *routeProfiles) maxDuration(route string, now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if recent := r.durations[route]; recent != nil {
		return recent.get(now)
	}
	return 0
}

// maximumWindow is the time for which a recentMaximum holds a duration at least, and half of
// the time for which it holds it at most.
const maximumWindow = time.Minute

// recentMaximum is the longest duration of the current window and of the one before it. The zero
// value is ready for use.
type recentMaximum struct {
	// began is when the current window began.
	began             time.Duration
	current, previous time.Duration
}

// add adds a duration at now.
func (m *recentMaximum) add(now, d time.Duration) {
	m.advance(now)
	m.current = max(m.current, d)
}

// get returns the maximum at now, or 0 without a recent duration.
func (m *recentMaximum) get(now time.Duration) time.Duration {
	m.advance(now)
	return max(m.current, m.previous)
}

// advance begins a new window if the current one is over.
func (m *recentMaximum) advance(now time.Duration) {
	over := now - m.began
	if over < maximumWindow {
		return
	}
	m.previous, m.current = m.current, 0
	if over >= 2*maximumWindow {
		m.previous = 0
	}
	m.began = now
}

// addSample adds a sample to a route's mean. The first one is the mean.
func addSample(means map[string]float64, route string, sample float64) {
	mean, ok := means[route]
	if !ok {
		mean = sample
	}
	means[route] = mean + profileWeight*(sample-mean)
}
