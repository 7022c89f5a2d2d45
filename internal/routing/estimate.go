package routing

import (
	"math"
	"time"
)

const (
	// nearFade is the age at which what a near daemon said counts for little.
	nearFade = time.Second
	// farFade is the same for daemons of other data centres. It is shorter, for
	// asking one of them once too often costs a refusal and not a wait.
	farFade = 400 * time.Millisecond
)

// Estimate works out the load of each candidate from what was told of it. In
// place of old news stands the mean of what is known of the near upstreams:
// taking a silent one for idle would send it the requests of all daemons that
// have not heard of it lately. Far ones are taken for idle, since one without a
// free slot refuses a visitor at once.
func Estimate(candidates []Candidate) {
	usual := meanOthers(candidates)
	for i := range candidates {
		c := &candidates[i]
		if c.Self {
			continue
		}
		fresh := c.freshness()
		c.Load = c.Own + fresh*c.Others
		if c.Near {
			c.Load += (1 - fresh) * usual
		}
	}
}

// meanOthers is the mean load of others on the near upstreams; news count by
// their freshness.
func meanOthers(candidates []Candidate) float64 {
	sum, weight := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Self || !c.Near || !c.Takes {
			continue
		}
		fresh := c.freshness()
		sum += fresh * c.Others
		weight += fresh
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// freshness is the weight of what was told of the candidate, from 1 to 0.
func (c *Candidate) freshness() float64 {
	fade := farFade
	if c.Near {
		fade = nearFade
	}
	return math.Exp(-float64(c.Age) / float64(fade))
}
