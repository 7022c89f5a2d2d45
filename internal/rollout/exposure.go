package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minTakeProbability is the probability with which a request of a common route
	// takes the exposure that is there. The rest is left for rare routes, whose
	// evidence would otherwise be too small.
	minTakeProbability = 0.3
	// maxSavedExposure is the number of requests for which exposure is saved for rare
	// routes.
	maxSavedExposure = 3
	// maxRoutes bounds the routes that are counted apart.
	maxRoutes = 32
)

// Exposure is the right of an entry daemon to send requests to a new version in the
// trial: a share of the requests that it has brought to the service since it knows of
// the rollout. It is not safe for concurrent use.
type Exposure struct {
	share   float64
	request Request
	// left is the exposure for so many requests.
	left float64
	// routes counts the answers by route, total all of them.
	routes map[string]float64
	total  float64
}

// NewExposure returns an exposure of no requests. Share is the share of the requests
// that may go to the new version of the rollout request.
func NewExposure(share float64, request Request) *Exposure {
	return &Exposure{share: share, request: request, routes: map[string]float64{}}
}

// IsFor reports whether the exposure is that for the rollout request.
func (e *Exposure) IsFor(request Request) bool { return e.request.Same(request) }

// Answered counts an answer of an upstream of the service, of either version.
func (e *Exposure) Answered(route string) {
	e.left += e.share
	if _, known := e.routes[route]; known || len(e.routes) < maxRoutes {
		e.routes[route]++
		e.total++
	}
}

// Take takes exposure for a request of the route, if there is some and the draw, a
// random number in [0,1), does not leave it to a rarer route.
func (e *Exposure) Take(route string, draw float64) bool {
	if draw >= e.Chance(route) {
		return false
	}
	e.left--
	return true
}

// Chance returns the probability with which Take takes exposure for a request of the
// route.
func (e *Exposure) Chance(route string) float64 {
	switch {
	case e.left < 1:
		return 0
	case e.left >= maxSavedExposure:
		return 1
	default:
		return e.probability(route)
	}
}

// probability is 1 for routes with at most the mean share of the answers and falls to
// minTakeProbability with their share.
func (e *Exposure) probability(route string) float64 {
	count := e.routes[route]
	if count == 0 {
		return 1
	}
	mean := e.total / float64(len(e.routes))
	return min(max(mean/count, minTakeProbability), 1)
}

// Return gives back the exposure of a request that has not reached an upstream.
func (e *Exposure) Return() { e.left++ }

// Participant is an upstream of the new version that may take part in the trial.
type Participant struct {
	Instance string
	// Load is the number of requests that run or wait there.
	Load  float64
	Slots int
}

const (
	// minParticipants is the smallest number of upstreams on which the trial is
	// concentrated. Upstreams of one version differ in speed by up to 3 times, which
	// averages out over four.
	minParticipants = 4
	// busyShare is the share of the participants' slots in use from which one more
	// takes part.
	busyShare = 0.85
)

// Participants returns the instances that take part in the trial, to which a share of
// the requests goes: the first in an order that all daemons share, so many that each
// gets at least as many requests as an upstream of the old version, and more while
// these are busy.
func Participants(upstreams []Participant, share float64) map[string]bool {
	least := max(minParticipants, int(share/(1-share)*float64(len(upstreams))))
	slices.SortFunc(upstreams, func(a, b Participant) int { return cmp.Compare(Rank(a.Instance), Rank(b.Instance)) })
	chosen := map[string]bool{}
	load, slots := 0.0, 0.0
	for _, u := range upstreams {
		if len(chosen) >= least && load < busyShare*slots {
			break
		}
		chosen[u.Instance] = true
		load += u.Load
		slots += float64(u.Slots)
	}
	return chosen
}

// InStep returns the instances that get requests in a step in which a share of the
// requests goes to the new version: that share of the instances, so that each is loaded
// as it will be in phase full.
func InStep(instances []string, share float64) map[string]bool {
	slices.SortFunc(instances, func(a, b string) int { return cmp.Compare(Rank(a), Rank(b)) })
	chosen := map[string]bool{}
	for _, instance := range instances[:int(math.Ceil(share*float64(len(instances))))] {
		chosen[instance] = true
	}
	return chosen
}

// Rank orders the daemons; all of them compute the same order.
func Rank(instance string) uint64 { return xxhash.Sum64String("rollout\x00" + instance) }
