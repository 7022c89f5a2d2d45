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

var unavailabilityTexts = []string{
	IsAvailable:     "",
	Unreachable:     "can't be reached",
	Silent:          "silent",
	Draining:        "draining",
	Stopping:        "its daemon is stopping",
	Stalled:         "stalled",
	NoSlots:         "no slots",
	ClosedByRollout: "closed by a rollout",
	TakesNoRequests: "takes no requests",
	BackedOff:       "backed off after a failed request",
}

// String describes the reason.
func (u Unavailability) String() string { return textOf(unavailabilityTexts, uint8(u)) }

// ChoiceReason says what decided between local and remote candidates.
type ChoiceReason uint8

// The reasons of a choice.
const (
	// NoCandidate: no candidate may be chosen.
	NoCandidate ChoiceReason = iota
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

var choiceReasonTexts = []string{
	NoCandidate:   "no upstream may get the request",
	KeepsGoal:     "an upstream of the data centre is expected to keep the goal",
	OnlyLocal:     "no upstream of another data centre may get the request",
	OnlyRemote:    "no upstream of the data centre may get the request",
	LocalCheaper:  "none is certain to keep the goal, and one of the data centre costs least",
	RemoteCheaper: "none of the data centre is certain to keep the goal, and one elsewhere costs less",
}

// String describes the reason.
func (r ChoiceReason) String() string { return textOf(choiceReasonTexts, uint8(r)) }

// Exclusion says why a candidate may not get a request.
type Exclusion uint8

// The reasons for an exclusion.
const (
	// NotExcluded: the candidate may get the request.
	NotExcluded Exclusion = iota
	// ExcludedUnavailable: Candidate.Available is not set.
	ExcludedUnavailable
	// ExcludedTried: the candidate was tried before.
	ExcludedTried
	// ExcludedLarge: the request is too large to be sent to another data centre while
	// there are local upstreams.
	ExcludedLarge
	// ExcludedFull: the upstream is in another data centre and is estimated to have no
	// free slot.
	ExcludedFull
)

var exclusionTexts = []string{
	NotExcluded:         "",
	ExcludedUnavailable: "not available",
	ExcludedTried:       "tried before",
	ExcludedLarge:       "too large to be sent to another data centre",
	ExcludedFull:        "no free slot in the other data centre",
}

// String describes the reason.
func (e Exclusion) String() string { return textOf(exclusionTexts, uint8(e)) }

// textOf returns the text of an enumerated value.
func textOf(texts []string, value uint8) string {
	if int(value) >= len(texts) {
		return "invalid"
	}
	return texts[value]
}

// Evaluation explains the part of one candidate in a choice.
type Evaluation struct {
	Cost Cost
	// Rank is the place of the candidate in the order in which it would be chosen if
	// all before it had refused the request, from 1 on; 0 if it never would be.
	Rank int
	// Exclusion is why Rank is 0.
	Exclusion Exclusion
	// Random is the largest random addition to the cost.
	Random time.Duration
}

// Explanation explains a choice.
type Explanation struct {
	// Chosen is the index of the candidate with rank 1, or -1.
	Chosen int
	Reason ChoiceReason
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
			e.Evaluations[i].Exclusion = request.exclusion(&candidates[i], hasLocal)
		}
	}
	return e
}

// rank sets the ranks, and what decided on the first.
func (e *Explanation) rank(candidates []Candidate, request PlacementRequest) {
	for rank := 1; ; rank++ {
		i, reason := request.choose(candidates)
		if rank == 1 {
			e.Chosen, e.Reason = i, reason
		}
		if i < 0 {
			return
		}
		e.Evaluations[i].Rank = rank
		// The slice is copied: it may be the caller's.
		request.Tried = append(slices.Clip(request.Tried), candidates[i].Instance)
	}
}

// exclusion returns why the candidate would not get the request after all others had refused
// it.
func (r *PlacementRequest) exclusion(c *Candidate, hasLocal bool) Exclusion {
	switch {
	case !c.Available:
		return ExcludedUnavailable
	case r.tried(c.Instance):
		return ExcludedTried
	case !c.Local && hasLocal:
		return c.spilloverExclusion(r.Bytes, true)
	default:
		return NotExcluded
	}
}
