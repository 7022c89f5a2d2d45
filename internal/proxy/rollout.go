package proxy

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/rollout"
	"godwitmount/internal/routing"
)

const (
	// slowStartOfVersion is how long a new upstream may be slow. Its times do not count
	// as evidence before.
	slowStartOfVersion = 3 * time.Second
	// maxRolloutRoutes bounds the routes that are counted apart. The counts of others are
	// under the empty name.
	maxRolloutRoutes = 16
)

// rollouts is what the data path knows of rollouts, and what it counts for them. All
// methods may be called from any goroutine.
type rollouts struct {
	// views holds the rollouts by service; nil while there are none.
	views atomic.Pointer[map[string]*rollout.View]
	// age tells whether the views are current.
	age *rollout.ViewAge

	mu sync.Mutex
	// exposures holds the exposure of entered requests by service.
	exposures map[string]*rollout.Exposure
	// counted is the rollout request for which counts are kept, by route.
	counted rollout.Request
	counts  map[string]rollout.Counts
}

// newRollouts returns the state of a data path that has just started, at a time of the
// clock that goes on while the machine is suspended.
func newRollouts(now time.Duration) *rollouts {
	return &rollouts{age: rollout.NewViewAge(now), exposures: map[string]*rollout.Exposure{}}
}

// view returns the rollout of a service, or nil.
func (r *rollouts) view(service string) *rollout.View {
	views := r.views.Load()
	if views == nil {
		return nil
	}
	return (*views)[service]
}

// opens reports whether the admission controller of the local upstream may be open.
func (r *rollouts) opens(u *control.Upstream) bool {
	v := r.view(u.Service)
	return v == nil || v.Opens(u.Version)
}

// refusal returns why the local upstream must not get the request, or code.OK.
// BootClock reads the clock that goes on while the machine is suspended.
func (r *rollouts) refusal(u *control.Upstream, request *hopv1.Request, bootClock func() time.Duration) code.Code {
	v := r.view(u.Service)
	switch {
	case v == nil:
		return code.OK
	case !v.Opens(u.Version), v.Phase.Active() && !r.age.Current(bootClock()):
		return code.CallVersionClosed
	case !v.Admits(u.Version, request.Exposed):
		return code.CallNotExposed
	default:
		return code.OK
	}
}

// upstreamReplaced forgets the counts of an earlier incarnation of the upstream.
func (r *rollouts) upstreamReplaced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts = nil
}

// exposure returns the exposure for a service's rollout request. The caller holds r.mu.
func (r *rollouts) exposure(v *rollout.View, share float64) *rollout.Exposure {
	e := r.exposures[v.Service]
	if e == nil || !e.IsFor(v.Request) {
		e = rollout.NewExposure(share, v.Request)
		r.exposures[v.Service] = e
	}
	return e
}

// SetRollouts sets what is known of rollouts and opens or closes the admission
// controller accordingly.
func (p *Proxy) SetRollouts(views []rollout.View) {
	byService := make(map[string]*rollout.View, len(views))
	for i := range views {
		byService[views[i].Service] = &views[i]
	}
	p.RefreshRollouts()
	p.rollouts.views.Store(&byService)
	p.updateAdmission()
}

// RefreshRollouts records that the process runs and keeps what it knows of rollouts
// current.
func (p *Proxy) RefreshRollouts() { p.rollouts.age.Refresh(p.deps.BootClock()) }

// RolloutShare returns the share of a service's requests that goes to the new version.
func (p *Proxy) RolloutShare(service string) float64 {
	if v := p.rollouts.view(service); v != nil {
		return v.Share(p.cfg.ExposeShare)
	}
	return 0
}

// RolloutReport returns the report about the local upstream, or false if its service
// has no rollout in progress.
func (p *Proxy) RolloutReport() (rollout.Report, bool) {
	u := p.upstream.Load()
	v := p.rollouts.view(p.callerService())
	if v == nil || !v.Phase.Active() {
		return rollout.Report{}, false
	}
	load := p.admissionController.Load()
	report := rollout.Report{
		Service:   v.Service,
		Position:  v.Position,
		Phase:     v.Phase,
		Version:   u.Version,
		TakesWork: load.Open && !p.deps.Peers.Draining(),
		Slots:     load.Slots,
		Drained:   !load.Open && load.Running == 0 && load.Waiting == 0,
		Routes:    p.rollouts.routeCounts(v.Request),
	}
	return report, true
}

// recordRolloutOutcome counts a run as evidence about the upstream's version. A request
// that did not reach the upstream is no evidence.
func (p *Proxy) recordRolloutOutcome(u *control.Upstream, request *hopv1.Request, frame *hopv1.Frame, failed bool, took time.Duration) {
	v := p.rollouts.view(u.Service)
	if v == nil || !v.Phase.Active() || frame.GetFailure().GetNotRun() {
		return
	}
	age := p.now() - time.Duration(p.upstreamSince.Load())
	p.metrics.recordRollout(u.Version == v.To, failed)
	p.rollouts.record(v.Request, request.Route, failed, took, u.Version != v.To || age >= slowStartOfVersion)
}

// record counts a run for a rollout request. Timed is clear if its time does not count.
func (r *rollouts) record(counted rollout.Request, route string, failed bool, took time.Duration, timed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil || !r.counted.Same(counted) {
		r.counted, r.counts = counted, map[string]rollout.Counts{}
	}
	if _, known := r.counts[route]; !known && len(r.counts) >= maxRolloutRoutes {
		route = ""
	}
	counts := r.counts[route]
	counts.Record(failed, took, timed)
	r.counts[route] = counts
}

// routeCounts returns the counts for a rollout request by route.
func (r *rollouts) routeCounts(counted rollout.Request) map[string]rollout.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil || !r.counted.Same(counted) {
		return map[string]rollout.Counts{}
	}
	return maps.Clone(r.counts)
}

// rolloutAttempt is what the attempts of a request have to do with a rollout.
type rolloutAttempt struct {
	// view is the rollout during the present attempt, or nil.
	view *rollout.View
	// exposed is set while the attempt uses exposure.
	exposed bool
	// triedNew is set once an attempt was made at an upstream of the new version.
	triedNew bool
}

// takeExposure takes exposure for an attempt at one of the candidates, and reports
// whether there was some.
func (f *forwarder) takeExposure(candidates []routing.Candidate) bool {
	if !f.mayBeExposed(candidates) {
		return false
	}
	r, v := f.proxy.rollouts, f.rollout.view
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.exposure(v, f.proxy.cfg.ExposeShare).Take(f.call.route.Name, rand.Float64()) {
		return false
	}
	f.rollout.exposed = true
	f.call.request.Exposed = v.Position.Version
	return true
}

// exposureChance returns the probability with which takeExposure would take exposure.
func (f *forwarder) exposureChance(candidates []routing.Candidate) float64 {
	r, v := f.proxy.rollouts, f.rollout.view
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.exposures[v.Service]
	if e == nil || !e.IsFor(v.Request) || !f.mayBeExposed(candidates) {
		return 0
	}
	return e.Chance(f.call.route.Name)
}

// mayBeExposed reports whether an attempt at one of the candidates may use exposure. A
// request that was tried at the new version is not sent there again.
func (f *forwarder) mayBeExposed(candidates []routing.Candidate) bool {
	return !f.rollout.triedNew && f.hasAvailable(candidates)
}

// chooseVersion records the version of the upstream that was chosen.
func (f *forwarder) chooseVersion(version string) {
	if v := f.rollout.view; v != nil && version == v.To {
		f.rollout.triedNew = true
	}
}

// settleRollout counts an attempt with the result: an answer of an upstream earns
// exposure, and exposure that was not used is given back.
func (f *forwarder) settleRollout(result result) {
	a := &f.rollout
	if a.view == nil || a.view.Phase.Final() {
		return
	}
	r := f.proxy.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.exposure(a.view, f.proxy.cfg.ExposeShare)
	if a.exposed && result == notSent && f.call.request.Exposed == a.view.Position.Version {
		e.Return()
	}
	a.exposed = false
	switch result {
	case answered, serverError, rejected:
		e.Answered(f.call.route.Name)
	}
}
