package rollout

import (
	"fmt"
	"slices"
)

// wanted returns the phase that the store is to have, and the reason for it. Phases
// full and completed are wanted before this daemon enters them.
func (c *Core) wanted(s *service) (phase Phase, reason string) {
	switch {
	case s.Phase == Trial && len(s.From) == 0 && c.hasMemberOf(s, s.To) && c.now-s.knownAt >= versionsWait && c.versionsKnown(s):
		return Full, reasonOneVersion
	case s.Phase == StepTwo && c.stepDone(s):
		return Full, reasonNoFault
	case s.Phase == Full && s.savedAs(Full) && c.drained(s):
		return Completed, reasonDrained
	case s.Phase >= Full:
		return s.Phase, s.Reason
	default:
		return Trial, s.Reason
	}
}

// versionsKnown reports whether all reachable members of the service have said which
// version their upstreams have.
func (c *Core) versionsKnown(s *service) bool {
	for _, p := range c.peers {
		if p.member && p.reachable && p.service() == s.Service && p.state.Version == "" {
			return false
		}
	}
	return true
}

// hasMemberOf reports whether an upstream of the version is known.
func (c *Core) hasMemberOf(s *service, version string) bool {
	if c.upstream.Service == s.Service && c.upstream.Version == version {
		return true
	}
	for _, p := range c.peers {
		if p.state.Service == s.Service && p.state.Version == version {
			return true
		}
	}
	return false
}

// drained reports whether no old upstream has a request or can get one. Otherwise it
// sets what this waits for.
func (c *Core) drained(s *service) bool {
	if own := s.history[c.cfg.Instance]; c.ownService() == s.Service && (own == nil || !own.confirms(s)) {
		s.waiting = "requests of " + c.cfg.Instance
		return false
	}
	if !c.membersComplete {
		s.waiting = "the member table"
		return false
	}
	left, first := 0, ""
	for instance, p := range c.peers {
		if p.service() != s.Service || p.state.Version == s.To || c.gone(s, p) || c.left(p) {
			continue
		}
		h := s.history[instance]
		if h != nil && (p.reachable || !p.listed) && h.at >= p.reachableSince && c.now-h.at <= freshReport && h.confirms(s) {
			continue
		}
		left++
		if first == "" || instance < first {
			first = instance
		}
	}
	if left > 0 {
		s.waiting = fmt.Sprintf("%d old upstreams, %s among them", left, first)
	}
	return left == 0
}

// confirms reports whether the upstream has the new version or is closed and idle.
func (h *history) confirms(s *service) bool {
	r := &h.latest
	return r.Version == s.To || r.Position == s.Position && r.Phase == Full && r.Drained
}

// confirmedEarlier reports whether an earlier process of this daemon may have confirmed that
// its upstream, of an old version, is closed, and the phase that this process was told is an
// earlier one.
func (c *Core) confirmedEarlier(s *service) bool {
	isOld := c.upstream.Service == s.Service && c.upstream.Version != s.To
	return isOld && s.confirmed && s.Phase < Full && c.now-s.beganAt < confirmationLasts
}

// keepsClosed reports whether the local upstream, of an old version, stays closed because the
// completion may be or have been written on the word of this daemon. After a reversion that is
// until the store has this, or can no longer perform a write of the completion.
func (c *Core) keepsClosed(s *service) bool {
	reverted := s.confirmed && s.Phase == Reverted && !s.Stored && c.now-s.phaseAt < lateWrites
	return reverted || c.confirmedEarlier(s)
}

// left reports whether a daemon is no member, and has not been one for goneAfter. One that
// stops removes its entry first and then ends its requests.
func (c *Core) left(p *peer) bool {
	return !p.listed && (p.removedAt == 0 || c.now-p.removedAt >= goneAfter)
}

// gone reports whether a member of the service is unreachable from this daemon and from
// all daemons of its data centre that report. These must be more than half of the members
// there: then it reaches fewer than half, and has closed; see isolated.
func (c *Core) gone(s *service, p *peer) bool {
	if p.reachable || c.now-p.unreachableSince < goneAfter {
		return false
	}
	witnesses := 0
	for instance, h := range s.history {
		witness := c.peers[instance]
		local := instance == c.cfg.Instance && c.cfg.DataCentre == p.DataCentre ||
			witness != nil && witness.reachable && witness.DataCentre == p.DataCentre
		if !local || c.now-h.at > freshReport {
			continue
		}
		if !slices.Contains(h.latest.Unreachable, p.Instance) {
			return false
		}
		witnesses++
	}
	members := c.membersIn(s, p.DataCentre)
	return witnesses > 0 && (members < minQuorum || 2*witnesses > members)
}

// membersIn returns the number of members of the service in a data centre.
func (c *Core) membersIn(s *service, dataCentre string) int {
	members := 0
	if c.ownService() == s.Service && c.cfg.DataCentre == dataCentre {
		members++
	}
	for _, p := range c.peers {
		if p.listed && p.DataCentre == dataCentre && p.service() == s.Service {
			members++
		}
	}
	return members
}
