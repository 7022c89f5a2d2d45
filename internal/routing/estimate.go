package routing

import "time"

const (
	// loadDecay is the time constant with which the weight of the load in a daemon's
	// last report decays. In the replays, the report is nearer to the present load than
	// the mean is up to an age of half a second, and a mixture with this constant is
	// nearest or close to it at all ages.
	loadDecay = time.Second
	// localDelayDecay is the time constant with which the weight of the network delays
	// in a local daemon's last report decays.
	localDelayDecay = time.Second
	// remoteDelayDecay is the same for daemons of other data centres.
	remoteDelayDecay = 400 * time.Millisecond
)

// EstimateLoads sets the Load of each candidate except the deciding daemon's
// upstream from Outstanding, OtherLoad and ReportAge.
//
// As the report of a candidate grows old, the mean load by slots of the local
// candidates, or of the remote ones, replaces it gradually. If a candidate without
// recent reports counted as idle instead, all daemons that have no recent report of it
// would send it their requests, and while a whole service is overloaded, spillover
// requests would be offered to one full upstream after the other.
func EstimateLoads(candidates []Candidate) {
	localShare := meanLoadShare(candidates, true)
	remoteShare := meanLoadShare(candidates, false)
	for i := range candidates {
		c := &candidates[i]
		if c.Self {
			continue
		}
		share := remoteShare
		if c.Local {
			share = localShare
		}
		fresh := c.loadFreshness()
		expected := max(share*float64(c.Slots)-c.Outstanding, 0)
		c.Load = c.Outstanding + fresh*c.OtherLoad + (1-fresh)*expected
	}
}

// meanLoadShare returns the load of the available local or remote candidates as a share
// of their slots, weighted by the freshness of their reports, or 0 if there are none.
func meanLoadShare(candidates []Candidate, local bool) float64 {
	load, slots := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Local != local || !c.Available {
			continue
		}
		if c.Self {
			load += c.Load
			slots += float64(c.Slots)
			continue
		}
		fresh := c.loadFreshness()
		load += fresh * (c.Outstanding + c.OtherLoad)
		slots += fresh * float64(c.Slots)
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

// loadFreshness returns the weight of the load in the candidate's last report, which
// decays from 1 to 0 with its age.
func (c *Candidate) loadFreshness() float64 { return decayFactor(c.ReportAge, loadDecay) }

// delayFreshness returns the weight of the network delays in the candidate's last
// report, which decays from 1 to 0 with its age.
func (c *Candidate) delayFreshness() float64 {
	if c.Local {
		return decayFactor(c.ReportAge, localDelayDecay)
	}
	return decayFactor(c.ReportAge, remoteDelayDecay)
}
