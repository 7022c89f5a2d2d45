package proxy

import (
	"time"

	"godwitmount/internal/control"
	"godwitmount/internal/routing"
)

const (
	// defaultServiceTime is assumed for an upstream that has reported no service time.
	defaultServiceTime = 100 * time.Millisecond
	// usualCandidates is the number of candidates for which memory is allocated at first.
	usualCandidates = 16
)

// candidates returns the upstreams of a service with their estimated loads, the
// one beside this daemon included.
func (p *Proxy) candidates(service string) []routing.Candidate {
	all := make([]routing.Candidate, 0, usualCandidates)
	if u := p.upstream.Load(); u.Service == service {
		load := p.admissionController.Load()
		unavailable := p.unavailability(u, load.Open)
		all = append(all, routing.Candidate{
			Instance:     p.cfg.Instance,
			Version:      u.Version,
			Self:         true,
			Local:        true,
			Available:    unavailable == routing.IsAvailable,
			Unavailable:  unavailable,
			Load:         float64(load.Running + load.Waiting),
			Slots:        p.advertisedSlots(load.Slots),
			RateLimited:  load.RateLimited,
			ServiceTime:  load.ServiceTime,
			FailureShare: p.failureShare(),
		})
	}
	all = p.deps.Peers.candidates(all, service)
	routing.EstimateLoads(all)
	return all
}

// unavailability returns why the local upstream gets no requests, given whether its
// admission controller is open.
func (p *Proxy) unavailability(u *control.Upstream, open bool) routing.Unavailability {
	switch {
	case open:
		return routing.IsAvailable
	case u.Draining():
		return routing.Draining
	case u.State == control.UpstreamSilent:
		return routing.Silent
	case u.Unreachable:
		return routing.Unreachable
	case u.Stalled:
		return routing.Stalled
	case u.Slots == 0:
		return routing.NoSlots
	case !p.rollouts.opens(u):
		return routing.ClosedByRollout
	default:
		return routing.TakesNoRequests
	}
}

// candidates appends the upstreams of peers that belong to the service.
func (ps *Peers) candidates(all []routing.Candidate, service string) []routing.Candidate {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	now := ps.now()
	for _, p := range ps.all {
		state := p.state.Load()
		if state == nil || state.GetService() != service {
			continue
		}
		all = append(all, p.candidate(state, now, p.DataCentre == ps.self.DataCentre))
	}
	return all
}

// candidate returns the peer's upstream as a candidate. Load is not set; see
// routing.EstimateLoads.
func (p *peer) candidate(state *peerState, now time.Duration, local bool) routing.Candidate {
	serviceTime := microseconds(state.GetServiceTimeUs())
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	unavailable := p.unavailability(state, now)
	return routing.Candidate{
		Instance:       p.Instance,
		Version:        state.GetUpstreamVersion(),
		Local:          local,
		Available:      unavailable == routing.IsAvailable,
		Unavailable:    unavailable,
		Outstanding:    float64(p.outstanding.Load()),
		OtherLoad:      state.otherLoad,
		ReportAge:      now - state.at,
		Slots:          int(state.GetSlots()),
		RateLimited:    state.GetRateLimited(),
		ServiceTime:    serviceTime,
		FailureShare:   float64(state.GetFailuresPerMille()) / perMille,
		RTT:            microseconds(state.GetLineDelayUs()),
		LinkBacklog:    microseconds(state.GetLinkBacklogUs()),
		LinkKbps:       int(p.linkKbps.Load()),
		PendingPingAge: p.client.UnansweredPingAge(),
	}
}

// unavailability returns why the peer's upstream gets no requests.
func (p *peer) unavailability(state *peerState, now time.Duration) routing.Unavailability {
	switch {
	case !p.up.Load() && p.silent.Load():
		return routing.Silent
	case !p.up.Load():
		return routing.Unreachable
	case p.isDraining(state), !state.GetTakesWork() && state.GetLeaving():
		return routing.Draining
	case !state.GetTakesWork() && state.GetStopping():
		return routing.Stopping
	case !state.GetTakesWork():
		return routing.TakesNoRequests
	case int64(now) < p.backoffUntil.Load():
		return routing.BackedOff
	default:
		return routing.IsAvailable
	}
}
