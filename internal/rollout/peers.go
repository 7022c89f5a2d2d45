package rollout

import (
	"cmp"
	"slices"

	"godwitmount/internal/step"
)

// peer returns the peer with the instance.
func (c *Core) peer(instance string) *peer {
	p := c.peers[instance]
	if p == nil {
		p = &peer{Member: Member{Instance: instance}, rank: Rank(instance), unreachableSince: c.now, lostSince: c.now}
		c.peers[instance] = p
	}
	return p
}

// service returns the service of the peer's upstream as it last reported, or as the
// member table has it.
func (p *peer) service() string { return cmp.Or(p.state.Service, p.Member.Service) }

func (c *Core) applyMembers(ev MembersChanged) {
	c.membersComplete = c.membersComplete || ev.Complete
	connected, listed := map[string]bool{}, map[string]bool{}
	for _, m := range ev.Members {
		connected[m.Instance] = true
	}
	for _, m := range slices.Concat(ev.Members, ev.Others) {
		listed[m.Instance] = true
		p := c.peer(m.Instance)
		p.Member, p.listed, p.removedAt = m, true, 0
		p.member = connected[m.Instance]
	}
	for instance, p := range c.peers {
		if !connected[instance] {
			// Its state stays: it is reported only when it changes.
			p.member, p.reachable, p.reached, p.unreachableSince = false, false, false, c.now
		}
		if p.listed && !listed[instance] {
			p.listed, p.removedAt = false, max(c.now, 1)
		}
	}
}

func (c *Core) applyReachability(ev PeerReachability) {
	p := c.peer(ev.Instance)
	before := p.reachable
	p.reachable = ev.Reachable
	p.reached = p.reached || ev.Reachable
	switch {
	case ev.Reachable && !before:
		p.reachableSince = c.now
	case !ev.Reachable:
		p.unreachableSince = c.now
		c.dateLoss(p)
	}
}

// dateLoss sets since when a peer that was found unreachable may have been so.
func (c *Core) dateLoss(p *peer) {
	switch {
	case c.now-p.reachableSince < shortHold && p.lostSince < p.reachableSince:
		// What it knows may not have arrived: the loss before goes on.
	case c.resumedAt > 0 && c.now-c.resumedAt < longHold:
		p.lostSince = c.pausedFrom
	default:
		p.lostSince = c.now
	}
}

// resume has the peers checked after a pause. Others may have lost this daemon at its begin,
// so that losses found within longHold, during which the upstream gets no requests, count
// from then.
func (c *Core) resume(ev step.Resumed) {
	c.pausedFrom, c.resumedAt = ev.PausedFrom, max(c.now, 1)
	active := false
	for _, s := range c.services {
		if s.Phase.Active() {
			active = true
			s.confirmed = s.confirmed || c.now-ev.PausedFrom >= mayBeGoneAfter
		}
	}
	if active {
		c.emit(CheckPeers{})
	}
}

// noteIsolation records that others may count this daemon as gone.
func (c *Core) noteIsolation() {
	s := c.services[c.ownService()]
	if s != nil && s.Phase.Active() && c.isolated(s) {
		s.confirmed = true
	}
}

// unreachable returns the members of the service in this daemon's data centre that it
// has not reached for goneAfter.
func (c *Core) unreachable(s *service) []string {
	var all []string
	for instance, p := range c.peers {
		if p.member && p.service() == s.Service && p.DataCentre == c.cfg.DataCentre && !p.reachable && c.now-p.unreachableSince >= goneAfter {
			all = append(all, instance)
		}
	}
	slices.Sort(all)
	return all
}

// indicatesCut reports whether the state of a member says something about this daemon's
// own connection: it is reachable, or was until shortly before the rollout. Others may be
// gone for good.
func (c *Core) indicatesCut(s *service, p *peer) bool {
	return p.member && p.reached && (p.reachable || p.unreachableSince >= s.knownAt-recentLoss)
}

// cutOff reports whether this daemon reaches fewer than half of the members of the
// service that indicatesCut selects, itself included.
func (c *Core) cutOff(s *service) bool {
	reached, reachable := 1, 1
	for _, p := range c.peers {
		if p.service() != s.Service || !c.indicatesCut(s, p) {
			continue
		}
		reached++
		if p.reachable {
			reachable++
		}
	}
	return 2*reachable < reached
}

// minQuorum is the number of members of the service in a data centre from which on one is
// counted as gone, or goes on, only with a part of them. Of two, neither can tell a cut from
// the end of the other.
const minQuorum = 3

// isolated reports whether this daemon has for isolatedAfter reached fewer than half of the
// members of the service in its data centre, itself included. More than half of them may
// then count it as gone; see gone. It is isolated until it has reached them for shortHold, so
// that it knows what they know. Members that were lost before the rollout, or that this
// process has never reached, count as well: they may reach each other.
func (c *Core) isolated(s *service) bool {
	members, reached := 1, 1
	for _, p := range c.peers {
		if !p.member || p.DataCentre != c.cfg.DataCentre || p.service() != s.Service {
			continue
		}
		members++
		steady := p.reachable && c.now-p.reachableSince >= shortHold
		if steady || p.reached && c.now-p.lostSince < isolatedAfter {
			reached++
		}
	}
	if !c.membersComplete && reached == 1 {
		return true
	}
	return members >= minQuorum && 2*reached < members
}
