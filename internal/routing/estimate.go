package routing

import "time"

const (
	// localDecay is the time constant with which the weight of a local daemon's
	// last report decays.
	localDecay = time.Second
	// remoteDecay is the same for daemons of other data centres. It is shorter
	// because a needless request to one of them costs a refusal, not a wait.
	remoteDecay = 400 * time.Millisecond
)

// EstimateLoads sets the Load of each candidate except the deciding daemon's
// upstream from Outstanding, OtherLoad and ReportAge.
//
// As a report of a local candidate grows old, the mean reported load of the
// local candidates replaces it gradually. If a candidate without recent reports
// counted as idle instead, all daemons that have no recent report of it would
// send it their requests. Remote candidates do count as idle, because an
// upstream without a free slot refuses a spillover request immediately.
func EstimateLoads(candidates []Candidate) {
	meanLoad := meanOtherLoad(candidates)
	for i := range candidates {
		c := &candidates[i]
		if c.Self {
			continue
		}
		fresh := c.freshness()
		c.Load = c.Outstanding + fresh*c.OtherLoad
		if c.Local {
			c.Load += (1 - fresh) * meanLoad
		}
	}
}

// meanOtherLoad returns the mean of OtherLoad over the available local
// candidates other than the deciding daemon's upstream, weighted by the
// freshness of their reports, or 0 if there are none.
func meanOtherLoad(candidates []Candidate) float64 {
	sum, weight := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Self || !c.Local || !c.Available {
			continue
		}
		fresh := c.freshness()
		sum += fresh * c.OtherLoad
		weight += fresh
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// freshness returns the weight of the candidate's last report, which decays
// from 1 to 0 with its age.
func (c *Candidate) freshness() float64 {
	decay := remoteDecay
	if c.Local {
		decay = localDecay
	}
	return decayFactor(c.ReportAge, decay)
}
