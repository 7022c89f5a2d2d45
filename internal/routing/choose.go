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
	// remoteRTT is added to the cost of remote candidates for the network round
	// trip to another data centre.
	remoteRTT = 10 * time.Millisecond
	// remoteCostPerKilobyte is how much longer a request may wait locally for
	// each kilobyte that it would send to and receive from another data centre.
	remoteCostPerKilobyte = 20 * time.Millisecond
	// overheadBytes is the size of the frames and headers of a request and its
	// answer, without their bodies.
	overheadBytes = 700
	// localOnlyBytes is the size in bytes from which a request is sent to
	// another data centre only when no local upstream is available.
	localOnlyBytes = LargeRequestBytes
	// explorationShare is the share of requests that go to a random local
	// upstream with a free slot. It keeps the reports of all of them recent and
	// shows when a new upstream is fast.
	explorationShare = 0.04
	// jitter is the largest random addition to a candidate's cost, as a share
	// of the mean service time of the candidates, so that daemons with the same
	// reports choose differently.
	jitter = 0.3
	// fullPenalty is the added cost of an upstream with all slots taken, in mean
	// service times of the candidates. It grows with the square of the load. Other
	// daemons have placed requests there that are not reported yet; without the
	// penalty all daemons would fill the fastest upstream first. It is the same for
	// fast and slow upstreams: as a multiple of the upstream's own service time it
	// would weigh least where the load is highest. With 6, the slowest upstream gets
	// requests while the fastest one, three times as fast, has free slots; with 2, only
	// once that is full (docs/design/load.md).
	fullPenalty = 6
	// pendingPingWeight is the weight of PendingPingAge in the cost. It is
	// above 1 because the wait for a daemon that is cut off has only begun.
	pendingPingWeight = 4
	// goalMargin is the factor by which the expected time until the answer of a
	// local upstream may grow without missing the goal. Service times vary.
	goalMargin = 1.5
	// failurePenalty is the added cost of an upstream that fails all its requests
	// while the others fail none, in service times. An upstream that fails requests at
	// once is idle, so the cost of a sixth of failures beyond the tolerable share must
	// exceed fullPenalty times the load of the others.
	failurePenalty = 30
	// tolerableFailureShare is by how much the share of failed requests may exceed
	// the mean before it counts. If all upstreams fail requests alike, the
	// differences are chance, and would only concentrate the load.
	tolerableFailureShare = 0.15
	// largeJitter replaces jitter for large requests. Their cost depends on the
	// network links of machines, which are alike, and not on which upstream
	// computes fastest.
	largeJitter = 300 * time.Millisecond
	// kilobyte is the unit of remoteCostPerKilobyte, in bytes.
	kilobyte = 1024
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
	hasLocal := HasLocal(candidates)
	request.meanFailureShare = meanFailureShare(candidates)
	if request.Rand() < explorationShare {
		if i := request.randomFree(candidates); i >= 0 {
			return i
		}
	}
	local := request.best(candidates, func(c *Candidate) bool { return c.Local })
	cheapest := request.cheapestLocal(candidates, local)
	if local >= 0 && request.meetsGoal(&candidates[cheapest]) {
		return local
	}
	remote := request.best(candidates, func(c *Candidate) bool {
		return !c.Local && (!hasLocal || c.allowsSpillover(request.Bytes, local < 0))
	})
	if local < 0 || remote < 0 {
		return max(local, remote)
	}
	if request.cost(&candidates[remote]) < request.cost(&candidates[cheapest]) {
		return remote
	}
	return local
}

// cheapestLocal returns the index of the local candidate with the lowest cost, without
// its load penalty, among the one at index chosen and those with a free slot. It is what
// a remote candidate is compared with: that a slower one was chosen to even out the load
// is no reason to leave the data centre.
func (r *PlacementRequest) cheapestLocal(candidates []Candidate, chosen int) int {
	cheapest := chosen
	for i := range candidates {
		c := &candidates[i]
		if chosen >= 0 && c.Local && r.mayTake(c) && c.ExpectedWait() == 0 && r.cost(c) < r.cost(&candidates[cheapest]) {
			cheapest = i
		}
	}
	return cheapest
}

// best returns the index of the candidate with the lowest cost, penalty and
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
		cost := r.cost(c) + c.loadPenalty(mean) + r.latePenalty(c, mean) + time.Duration(r.Rand()*float64(r.jitter(mean)))
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

// allowsSpillover reports whether the remote candidate may get a spillover
// request of the given size: only when it most likely has a free slot, and
// never a large request. If no local candidate is left, the request would be refused
// otherwise; so as a last resort, a load that is known from an old report only counts
// less.
func (c *Candidate) allowsSpillover(bytes int, lastResort bool) bool {
	load := c.Load
	if lastResort {
		load *= c.delayFreshness()
	}
	return bytes < localOnlyBytes && load < float64(c.Slots)
}

// meetsGoal reports whether the candidate is expected to answer within the goal,
// also when the answer takes goalMargin times as long as expected.
func (r *PlacementRequest) meetsGoal(c *Candidate) bool {
	return r.excessFailures(c) == 0 && goalMargin*float64(r.answerTime(c)) <= float64(r.Goal)
}

// cost returns the expected time until the answer, plus the costs of a failure and
// of data sent to another data centre, both expressed as time.
func (r *PlacementRequest) cost(c *Candidate) time.Duration {
	cost := r.answerTime(c) + time.Duration(failurePenalty*r.excessFailures(c)*float64(c.ServiceTime))
	if !c.Local {
		cost += remoteRTT + remoteCostPerKilobyte*time.Duration(r.Bytes+overheadBytes)/kilobyte
	}
	return cost
}

// excessFailures returns by how much the candidate's share of failed requests
// exceeds what is tolerable, or 0.
func (r *PlacementRequest) excessFailures(c *Candidate) float64 {
	return max(c.FailureShare-r.meanFailureShare-tolerableFailureShare, 0)
}

// meanFailureShare returns the mean share of failed requests of the available
// candidates, or 0 if there are none.
func meanFailureShare(candidates []Candidate) float64 {
	sum, count := 0.0, 0.0
	for i := range candidates {
		if candidates[i].Available {
			sum += candidates[i].FailureShare
			count++
		}
	}
	return sum / max(count, 1)
}

// answerTime returns the expected time until the answer. The older the report, the
// less its network delays count.
func (r *PlacementRequest) answerTime(c *Candidate) time.Duration {
	delay := c.RTT
	if r.Bytes >= LargeRequestBytes {
		delay += c.LinkBacklog
	}
	delay = time.Duration(c.delayFreshness() * float64(delay))
	return c.ExpectedWait() + r.serviceTime(c) + r.transferTime(c) + delay + pendingPingWeight*c.PendingPingAge
}

// transferTime returns how long the network link of the candidate needs for the request, if
// that is large and comes from another instance.
func (r *PlacementRequest) transferTime(c *Candidate) time.Duration {
	if c.Self || c.LinkKbps <= 0 || r.Bytes < LargeRequestBytes {
		return 0
	}
	const bitsPerByte = 8
	// Bits by kilobits per second are milliseconds.
	return time.Duration(r.Bytes*bitsPerByte/c.LinkKbps) * time.Millisecond
}

// serviceTime returns the expected service time of the request at the candidate.
func (r *PlacementRequest) serviceTime(c *Candidate) time.Duration {
	if r.Work <= 0 {
		return c.ServiceTime
	}
	return time.Duration(r.Work * float64(c.ServiceTime))
}

// ExpectedWait returns the expected time until the request gets a slot.
func (c *Candidate) ExpectedWait() time.Duration {
	excess := c.Load + 1 - float64(c.Slots)
	if excess <= 0 || c.Slots == 0 {
		return 0
	}
	return time.Duration(excess * float64(c.ServiceTime) / float64(c.Slots))
}

// loadPenalty returns the cost of the load, without this request, besides the wait that
// it causes; see fullPenalty. If this request counted, an idle upstream that advertises a
// single slot, in its slow start or under a named limit, would get none before the others
// are full. Mean is the mean service time of the candidates. The penalty is used to
// compare local candidates with each other, or remote ones, but not a local one with a
// remote one: load below capacity must not move requests to another data centre.
func (c *Candidate) loadPenalty(mean time.Duration) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	share := c.Load / float64(c.Slots)
	return time.Duration(fullPenalty * share * share * float64(mean))
}

// latePenalty returns the added cost of a candidate that is expected to answer after the
// goal: that of one with all slots taken, so that evening out the load makes no request
// late while another candidate with a free slot would answer in time.
func (r *PlacementRequest) latePenalty(c *Candidate, mean time.Duration) time.Duration {
	if r.Goal <= 0 || r.answerTime(c) <= r.Goal {
		return 0
	}
	return fullPenalty * mean
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
