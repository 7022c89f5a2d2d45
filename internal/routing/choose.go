// Package routing chooses the upstream for a request among those of the local
// and of other data centres, and limits retries. It does no I/O, reads no clock
// and generates no random numbers of its own.
//
// Local means in the data centre of the deciding daemon, remote means in another
// one. A spillover request is one that is sent to a remote upstream although
// local ones accept requests.
package routing

import "time"

// Candidate is an upstream that the deciding daemon may send a request to.
// Unless stated otherwise, load figures and durations come from the last report
// of the daemon beside the upstream.
type Candidate struct {
	// Instance is the daemon beside the upstream.
	Instance string
	// Self marks the deciding daemon's own upstream.
	Self bool
	// Local marks local upstreams.
	Local bool
	// Available reports whether the upstream is reachable, accepts requests and
	// is not in a backoff after a failed request.
	Available bool
	// Unavailable says why Available is not set, where that is known.
	Unavailable Unavailability
	// Version is that of the upstream's program; empty if unknown.
	Version string
	// Load is the number of requests that run or wait there: exact for Self,
	// else as computed by EstimateLoads from Outstanding, OtherLoad and
	// ReportAge.
	Load float64
	// Outstanding is the number of the deciding daemon's requests there that
	// have no answer yet, counted by the deciding daemon. OtherLoad is the rest
	// of the load at the time of the last report, which was received ReportAge
	// ago.
	Outstanding float64
	OtherLoad   float64
	ReportAge   time.Duration
	// Slots is the number of requests that the upstream runs at a time, or the
	// part of it that is advertised during a slow start.
	Slots int
	// RateLimited is set while the upstream takes a limited number of requests a
	// second, so that it cannot handle its data centre's load.
	RateLimited bool
	// ServiceTime is the mean service time: the time for which a request holds
	// a slot.
	ServiceTime time.Duration
	// FailureShare is the share of its recent requests that the upstream has failed.
	FailureShare float64
	// RTT is the network round-trip time to the instance, as its peers have
	// measured it recently.
	RTT time.Duration
	// LinkBacklog is how long the network link of the instance needs for the large
	// answers that wait for it. A large answer waits behind them.
	LinkBacklog time.Duration
	// LinkKbps is the rate of the network link of the instance in kilobits per second; 0
	// means unknown.
	LinkKbps int
	// PendingPingAge is how long ago the deciding daemon sent a ping that the
	// instance has not answered, less the time since it received a frame from
	// any daemon: while nothing arrives at all, its own network link may be at
	// fault. It is 0 if no ping is pending.
	PendingPingAge time.Duration
}

// PlacementRequest holds the parameters of one choice besides the candidates.
type PlacementRequest struct {
	// Bytes is the expected size of the request and its answer together.
	Bytes int
	// Work is the expected service time of the request as a share of the mean
	// service time of all requests at the same upstream; 0 means unknown and counts
	// as 1.
	Work float64
	// Goal is the time left to the request's latency goal.
	Goal time.Duration
	// Tried lists instances that have refused the request or failed to run it.
	Tried []string
	// Rand returns a random number in [0,1).
	Rand func() float64
	// meanFailureShare is the mean FailureShare of the available candidates.
	meanFailureShare float64
}

const (
	// localOnlyBytes is the size in bytes from which a request is sent to
	// another data centre only when no local upstream is available.
	localOnlyBytes = LargeRequestBytes
	// ExplorationShare is the share of requests that go to a random local
	// upstream with a free slot. It keeps the reports of all of them recent and
	// shows when a new upstream is fast.
	ExplorationShare = 0.04
	// jitter is the largest random addition to a candidate's cost, as a share
	// of the mean service time of the candidates, so that daemons with the same
	// reports choose differently.
	jitter = 0.3
	// largeJitter replaces jitter for large requests. Their cost depends on the
	// network links of machines, which are alike, and not on which upstream
	// computes fastest.
	largeJitter = 300 * time.Millisecond
)

// LargeRequestBytes is the size in bytes, of a request and its answer together,
// from which a transfer occupies a network link long enough to delay others.
const LargeRequestBytes = 32 << 10

// Choose returns the index of the local candidate with the lowest cost if that one, or
// one with a free slot, is expected to answer within the goal, else of the candidate with
// the lowest cost, remote ones included. For a small share of the requests it returns that
// of a random local candidate with a free slot. It returns -1 if no candidate may be
// chosen.
func Choose(candidates []Candidate, request PlacementRequest) int {
	request.meanFailureShare = meanFailureShare(candidates)
	if request.Rand() < ExplorationShare {
		if i := request.randomFree(candidates); i >= 0 {
			return i
		}
	}
	chosen, _ := request.choose(candidates)
	return chosen
}

// choose is Choose without the random candidates. It also returns what decided.
func (r *PlacementRequest) choose(candidates []Candidate) (int, ChoiceReason) {
	hasLocal := HasLocal(candidates)
	local := r.best(candidates, isLocal)
	cheapest, lowest := r.cheapestLocal(candidates, local)
	if local >= 0 && r.meetsGoal(&candidates[cheapest], &lowest) {
		return local, KeepsGoal
	}
	remote := r.best(candidates, func(c *Candidate) bool {
		return !c.Local && r.allowsRemote(c, hasLocal, local < 0)
	})
	switch {
	case local < 0 && remote < 0:
		return -1, NoCandidate
	case local < 0:
		return remote, OnlyRemote
	case remote < 0:
		return local, OnlyLocal
	}
	if cost := r.cost(&candidates[remote], 0); cost.withoutPenalties() < lowest.withoutPenalties() {
		return remote, RemoteCheaper
	}
	return local, LocalCheaper
}

func isLocal(c *Candidate) bool { return c.Local }

// cheapestLocal returns the index of the local candidate with the lowest cost, without
// its load penalty, among the one at index chosen and those with a free slot, and that
// cost. It is what a remote candidate is compared with: that a slower one was chosen to
// even out the load is no reason to leave the data centre.
func (r *PlacementRequest) cheapestLocal(candidates []Candidate, chosen int) (int, Cost) {
	if chosen < 0 {
		return -1, Cost{}
	}
	cheapest, lowest := chosen, r.cost(&candidates[chosen], 0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Local || !r.mayTake(c) || c.ExpectedWait() > 0 {
			continue
		}
		if cost := r.cost(c, 0); cost.withoutPenalties() < lowest.withoutPenalties() {
			cheapest, lowest = i, cost
		}
	}
	return cheapest, lowest
}

// best returns the index of the candidate with the lowest cost, penalties and
// random addition included, among those that are available, eligible and not
// tried yet, or -1.
func (r *PlacementRequest) best(candidates []Candidate, eligible func(*Candidate) bool) int {
	mean := r.meanServiceTime(candidates, eligible)
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || !r.mayTake(c) {
			continue
		}
		parts := r.cost(c, mean)
		cost := parts.Total() + time.Duration(r.Rand()*float64(r.jitter(mean)))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// mayTake reports whether the candidate is available and not tried yet.
func (r *PlacementRequest) mayTake(c *Candidate) bool {
	return c.Available && !r.tried(c.Instance)
}

// meanServiceTime returns the mean service time of the requests at the eligible
// candidates when all their slots are taken, or 0 if there are none.
func (r *PlacementRequest) meanServiceTime(candidates []Candidate, eligible func(*Candidate) bool) time.Duration {
	slots, perSecond := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if eligible(c) && r.mayTake(c) && c.ServiceTime > 0 {
			slots += float64(c.Slots)
			perSecond += float64(c.Slots) / c.ServiceTime.Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(slots / perSecond * float64(time.Second))
}

// HasLocal reports whether a local upstream accepts requests without a limit of their
// rate. Otherwise requests to other data centres are no spillover.
func HasLocal(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Local && candidates[i].Available && !candidates[i].RateLimited {
			return true
		}
	}
	return false
}

// randomFree returns the index of a random local candidate with a free slot, or
// -1. Candidates that were tried or leave a ping unanswered are left out.
func (r *PlacementRequest) randomFree(candidates []Candidate) int {
	chosen, seen := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.Local || !c.Available || c.ExpectedWait() > 0 || c.PendingPingAge > 0 || r.tried(c.Instance) {
			continue
		}
		seen++
		if r.Rand() < 1/seen {
			chosen = i
		}
	}
	return chosen
}

// allowsRemote reports whether the remote candidate may get the request, given whether
// there are local upstreams and whether none of them is left.
func (r *PlacementRequest) allowsRemote(c *Candidate, hasLocal, lastResort bool) bool {
	return !hasLocal || c.spilloverExclusion(r.Bytes, lastResort) == NotExcluded
}

// spilloverExclusion returns why the remote candidate may not get a spillover request of
// the given size, or NotExcluded. It gets one only when it most likely has a free slot, and
// never a large one. LastResort says that no local candidate is left, so that the request
// would otherwise be refused: then the load counts less, the older its report is.
func (c *Candidate) spilloverExclusion(bytes int, lastResort bool) Exclusion {
	if bytes >= localOnlyBytes {
		return ExcludedLarge
	}
	load := c.Load
	if lastResort {
		load *= c.delayFreshness()
	}
	if load >= float64(c.Slots) {
		return ExcludedFull
	}
	return NotExcluded
}

// jitter returns the largest random addition to a candidate's cost, given the mean
// service time of the candidates.
func (r *PlacementRequest) jitter(mean time.Duration) time.Duration {
	if r.Bytes >= localOnlyBytes {
		return largeJitter
	}
	return time.Duration(jitter * float64(mean))
}

func (r *PlacementRequest) tried(instance string) bool {
	for _, tried := range r.Tried {
		if tried == instance {
			return true
		}
	}
	return false
}
