package routing

import (
	"slices"
	"time"
)

// Unavailability says why an upstream is not available.
type Unavailability uint8

// The reasons why an upstream is not available.
const (
	// IsAvailable: it is available, or the reason is not known.
	IsAvailable Unavailability = iota
	// Unreachable: its daemon, or the local upstream itself, can't be reached.
	Unreachable
	// Silent: its daemon, or the local upstream itself, is silent.
	Silent
	// Draining: it takes no new requests.
	Draining
	// Stopping: its daemon has begun a planned stop.
	Stopping
	// Stalled: requests to it timed out in succession.
	Stalled
	// NoSlots: it runs no requests.
	NoSlots
	// ClosedByRollout: a rollout gives no requests to its version.
	ClosedByRollout
	// TakesNoRequests: its daemon reports no reason.
	TakesNoRequests
	// BackedOff: the connection to its daemon has just failed a request.
	BackedOff
)

// String describes the reason.
func (u Unavailability) String() string {
	names := [...]string{
		"", "can't be reached", "silent", "draining", "its daemon is stopping", "stalled", "no slots",
		"closed by a rollout", "takes no requests", "backed off after a failed request",
	}
	if int(u) >= len(names) {
		return "invalid"
	}
	return names[u]
}

// Basis says what decided between local and remote candidates.
type Basis uint8

// The bases of a choice.
const (
	// NoneLeft: no candidate may be chosen.
	NoneLeft Basis = iota
	// KeepsGoal: a local candidate is expected to keep the goal.
	KeepsGoal
	// OnlyLocal: no remote candidate may be chosen.
	OnlyLocal
	// OnlyRemote: no local candidate may be chosen.
	OnlyRemote
	// LocalCheaper, RemoteCheaper: no local candidate is expected to keep the goal, and
	// the costs were compared.
	LocalCheaper
	RemoteCheaper
)

// String describes the basis.
func (b Basis) String() string {
	names := [...]string{
		"no upstream may get the request",
		"an upstream of the data centre is expected to keep the goal",
		"no upstream of another data centre may get the request",
		"no upstream of the data centre may get the request",
		"none is certain to keep the goal, and one of the data centre costs least",
		"none of the data centre is certain to keep the goal, and one elsewhere costs less",
	}
	if int(b) >= len(names) {
		return "invalid"
	}
	return names[b]
}

// Bar says why a candidate may not get a request.
type Bar uint8

// The bars.
const (
	// NotBarred: the candidate may get the request.
	NotBarred Bar = iota
	// BarredUnavailable: Candidate.Available is not set.
	BarredUnavailable
	// BarredTried: the candidate was tried before.
	BarredTried
	// BarredLarge: the request is too large to be sent to another data centre while
	// there are local upstreams.
	BarredLarge
	// BarredFull: the upstream is in another data centre and is estimated to have no
	// free slot.
	BarredFull
)

// String describes the bar.
func (b Bar) String() string {
	names := [...]string{
		"", "not available", "tried before",
		"too large to be sent to another data centre",
		"no free slot in the other data centre",
	}
	if int(b) >= len(names) {
		return "invalid"
	}
	return names[b]
}

// Evaluation explains the part of one candidate in a choice.
type Evaluation struct {
	Cost Cost
	// Rank is the place of the candidate in the order in which it would be chosen if
	// all before it had refused the request, from 1 on; 0 if it never would be.
	Rank int
	// Bar says why Rank is 0.
	Bar Bar
	// Random is the largest random addition to the cost.
	Random time.Duration
}

// Explanation explains a choice.
type Explanation struct {
	// Chosen is the index of the candidate with rank 1, or -1.
	Chosen int
	Basis  Basis
	// Explored is set if ExplorationShare of the requests go to a random local
	// candidate with a free slot instead.
	Explored bool
	// Evaluations has the same order as the candidates.
	Evaluations []Evaluation
}

// Explain returns what Choose would decide without its random parts, and why. It calls no
// random function; the request's Rand may be nil.
func Explain(candidates []Candidate, request PlacementRequest) Explanation {
	request.meanFailureShare = meanFailureShare(candidates)
	request.Rand = func() float64 { return 0 }
	e := Explanation{Chosen: -1, Explored: request.randomFree(candidates) >= 0, Evaluations: make([]Evaluation, len(candidates))}
	hasLocal := HasLocal(candidates)
	noLocalLeft := request.best(candidates, isLocal) < 0
	localMean := request.meanServiceTime(candidates, isLocal)
	remoteMean := request.meanServiceTime(candidates, func(c *Candidate) bool {
		return !c.Local && request.allowsRemote(c, hasLocal, noLocalLeft)
	})
	for i := range candidates {
		mean := localMean
		if !candidates[i].Local {
			mean = remoteMean
		}
		e.Evaluations[i].Cost = request.cost(&candidates[i], mean)
		e.Evaluations[i].Random = request.jitter(mean)
	}
	e.rank(candidates, request)
	for i := range candidates {
		if e.Evaluations[i].Rank == 0 {
			e.Evaluations[i].Bar = request.bar(&candidates[i], hasLocal)
		}
	}
	return e
}

// rank sets the ranks, and what decided on the first.
func (e *Explanation) rank(candidates []Candidate, request PlacementRequest) {
	for rank := 1; ; rank++ {
		i, basis := request.choose(candidates)
		if rank == 1 {
			e.Chosen, e.Basis = i, basis
		}
		if i < 0 {
			return
		}
		e.Evaluations[i].Rank = rank
		// The slice is copied: it may be the caller's.
		request.Tried = append(slices.Clip(request.Tried), candidates[i].Instance)
	}
}

// bar returns why the candidate would not get the request after all others had refused
// it.
func (r *PlacementRequest) bar(c *Candidate, hasLocal bool) Bar {
	switch {
	case !c.Available:
		return BarredUnavailable
	case r.tried(c.Instance):
		return BarredTried
	case !c.Local && hasLocal:
		return c.spilloverBar(r.Bytes, true)
	default:
		return NotBarred
	}
}
