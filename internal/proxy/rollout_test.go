package proxy

import (
	"sync"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/admission"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
	"godwitmount/internal/rollout"
	"godwitmount/internal/routing"
	"godwitmount/internal/store"
)

// rolloutForwarder returns a forwarder of a call to service desk, of which a rollout from
// v1 to v2 is in the phase.
func rolloutForwarder(phase rollout.Phase) (*forwarder, []routing.Candidate) {
	p := &Proxy{cfg: Config{ExposeShare: 0.5}, routes: newRouteProfiles(), rollouts: newRollouts(0), epoch: time.Now()}
	views := map[string]*rollout.View{"desk": {Gated: true, Progress: rollout.Progress{
		Request: rollout.Request{Service: "desk", To: "v2", Position: store.Position{Version: 5}}, Phase: phase, From: []string{"v1"},
	}}}
	p.rollouts.views.Store(&views)
	f := &forwarder{proxy: p, call: &call{service: "desk", route: &manifest.CompiledRoute{Route: manifest.Route{Name: "r"}}, request: &hopv1.Request{}}}
	return f, []routing.Candidate{
		{Instance: "old", Version: "v1", Available: true, Local: true, Slots: 4},
		{Instance: "new", Version: "v2", Available: true, Slots: 4},
	}
}

// attemptAt replays one attempt with a result and returns the version that it was made
// at, and the exposure on the request.
func attemptAt(f *forwarder, candidates []routing.Candidate, r result) (version string, exposed uint64) {
	left := f.limitToRollout(candidates)
	if len(left) == 0 {
		return "", 0
	}
	f.chooseVersion(left[0].Version)
	exposed = f.call.request.Exposed
	f.settleRollout(r)
	return left[0].Version, exposed
}

// TestTrialUsesExposureOnce covers an entry daemon in the trial: answers earn exposure, a
// refusal gives it back, and after a failure on the new version the request goes to the old
// one.
func TestTrialUsesExposureOnce(t *testing.T) {
	f, candidates := rolloutForwarder(rollout.Trial)
	fresh := func() { f.rollout = rolloutAttempt{} }
	for i, c := range []struct {
		result result
		fresh  bool
		want   string
	}{
		{answered, true, "v1"},
		{answered, true, "v1"},
		{notSent, true, "v2"},
		{answered, false, "v1"},
		{serverError, true, "v2"},
		{answered, false, "v1"},
		{unknown, true, "v2"},
		{answered, true, "v1"},
	} {
		if c.fresh {
			fresh()
		}
		version, exposed := attemptAt(f, candidates, c.result)
		if version != c.want || (exposed == 5) != (c.want == "v2") {
			t.Fatalf("attempt %d: version %s, exposed %d; want %s", i+1, version, exposed, c.want)
		}
	}
}

// TestExposureIsThatOfItsRequest covers exposure that was earned for one rollout request
// and spent for another whose row has the same version: that of another service in the
// same transaction, and one that was written after the store came back from an older
// copy.
func TestExposureIsThatOfItsRequest(t *testing.T) {
	p := &Proxy{cfg: Config{ExposeShare: 0.5}, rollouts: newRollouts(0)}
	view := func(service, to string, era store.Era) *rollout.View {
		return &rollout.View{Progress: rollout.Progress{Request: rollout.Request{
			Service: service, To: to, Period: time.Second, Position: store.Position{Era: era, Version: 5},
		}}}
	}
	for range 20 {
		p.rollouts.exposure(view("desk", "v2", 0), 0.5).Answered("r")
	}
	for name, c := range map[string]struct {
		view *rollout.View
		want bool
	}{
		"another service":               {view("back", "v2", 0), false},
		"the same, again in a new era":  {view("desk", "v2", 1), true},
		"another version in a new era":  {view("desk", "v3", 1), false},
		"the first one after the other": {view("desk", "v2", 0), false},
	} {
		saved := p.rollouts.exposures["desk"]
		if name == "the first one after the other" {
			p.rollouts.exposure(view("desk", "v3", 1), 0.5)
		}
		if got := p.rollouts.exposure(c.view, 0.5).Take("r", 0); got != c.want {
			t.Errorf("%s: there is exposure %t, want %t", name, got, c.want)
		}
		p.rollouts.exposures["desk"] = saved
	}
}

// TestCountsAreThoseOfTheirRequest covers evidence that was counted for one rollout request
// and reported for another whose row has the same version, in a later era of the store.
func TestCountsAreThoseOfTheirRequest(t *testing.T) {
	r := newRollouts(0)
	request := rollout.Request{Service: "desk", To: "v2", Position: store.Position{Version: 5}}
	r.record(request, "r", true, time.Millisecond, true)
	if got := r.routeCounts(request)["r"].Failures; got != 1 {
		t.Errorf("%d failures counted, want 1", got)
	}
	later := request
	later.To, later.Position.Era = "v3", 1
	if got := r.routeCounts(later); len(got) > 0 {
		t.Errorf("the counts of another request are reported: %v", got)
	}
}

// TestPhasesChooseTheVersion covers the other phases, with no upstream of one version
// left.
func TestPhasesChooseTheVersion(t *testing.T) {
	for phase, want := range map[rollout.Phase][2]string{
		rollout.Full:     {"v2", ""},
		rollout.Reverted: {"v1", "v1"},
		rollout.StepTwo:  {"", "v1"},
	} {
		f, candidates := rolloutForwarder(phase)
		if version, _ := attemptAt(f, candidates, answered); want[0] != "" && version != want[0] {
			t.Errorf("%s: version %q, want %q", phase, version, want[0])
		}
		if version, _ := attemptAt(f, candidates[:1], answered); version != want[1] {
			t.Errorf("%s, old upstreams only: version %q, want %q", phase, version, want[1])
		}
	}
}

// TestUpstreamRefusesWithoutExposure covers the daemon beside an upstream, also after its
// process did not run for a while.
func TestUpstreamRefusesWithoutExposure(t *testing.T) {
	f, _ := rolloutForwarder(rollout.Trial)
	r := f.proxy.rollouts
	newOne, oldOne := &control.Upstream{Service: "desk", Version: "v2"}, &control.Upstream{Service: "desk", Version: "v1"}
	const pause = 1600 * time.Millisecond
	for name, c := range map[string]struct {
		upstream *control.Upstream
		exposed  uint64
		now      time.Duration
		want     code.Code
	}{
		"new, without exposure":     {newOne, 0, 0, code.CallNotExposed},
		"new, exposure of another":  {newOne, 4, 0, code.CallNotExposed},
		"new, with exposure":        {newOne, 5, 0, code.OK},
		"old":                       {oldOne, 0, 0, code.OK},
		"old, after a pause":        {oldOne, 0, pause, code.CallVersionClosed},
		"another service":           {&control.Upstream{Service: "back"}, 0, pause, code.OK},
		"new, exposed, after pause": {newOne, 5, pause, code.CallVersionClosed},
	} {
		if got := r.refusal(c.upstream, &hopv1.Request{Exposed: c.exposed}, func() time.Duration { return c.now }); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// TestPublicationAfterAPauseOpensNothing covers what the reducer publishes right after a
// pause, such as the loss of the last peer, in the phase in which the pause began.
func TestPublicationAfterAPauseOpensNothing(t *testing.T) {
	now := time.Hour
	clock := func() time.Duration { return now }
	p := &Proxy{rollouts: newRollouts(now), deps: Deps{BootClock: clock}, admissionController: admission.NewController(time.Now())}
	p.upstream.Store(&control.Upstream{Service: "desk", Version: "v1"})
	view := rollout.View{Progress: rollout.Progress{Request: rollout.Request{Service: "desk", To: "v2"}, Phase: rollout.Trial}}
	p.SetRollouts([]rollout.View{view})
	refusal := func() code.Code { return p.rollouts.refusal(p.upstream.Load(), &hopv1.Request{}, clock) }
	if got := refusal(); got != code.OK {
		t.Fatalf("before the pause: %s", got)
	}
	now += 8 * time.Second
	for range 20 {
		p.SetRollouts([]rollout.View{view})
		if got := refusal(); got != code.CallVersionClosed {
			t.Fatalf("%s after the pause: %s", now-time.Hour-8*time.Second, got)
		}
		now += 100 * time.Millisecond
	}
}

// TestConcurrentUpdatesEndInTheLastState covers the upstream's report and a phase of its rollout
// that arrive at the same time, on two goroutines. An admission controller that is opened by
// the older of the two states stays open in phase full, and the completion waits forever.
func TestConcurrentUpdatesEndInTheLastState(t *testing.T) {
	clock := func() time.Duration { return 0 }
	p := &Proxy{rollouts: newRollouts(0), deps: Deps{BootClock: clock}, admissionController: admission.NewController(time.Now())}
	view := func(phase rollout.Phase) []rollout.View {
		return []rollout.View{{Progress: rollout.Progress{Request: rollout.Request{Service: "desk", To: "v2"}, Phase: phase}}}
	}
	upstream := &control.Upstream{ID: "u", Service: "desk", Version: "v1", Slots: 4, State: control.UpstreamReady}
	p.upstream.Store(upstream)
	for i := range 20000 {
		p.SetRollouts(view(rollout.Trial))
		var both sync.WaitGroup
		both.Go(func() { p.upstream.Store(upstream); p.updateAdmission() })
		both.Go(func() { p.SetRollouts(view(rollout.Full)) })
		both.Wait()
		if p.admissionController.Load().Open {
			t.Fatalf("round %d: the admission controller is open in phase full", i)
		}
	}
}
