package proxy

import (
	"time"

	"godwitmount/internal/admission"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
)

// serviceLimits is what the configuration in force says of the service of the
// upstream beside this daemon.
func (p *Proxy) serviceLimits(u *control.Upstream) manifest.Service {
	if t := p.table.Load(); t != nil {
		if s := t.Service(u.Service); s != nil {
			return *s
		}
	}
	return manifest.Service{}
}

// applyUpstream opens or closes the gate by what is known of the upstream and
// what the configuration allows.
func (p *Proxy) applyUpstream() {
	u := p.upstream.Load()
	if !u.Takes() {
		p.gate.Close()
		return
	}
	limits := p.serviceLimits(u)
	slots := u.Slots
	if limits.MaxConnections > 0 {
		slots = min(slots, limits.MaxConnections)
	}
	p.gate.Open(slots, limits.QueueLimit)
}

// toldSlots is how many slots other daemons are told of.
func (p *Proxy) toldSlots(slots int) int {
	u := p.upstream.Load()
	age := p.now() - time.Duration(p.upstreamSince.Load())
	return admission.Ramp(slots, age, p.serviceLimits(u).SlowStart.Std())
}
