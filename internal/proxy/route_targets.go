package proxy

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/rollout"
	"godwitmount/internal/routing"
	"godwitmount/internal/status"
)

// sideNames are the names of the sides of a rollout in the answer.
var sideNames = map[rollout.Side]string{rollout.SideAny: "any", rollout.SideOld: "old", rollout.SideNew: "new"}

// describeTargets describes the placement at each service of the route. The request would
// be refused if no service has an upstream for it.
func (e *routeExplainer) describeTargets() {
	targets := e.call.route.Targets
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	refused := true
	for _, target := range targets {
		share := 1.0
		if len(targets) > 1 {
			share = float64(target.Weight) / float64(total)
		}
		e.call.service = target.Name
		described := e.describeTarget(share)
		e.answer.Targets = append(e.answer.Targets, described)
		for _, choice := range described.Choices {
			refused = refused && (choice.Refusal != nil || choice.Chance*share == 0)
		}
	}
	if refused {
		e.refuse(newFailure(code.CallNoUpstream))
	}
}

// describeTarget describes the placement at the service of the call.
func (e *routeExplainer) describeTarget(share float64) status.Target {
	p := e.proxy
	f := &forwarder{proxy: p, call: e.call}
	view := p.rollouts.view(e.call.service)
	f.rollout.view = view
	candidates := p.candidates(e.call.service)
	drawn, other := f.placementSets(candidates)
	target := status.Target{Service: e.call.service, Share: share}
	if drawn.exposed {
		drawn.chance = f.exposureChance(drawn.candidates)
	}
	if view != nil {
		target.Rollout = &status.TargetRollout{
			To: view.To, Phase: view.Phase.String(), Share: view.Share(p.cfg.ExposeShare), NeedsExposure: drawn.exposed,
		}
		if drawn.exposed {
			target.Rollout.ExposureChance = drawn.chance
		}
		target.Excluded = e.describeExcluded(candidates, view, drawn, other)
	}
	target.Choices = []status.Choice{f.describeChoice(drawn)}
	if drawn.exposed || drawn.chance < 1 || len(other.candidates) > 0 {
		other.chance = 1 - drawn.chance
		target.Choices = append(target.Choices, f.describeChoice(other))
	}
	return target
}

// describeChoice describes the placement of the first attempt among a set.
func (f *forwarder) describeChoice(set placementSet) status.Choice {
	explained := routing.Explain(set.candidates, f.placementRequest())
	choice := status.Choice{
		Side: sideNames[set.side], Chance: set.chance, Sampled: set.sampled, Why: explained.Reason.String(),
		Candidates: make([]status.Candidate, len(set.candidates)),
	}
	if explained.Explored {
		choice.ExploredShare = routing.ExplorationShare
	}
	if explained.Chosen < 0 {
		choice.Refusal = refusalStatus(code.CallNoUpstream)
	} else {
		choice.Chosen = set.candidates[explained.Chosen].Instance
	}
	for i := range set.candidates {
		c, evaluation := &set.candidates[i], &explained.Evaluations[i]
		choice.Candidates[i] = f.proxy.describeCandidate(c, evaluation)
		choice.Candidates[i].Reason = reasonOf(c, evaluation)
	}
	slices.SortFunc(choice.Candidates, compareCandidates)
	return choice
}

// compareCandidates orders by rank, those without one last.
func compareCandidates(a, b status.Candidate) int {
	last := func(c status.Candidate) int {
		if c.Rank == 0 {
			return math.MaxInt
		}
		return c.Rank
	}
	return cmp.Or(cmp.Compare(last(a), last(b)), cmp.Compare(a.Instance, b.Instance))
}

// describeExcluded describes the candidates that are in neither set.
func (e *routeExplainer) describeExcluded(candidates []routing.Candidate, view *rollout.View, sets ...placementSet) []status.Candidate {
	included := map[string]bool{}
	for _, set := range sets {
		for i := range set.candidates {
			included[set.candidates[i].Instance] = true
		}
	}
	var excluded []status.Candidate
	for i := range candidates {
		c := &candidates[i]
		if included[c.Instance] {
			continue
		}
		described := e.proxy.describeCandidate(c, &routing.Evaluation{})
		switch {
		case !c.Available:
			described.Reason = unavailableReason(c)
		case view.Phase.Active() && c.Version == view.To:
			described.Reason = "takes no part in phase " + view.Phase.String()
		default:
			described.Reason = "the rollout gives no requests to its version"
		}
		excluded = append(excluded, described)
	}
	slices.SortFunc(excluded, compareCandidates)
	return excluded
}

// describeCandidate describes a candidate without the reason.
func (p *Proxy) describeCandidate(c *routing.Candidate, evaluation *routing.Evaluation) status.Candidate {
	dataCentre := p.cfg.DataCentre
	if peer := p.deps.Peers.get(c.Instance); !c.Self && peer != nil {
		dataCentre = peer.DataCentre
	}
	cost := &evaluation.Cost
	return status.Candidate{
		Instance: c.Instance, DataCentre: dataCentre, Version: c.Version, Self: c.Self, Local: dataCentre == p.cfg.DataCentre,
		Rank: evaluation.Rank, Available: c.Available, Load: rounded(c.Load), Slots: c.Slots,
		ReportAgeMS: inMilliseconds(c.ReportAge), ServiceTimeMS: inMilliseconds(c.ServiceTime), RTTMS: inMilliseconds(c.RTT),
		FailureShare: rounded(c.FailureShare), RandomMS: inMilliseconds(evaluation.Random),
		Cost: status.Cost{
			TotalMS: inMilliseconds(cost.Total()), WaitMS: inMilliseconds(cost.Wait), ServiceMS: inMilliseconds(cost.Service),
			NetworkMS: inMilliseconds(cost.Network), TransferMS: inMilliseconds(cost.Transfer), PingMS: inMilliseconds(cost.Ping), FailuresMS: inMilliseconds(cost.Failures),
			DistanceMS: inMilliseconds(cost.Distance), LoadMS: inMilliseconds(cost.Load), LateMS: inMilliseconds(cost.Late),
		},
	}
}

// reasonOf says why a candidate gets no request, or lists what speaks against it.
func reasonOf(c *routing.Candidate, evaluation *routing.Evaluation) string {
	switch evaluation.Exclusion {
	case routing.NotExcluded:
	case routing.ExcludedUnavailable:
		return unavailableReason(c)
	default:
		return evaluation.Exclusion.String()
	}
	cost := &evaluation.Cost
	var reasons []string
	for _, against := range []struct {
		holds bool
		text  string
	}{
		{c.Slots == 0, "no slots"},
		{cost.Wait > 0, "would wait for a slot"},
		{cost.Failures > 0, "failing"},
		{cost.Ping > 0, "ping unanswered"},
		{cost.Late > 0, "expected after the goal"},
	} {
		if against.holds {
			reasons = append(reasons, against.text)
		}
	}
	return strings.Join(reasons, ", ")
}

func unavailableReason(c *routing.Candidate) string {
	return cmp.Or(c.Unavailable.String(), routing.ExcludedUnavailable.String())
}

// inMilliseconds returns the duration in milliseconds, rounded to microseconds.
func inMilliseconds(d time.Duration) float64 {
	const millisecondsPerSecond = 1000
	return rounded(d.Seconds() * millisecondsPerSecond)
}

// rounded rounds to three decimals.
func rounded(value float64) float64 {
	const scale = 1000
	return math.Round(value*scale) / scale
}
