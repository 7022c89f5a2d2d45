// Package routing decides where a request goes: which upstream, in which data
// centre, and whether it may be sent once more. Its decisions do no I/O, read
// no clock and draw no random numbers of their own.
package routing

import "time"

// Candidate is an upstream as the deciding daemon knows it.
type Candidate struct {
	// Instance is the daemon beside the upstream.
	Instance string
	// Self is set for the deciding daemon's own upstream.
	Self bool
	// Near is set for upstreams in the own data centre.
	Near bool
	// Takes tells that the upstream can be reached and takes requests.
	Takes bool
	// Load is the number of requests that run or wait there: as it is known, or
	// as Estimate has worked it out from Own, Others and Age.
	Load float64
	// Own are the deciding daemon's requests there, and Others the rest of the
	// load when the daemon there told of it, Age ago.
	Own    float64
	Others float64
	Age    time.Duration
	Slots  int
	// Hold is the mean time for which a request holds a slot.
	Hold time.Duration
	// Line is what the way there and back took, as told Age ago.
	Line time.Duration
	// Silent is how long a sign of the daemon has been waited for in vain.
	Silent time.Duration
}

// Ask is what one choice depends on besides the candidates.
type Ask struct {
	// Bytes is the expected size of request and answer together.
	Bytes int
	// Tried are instances that have refused the request or failed it.
	Tried []string
	// Draw returns a fresh random number in [0,1).
	Draw func() float64
}

const (
	// farDelay is the round trip to another data centre.
	farDelay = 10 * time.Millisecond
	// farPerKilobyte is the wait that is preferred to sending a kilobyte to
	// another data centre.
	farPerKilobyte = 20 * time.Millisecond
	// hopBytes is what the frames and headers of a request and its answer take
	// besides their bodies.
	hopBytes = 700
	// farLimit is the size in bytes from which a request leaves the data
	// centre only when no upstream there can be reached.
	farLimit = LargeBytes
	// roomyShare is the share of its slots up to which an upstream of another
	// data centre is asked while the own one has upstreams.
	roomyShare = 0.8
	// explore is the share of requests that go to any near upstream with a
	// free slot, so that news of all of them stay fresh and a new one is
	// found to be fast.
	explore = 0.04
	// spread is the largest random addition to a candidate's cost, as a share
	// of its hold time, so that daemons with the same news choose differently.
	spread = 0.3
	// crowding is what a full upstream costs more than an idle one, in hold
	// times: other daemons place requests there that have not been told of, and
	// all would fill the fastest one first.
	crowding = 2
	// silentWeight is how many times the silence of a daemon counts: when it
	// is cut off, the wait has only begun.
	silentWeight = 4
	// largeSpread takes the place of spread for large requests: what counts for
	// them are the lines of machines, which are alike, and not which upstream
	// computes fastest.
	largeSpread = 300 * time.Millisecond
	// kilobyte is the unit of farPerKilobyte.
	kilobyte = 1024
)

// LargeBytes is the size from which a request with its answer fills a line for
// long enough to hold up others.
const LargeBytes = 32 << 10

// Choose returns the index of the candidate with the least cost, or -1 when
// there is none left that takes requests.
func Choose(candidates []Candidate, ask Ask) int {
	near := HasNear(candidates)
	if ask.Draw() < explore {
		if i := ask.anyFree(candidates); i >= 0 {
			return i
		}
	}
	inside := ask.best(candidates, func(c *Candidate) bool { return c.Near })
	outside := ask.best(candidates, func(c *Candidate) bool {
		return !c.Near && (!near || c.worthTheWay(ask.Bytes))
	})
	if inside < 0 || outside < 0 {
		return max(inside, outside)
	}
	if candidates[outside].cost(ask.Bytes) < candidates[inside].cost(ask.Bytes) {
		return outside
	}
	return inside
}

// best returns the index of the best of the candidates that may be chosen, or
// -1.
func (a *Ask) best(candidates []Candidate, may func(*Candidate) bool) int {
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if !may(c) || !c.Takes || a.tried(c.Instance) {
			continue
		}
		cost := c.cost(a.Bytes) + c.crowded() + time.Duration(a.Draw()*float64(a.spread(c)))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// HasNear tells whether an upstream of the own data centre takes requests.
func HasNear(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Near && candidates[i].Takes {
			return true
		}
	}
	return false
}

// anyFree returns the index of a near candidate with a free slot, drawn at
// random, or -1.
func (a *Ask) anyFree(candidates []Candidate) int {
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

// worthTheWay tells whether a request of a size is sent to another data centre
// while the own one has upstreams: only when a free slot is most likely there,
// and never a large one.
func (c *Candidate) worthTheWay(bytes int) bool {
	return bytes < farLimit && c.Load < roomyShare*float64(c.Slots)
}

// cost is the time until the answer, and what the way costs put as time.
func (c *Candidate) cost(bytes int) time.Duration {
	line := time.Duration(c.freshness() * float64(c.Line))
	cost := c.Wait() + c.Hold + line + silentWeight*c.Silent
	if !c.Near {
		cost += farDelay + farPerKilobyte*time.Duration(bytes+hopBytes)/kilobyte
	}
	return cost
}

// Wait is how long a request is expected to wait for a slot.
func (c *Candidate) Wait() time.Duration {
	excess := c.Load + 1 - float64(c.Slots)
	if excess <= 0 || c.Slots == 0 {
		return 0
	}
	return time.Duration(excess * float64(c.Hold) / float64(c.Slots))
}

// crowded is what the load costs before there is a wait. It counts between the
// upstreams of one place only: while there is room nothing leaves it.
func (c *Candidate) crowded() time.Duration {
	if c.Slots == 0 {
		return 0
	}
	share := c.Load / float64(c.Slots)
	return time.Duration(crowding * share * share * float64(c.Hold))
}

// spread is the largest random addition to a candidate's cost.
func (a *Ask) spread(c *Candidate) time.Duration {
	if a.Bytes >= farLimit {
		return largeSpread
	}
	return time.Duration(spread * float64(c.Hold))
}

func (a *Ask) tried(instance string) bool {
	for _, tried := range a.Tried {
		if tried == instance {
			return true
		}
	}
	return false
}
