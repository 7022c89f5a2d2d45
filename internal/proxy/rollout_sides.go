package proxy

import (
	"math/rand/v2"

	"godwitmount/internal/rollout"
	"godwitmount/internal/routing"
)

// allowedByRollout returns the candidates that a request may be sent to in any attempt.
func (f *forwarder) allowedByRollout(candidates []routing.Candidate) []routing.Candidate {
	v := f.proxy.rollouts.view(f.call.service)
	if v == nil {
		return candidates
	}
	side := rollout.SideAny
	if v.Phase == rollout.Trial && v.Gated {
		side = rollout.SideOld
	}
	return onSide(candidates, v, side)
}

// onSide returns the candidates on a side of a rollout.
func onSide(candidates []routing.Candidate, v *rollout.View, side rollout.Side) []routing.Candidate {
	left := make([]routing.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if v.Allows(c.Version, side) {
			left = append(left, c)
		}
	}
	return left
}

// hasAvailable reports whether a candidate that was not tried accepts requests.
func (f *forwarder) hasAvailable(candidates []routing.Candidate) bool {
	for i := range candidates {
		if candidates[i].Available && !f.hasTried(candidates[i].Instance) {
			return true
		}
	}
	return false
}

// placementSet is a set of candidates among which an attempt may be placed.
type placementSet struct {
	side       rollout.Side
	candidates []routing.Candidate
	// chance is the probability with which the set is drawn. It is not set if exposed is.
	chance float64
	// exposed is set if the attempt needs exposure.
	exposed bool
	// sampled is set if the attempt is placed among a sample of the candidates.
	sampled bool
}

// placementSets returns the set that is drawn with its chance, or if there is exposure for
// it, and the set for the other attempts.
func (f *forwarder) placementSets(candidates []routing.Candidate) (drawn, other placementSet) {
	v := f.rollout.view
	onSide := func(side rollout.Side) placementSet {
		return placementSet{side: side, candidates: onSide(candidates, v, side), chance: 1}
	}
	switch {
	case v == nil:
		return placementSet{candidates: candidates, chance: 1}, placementSet{}
	case v.Phase == rollout.Trial && v.Gated:
		return placementSet{side: rollout.SideNew, candidates: f.trialCandidates(candidates), exposed: true}, onSide(rollout.SideOld)
	case v.Phase == rollout.StepOne, v.Phase == rollout.StepTwo:
		drawn, other = onSide(rollout.SideNew), onSide(rollout.SideOld)
		drawn.chance = f.stepChance(other.candidates, drawn.candidates)
		drawn.sampled = true
		if some := inStep(drawn.candidates, v.Share(0)); f.hasAvailable(some) {
			drawn.candidates = some
		}
		return drawn, other
	case v.Phase == rollout.Full:
		drawn = onSide(rollout.SideNew)
		drawn.sampled = true
		return drawn, placementSet{}
	default:
		return onSide(rollout.SideAny), placementSet{}
	}
}

// limitToRollout returns the candidates for the next attempt: those of the old or those
// of the new version while the service is moved. In the trial a request goes to the new
// version only if there is exposure for it, and after a failure there to the old one.
func (f *forwarder) limitToRollout(candidates []routing.Candidate) []routing.Candidate {
	f.call.request.Exposed = 0
	f.rollout.view = f.proxy.rollouts.view(f.call.service)
	if f.rollout.view == nil {
		return candidates
	}
	set, other := f.placementSets(candidates)
	if set.exposed && !f.takeExposure(set.candidates) || !set.exposed && rand.Float64() >= set.chance {
		set = other
	}
	if set.sampled {
		return f.sample(set.candidates)
	}
	return set.candidates
}

// stepChance returns the probability with which an attempt goes to the new version in a
// step: its share, unless one version has no upstream left.
func (f *forwarder) stepChance(oldOnes, newOnes []routing.Candidate) float64 {
	switch {
	case !f.hasAvailable(newOnes):
		return 0
	case !f.hasAvailable(oldOnes):
		return 1
	case f.rollout.triedNew:
		return 0
	default:
		return f.rollout.view.Share(0)
	}
}

// inStep returns the available upstreams of the own data centre that get requests in a
// step with the share.
func inStep(candidates []routing.Candidate, share float64) []routing.Candidate {
	var instances []string
	for i := range candidates {
		if candidates[i].Local && candidates[i].Available {
			instances = append(instances, candidates[i].Instance)
		}
	}
	chosen := rollout.InStep(instances, share)
	var left []routing.Candidate
	for _, c := range candidates {
		if chosen[c.Instance] {
			left = append(left, c)
		}
	}
	return left
}

// sampleSize is the number of candidates of one data centre among which a request to the
// new version chooses during the move.
const sampleSize = 2

// sample returns sampleSize random available candidates of the own data centre, and as
// many of others. All daemons turn to the new upstreams at the same moment and know little
// of their load and speed; without the sample they would all choose the same one.
func (f *forwarder) sample(candidates []routing.Candidate) []routing.Candidate {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	left := candidates[:0]
	taken := map[bool]int{}
	for _, c := range candidates {
		if c.Available && !f.hasTried(c.Instance) && taken[c.Local] < sampleSize {
			taken[c.Local]++
			left = append(left, c)
		}
	}
	return left
}

// trialCandidates returns the upstreams that take part in the trial. They are few and
// in any data centre, and get equal parts of the requests; only large requests stay
// in their data centre.
func (f *forwarder) trialCandidates(candidates []routing.Candidate) []routing.Candidate {
	all := onSide(candidates, f.rollout.view, rollout.SideNew)
	var upstreams []rollout.Participant
	for i := range all {
		if all[i].Available {
			upstreams = append(upstreams, rollout.Participant{Instance: all[i].Instance, Load: all[i].Load, Slots: all[i].Slots})
		}
	}
	chosen := rollout.Participants(upstreams, f.proxy.cfg.ExposeShare)
	large := f.proxy.routes.size(f.call.route.Name) >= routing.LargeRequestBytes
	left := all[:0]
	for _, c := range all {
		if !chosen[c.Instance] || large && !c.Local {
			continue
		}
		c.Local = true
		left = append(left, c)
	}
	return left
}
