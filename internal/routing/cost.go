package routing

import "time"

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
	// kilobyte is the unit of remoteCostPerKilobyte, in bytes.
	kilobyte = 1024
)

// Cost is what a request would cost at a candidate, by component, all expressed as time.
type Cost struct {
	// Wait is the expected time until the request gets a slot, and Service its
	// expected service time.
	Wait    time.Duration
	Service time.Duration
	// Network is the network delay to the instance; the older the report, the less
	// it counts.
	Network time.Duration
	// Transfer is how long the network link of the instance needs for a large request.
	Transfer time.Duration
	// Ping is the cost of a ping that the instance has not answered.
	Ping time.Duration
	// Failures is the cost of failures above what is tolerable.
	Failures time.Duration
	// Distance is the cost of sending the request to another data centre.
	Distance time.Duration
	// Load is the cost of the load besides the wait that it causes, and Late that of an
	// answer after the goal. They are used to compare local candidates with each other,
	// or remote ones, but not a local one with a remote one: load below capacity must
	// not move requests to another data centre.
	Load time.Duration
	Late time.Duration
}

// Answer returns the expected time until the answer.
func (c *Cost) Answer() time.Duration { return c.Wait + c.Service + c.Network + c.Transfer + c.Ping }

// withoutPenalties returns the cost by which local and remote candidates are compared.
func (c *Cost) withoutPenalties() time.Duration { return c.Answer() + c.Failures + c.Distance }

// Total returns the cost by which local candidates, or remote ones, are compared.
func (c *Cost) Total() time.Duration { return c.withoutPenalties() + c.Load + c.Late }

// cost returns the cost of the request at the candidate. Mean is the mean service time of
// the candidates that it is compared with; with 0, Load and Late are 0.
func (r *PlacementRequest) cost(c *Candidate, mean time.Duration) Cost {
	cost := Cost{
		Wait:     c.ExpectedWait(),
		Service:  r.serviceTime(c),
		Network:  r.networkDelay(c),
		Transfer: r.transferTime(c),
		Ping:     pendingPingWeight * c.PendingPingAge,
		Failures: time.Duration(failurePenalty * r.excessFailures(c) * float64(c.ServiceTime)),
		Load:     c.loadPenalty(mean),
	}
	if !c.Local {
		cost.Distance = remoteRTT + remoteCostPerKilobyte*time.Duration(r.Bytes+overheadBytes)/kilobyte
	}
	cost.Late = r.latePenalty(cost.Answer(), mean)
	return cost
}

// meetsGoal reports whether the candidate with the cost is expected to answer within the
// goal, also when the answer takes goalMargin times as long as expected.
func (r *PlacementRequest) meetsGoal(c *Candidate, cost *Cost) bool {
	return r.excessFailures(c) == 0 && goalMargin*float64(cost.Answer()) <= float64(r.Goal)
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

// networkDelay returns the expected network delay. A large answer also waits for the
// network link of the instance.
func (r *PlacementRequest) networkDelay(c *Candidate) time.Duration {
	delay := c.RTT
	if r.Bytes >= LargeRequestBytes {
		delay += c.LinkBacklog
	}
	return time.Duration(c.delayFreshness() * float64(delay))
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
// are full. Mean is the mean service time of the candidates.
func (c *Candidate) loadPenalty(mean time.Duration) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	share := c.Load / float64(c.Slots)
	return time.Duration(fullPenalty * share * share * float64(mean))
}

// latePenalty returns the added cost of an answer that is expected after the goal: that
// of a candidate with all slots taken, so that evening out the load makes no request late
// while another candidate with a free slot would answer in time.
func (r *PlacementRequest) latePenalty(answer, mean time.Duration) time.Duration {
	if r.Goal <= 0 || answer <= r.Goal {
		return 0
	}
	return fullPenalty * mean
}
