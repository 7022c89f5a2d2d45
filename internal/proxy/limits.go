package proxy

import (
	"time"

	"godwitmount/internal/admission"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
)

// serviceLimits returns the active configuration of the upstream's service, or
// the zero value if there is none.
func (p *Proxy) serviceLimits(u *control.Upstream) manifest.Service {
	if t := p.table.Load(); t != nil {
		if s := t.Service(u.Service); s != nil {
			return *s
		}
	}
	return manifest.Service{}
}

// updateAdmission opens the admission controller if the upstream accepts
// requests, within the limits of the configuration, and closes it otherwise.
func (p *Proxy) updateAdmission() {
	// Reports of the upstream, configurations and rollouts arrive on several goroutines. Each
	// call comes after its change is stored, so that the last one sees all changes.
	p.admissionMu.Lock()
	defer p.admissionMu.Unlock()
	u := p.upstream.Load()
	if !u.AcceptsRequests() || !p.rollouts.opens(u) {
		p.admissionController.Close()
		return
	}
	limits := p.serviceLimits(u)
	slots := u.Slots
	if limits.MaxConnections > 0 {
		slots = min(slots, limits.MaxConnections)
	}
	p.admissionController.Open(slots, limits.QueueLimit)
}

// advertisedSlots returns how many of the upstream's slots are reported to other
// daemons; during the slow start that is only a part of them.
func (p *Proxy) advertisedSlots(slots int) int {
	u := p.upstream.Load()
	age := p.now() - time.Duration(p.upstreamSince.Load())
	return admission.SlowStartSlots(slots, age, p.serviceLimits(u).SlowStart.Std())
}
