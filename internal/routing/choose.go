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
	// Load is the number of requests that run or wait there.
	Load  float64
	Slots int
	// Hold is the mean time for which a request holds a slot.
	Hold time.Duration
}

// Ask is what one choice depends on besides the candidates.
type Ask struct {
	// Bytes is the expected size of request and answer together.
	Bytes int
	// Left is the time until the goal.
	Left time.Duration
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
	// spread is the largest random addition to a candidate's cost, as a share
	// of its hold time, so that daemons with the same news choose differently.
	spread = 0.3
	// kilobyte is the unit of farPerKilobyte.
	kilobyte = 1024
)

// Choose returns the index of the candidate with the least cost, or -1 when
// there is none left that takes requests.
func Choose(candidates []Candidate, ask Ask) int {
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Takes || ask.tried(c.Instance) {
			continue
		}
		cost := c.cost(ask.Bytes) + time.Duration(ask.Draw()*spread*float64(c.Hold))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost is the time until the answer, and what the way costs put as time.
func (c *Candidate) cost(bytes int) time.Duration {
	cost := c.Wait() + c.Hold
	if !c.Near {
		cost += farDelay + farPerKilobyte*time.Duration(bytes)/kilobyte
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

func (a *Ask) tried(instance string) bool {
	for _, tried := range a.Tried {
		if tried == instance {
			return true
		}
	}
	return false
}
