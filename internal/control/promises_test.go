package control

import (
	"godwitmount/internal/claim"
	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
)

// publish takes a snapshot as the data path does, and checks what must hold of
// each.
func (p *process) publish(s *routing.Snapshot) {
	p.checkOrder(s.Config)
	p.checkWhole(s)
	p.checkClosed(s)
	p.snapshot = s
}

// checkOrder: an instance never moves back, also over restarts.
func (p *process) checkOrder(id manifest.ID) {
	if id.Version < p.highest.Version || id.Version == p.highest.Version && id != p.highest {
		p.n.failf("%s went from %s to %s", p.name, p.highest, id)
	}
	p.highest = id
}

// checkWhole: the routes are those of the accepted body, all of them.
func (p *process) checkWhole(s *routing.Snapshot) {
	body, accepted := p.n.bodies[s.Config]
	if !accepted {
		p.n.failf("%s has %s in force, which was never accepted", p.name, s.Config)
		return
	}
	got := s.Table.Manifest().Canonical()
	if manifest.DigestOf(got) != s.Config.Digest || string(got) != string(body) {
		p.n.failf("%s has %s in force with another body", p.name, s.Config)
	}
}

// checkClosed: each route's service, and nothing else, has an entry, and each
// upstream in it takes calls.
func (p *process) checkClosed(s *routing.Snapshot) {
	for _, route := range s.Table.Routes() {
		if _, held := s.Services[route.Service]; !held {
			p.n.failf("%s: route %s points at service %s, which the snapshot does not hold", p.name, route.Name, route.Service)
		}
	}
	for service, pool := range s.Services {
		for _, upstream := range pool {
			record, known := p.core.members.Lookup(upstream.Instance)
			if !known || record.Service != service || !record.TakesCalls() {
				p.n.failf("%s: snapshot holds %s for %s, which takes no calls", p.name, upstream.Instance, service)
			}
		}
	}
}

// checkTold: each packet tells peers what is in force.
func (p *process) checkTold() {
	told := p.core.members.Packet().GetApplied().GetVersion()
	if !p.Down && told != p.highest.Version {
		p.n.failf("%s tells that version %d is in force, not %d", p.name, told, p.highest.Version)
	}
}

// offers reports whether the process would give new work to an instance.
func (p *process) offers(instance string) bool {
	if p.snapshot == nil {
		return false
	}
	for _, pool := range p.snapshot.Services {
		for _, upstream := range pool {
			if upstream.Instance == instance {
				return true
			}
		}
	}
	return false
}

// refuses reports whether the process refuses a fingerprint.
func (p *process) refuses(fingerprint claim.Hash) bool {
	return p.entries[fingerprint].Refused
}

// current reports whether the newest version is in force.
func (p *process) current() bool {
	return p.core.Ready() && p.snapshot != nil && p.snapshot.Config == p.n.newest
}
