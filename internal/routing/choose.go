// Package routing chooses the upstream for a request among those of the local
// and of other data centres, and limits retries. It does no I/O, reads no clock
// and generates no random numbers of its own.
//
// Local means in the deciding daemon's data centre, remote in another one. A
// spillover request is sent to a remote upstream although local ones accept
// requests.
package routing

import "time"

// Candidate is an upstream as the deciding daemon knows it. Unless stated
// otherwise, values come from the last report of the daemon beside it.
type Candidate struct {
	// Instance is the daemon beside the upstream.
	Instance string
	// Self marks the deciding daemon's own upstream.
	Self bool
	// Near marks local upstreams.
	Near bool
	// Takes reports whether the upstream is reachable and accepts requests.
	Takes bool
	// Load is the number of requests that run or wait there: exact for Self,
	// else as computed by Estimate from Own, Others and Age.
	Load float64
	// Own is the number of the deciding daemon's requests outstanding there.
	// Others is the rest of the load at the time of the last report, which was
	// received Age ago.
	Own    float64
	Others float64
	Age    time.Duration
	Slots  int
	// Hold is the mean service time: the time for which a request holds a slot.
	Hold time.Duration
	// Line is the reported network round-trip time (RTT) to the instance.
	Line time.Duration
	// Silent is the time for which the daemon has left a ping unanswered, less
	// the time since the last frame of any daemon; 0 if no ping is pending.
	Silent time.Duration
}

// Ask is a placement request: the parameters of one choice besides the
// candidates.
type Ask struct {
	// Bytes is the expected size of the request and its answer together.
	Bytes int
	// Tried lists instances that have refused the request or failed to run it.
	Tried []string
	// Draw returns a random number in [0,1).
	Draw func() float64
}

const (
	// remoteRTT is the network round-trip time to another data centre.
	remoteRTT = 10 * time.Millisecond
	// remoteCostPerKilobyte is the waiting time that is preferred to sending a
	// kilobyte to another data centre.
	remoteCostPerKilobyte = 20 * time.Millisecond
	// overheadBytes is the size of the frames and headers of a request and its
	// answer, without their bodies.
	overheadBytes = 700
	// localOnlyBytes is the size from which a request leaves the data centre
	// only when no upstream there is available.
	localOnlyBytes = LargeBytes
	// spilloverLoadShare is the load of a remote upstream, as a share of its
	// slots, from which it gets no spillover requests.
	spilloverLoadShare = 0.8
	// explorationShare is the share of requests that go to a random local
	// upstream with a free slot. It keeps the reports of all of them recent and
	// shows when a new upstream is fast.
	explorationShare = 0.04
	// jitter is the largest random addition to a candidate's cost, as a share
	// of its service time, so that daemons with the same reports choose
	// differently.
	jitter = 0.3
	// fullPenalty is the added cost of an upstream with all slots taken, in
	// service times. Other daemons have placed requests there that are not
	// reported yet; without the penalty all would fill the fastest upstream
	// first.
	fullPenalty = 2
	// silentWeight is the weight of Silent in the cost. It is above 1 because
	// the wait for a daemon that is cut off has only begun.
	silentWeight = 4
	// largeJitter replaces jitter for large requests. Their cost depends on the
	// network links of machines, which are alike, and not on which upstream
	// computes fastest.
	largeJitter = 300 * time.Millisecond
	// kilobyte is the unit of remoteCostPerKilobyte, in bytes.
	kilobyte = 1024
)

// LargeBytes is the size in bytes, of a request and its answer together, from
// which a transfer occupies a network link long enough to delay others.
const LargeBytes = 32 << 10

// Choose returns the index of the candidate with the lowest cost, or -1 if no
// candidate may be chosen.
func Choose(candidates []Candidate, request Ask) int {
	hasLocal := HasNear(candidates)
	if request.Draw() < explorationShare {
		if i := request.randomFree(candidates); i >= 0 {
			return i
		}
	}
	local := request.best(candidates, func(c *Candidate) bool { return c.Near })
	remote := request.best(candidates, func(c *Candidate) bool {
		return !c.Near && (!hasLocal || c.allowsSpillover(request.Bytes))
	})
	if local < 0 || remote < 0 {
		return max(local, remote)
	}
	if candidates[remote].cost(request.Bytes) < candidates[local].cost(request.Bytes) {
		return remote
	}
	return local
}

// best returns the index of the best available candidate that is eligible and
// was not tried, or -1.
func (a *Ask) best(candidates []Candidate, eligible func(*Candidate) bool) int {
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || !c.Takes || a.tried(c.Instance) {
			continue
		}
		cost := c.cost(a.Bytes) + c.loadPenalty() + time.Duration(a.Draw()*float64(a.jitter(c)))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// HasNear reports whether a local upstream accepts requests.
func HasNear(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Near && candidates[i].Takes {
			return true
		}
	}
	return false
}

// randomFree returns the index of a random local candidate with a free slot, or
// -1. Candidates that were tried or leave a ping unanswered are left out.
func (a *Ask) randomFree(candidates []Candidate) int {
	chosen, seen := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.Near || !c.Takes || c.Wait() > 0 || c.Silent > 0 || a.tried(c.Instance) {
			continue
		}
		seen++
		if a.Draw() < 1/seen {
			chosen = i
		}
	}
	return chosen
}

// allowsSpillover reports whether the remote candidate may get a spillover
// request of the given size: only when it most likely has a free slot, and
// never a large request.
func (c *Candidate) allowsSpillover(bytes int) bool {
	return bytes < localOnlyBytes && c.Load < spilloverLoadShare*float64(c.Slots)
}

// cost returns the expected time until the answer, plus the cost of data sent
// to another data centre expressed as time.
func (c *Candidate) cost(bytes int) time.Duration {
	rtt := time.Duration(c.freshness() * float64(c.Line))
	cost := c.Wait() + c.Hold + rtt + silentWeight*c.Silent
	if !c.Near {
		cost += remoteRTT + remoteCostPerKilobyte*time.Duration(bytes+overheadBytes)/kilobyte
	}
	return cost
}

// Wait returns the expected time until the request gets a slot.
func (c *Candidate) Wait() time.Duration {
	excess := c.Load + 1 - float64(c.Slots)
	if excess <= 0 || c.Slots == 0 {
		return 0
	}
	return time.Duration(excess * float64(c.Hold) / float64(c.Slots))
}

// loadPenalty returns the cost of the load before requests have to wait; see
// fullPenalty. It counts among local or among remote candidates, not between the
// two: load below capacity must not move requests to another data centre.
func (c *Candidate) loadPenalty() time.Duration {
	if c.Slots == 0 {
		return 0
	}
	share := c.Load / float64(c.Slots)
	return time.Duration(fullPenalty * share * share * float64(c.Hold))
}

// jitter returns the largest random addition to a candidate's cost.
func (a *Ask) jitter(c *Candidate) time.Duration {
	if a.Bytes >= localOnlyBytes {
		return largeJitter
	}
	return time.Duration(jitter * float64(c.Hold))
}

func (a *Ask) tried(instance string) bool {
	for _, tried := range a.Tried {
		if tried == instance {
			return true
		}
	}
	return false
}
