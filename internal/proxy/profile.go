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
}

func newRouteProfiles() *routeProfiles {
	return &routeProfiles{sizes: map[string]float64{}, works: map[string]float64{}}
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

// addSample adds a sample to a route's mean. The first one is the mean.
func addSample(means map[string]float64, route string, sample float64) {
	mean, ok := means[route]
	if !ok {
		mean = sample
	}
	means[route] = mean + profileWeight*(sample-mean)
}
