package proxy

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/freshness"
	"godwitmount/internal/hop"
	"godwitmount/internal/manifest"
	"godwitmount/internal/rollout"
	"godwitmount/internal/routing"
	"godwitmount/internal/status"
)

// explain returns the answer to a question without its times, which differ each time.
func explain(t *testing.T, p *Proxy, q status.RouteQuery) *status.Route {
	t.Helper()
	if q.Method == "" {
		q.Method = http.MethodPut
	}
	answer, err := p.ExplainRoute(&q)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestExplainedRefusalIsTheOneThatACallerGets compares the explanation of requests with
// what happens to them afterwards. An operator must not be told of a refusal, or of none,
// that callers don't see.
func TestExplainedRefusalIsTheOneThatACallerGets(t *testing.T) {
	unproven := func(p *Proxy) {
		p.deps.Freshness = freshness.NewSharedTracker(freshness.Config{MaxAge: time.Second}, func() time.Duration { return 0 })
	}
	for name, c := range map[string]struct {
		prepare   func(*Proxy)
		path, key string
		body      int
		// want is the result, and customer the customer by whose key it was found.
		want, customer string
	}{
		"served":              {nil, "/", "k1", 0, "", "north"},
		"without a limit":     {nil, "/", "k2", 0, "", "east"},
		"no key":              {nil, "/", "", 0, "call-unauthorized", ""},
		"unknown key":         {nil, "/", "k", 0, "call-unauthorized", ""},
		"no proof":            {unproven, "/", "k1", 0, "call-unproven", ""},
		"no proof and no key": {unproven, "/", "", 0, "call-unauthorized", ""},
		"no route":            {nil, "/a/../b", "k1", 0, "call-no-route", ""},
		"large":               {nil, "/", "k1", maxTestBody + 1, "call-body-too-large", "north"},
		"as large as allowed": {nil, "/", "k1", maxTestBody, "", "north"},
		"quota used up":       {func(p *Proxy) { send(t, p, 10, "b", "k1", "") }, "/", "k1", 0, "call-quota-exceeded", "north"},
		"draining":            {(*Proxy).CloseEntry, "/", "k1", 0, "call-draining", "north"},
		"draining, no key":    {(*Proxy).CloseEntry, "/", "", 0, "call-draining", ""},
		"no configuration":    {func(p *Proxy) { p.table.Store(nil) }, "/", "k1", 0, "call-not-ready", ""},
		"no upstream":         {func(p *Proxy) { p.SetUpstream(control.Upstream{}) }, "/", "k1", 0, "call-no-upstream", "north"},
		"an upstream that ends": {func(p *Proxy) {
			p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 4, State: control.UpstreamDraining})
		}, "/", "k1", 0, "call-no-upstream", "north"},
	} {
		p, _ := newQuotaProxy(t)
		p.cfg.ParentID = func(string) string { return "" }
		if c.prepare != nil {
			c.prepare(p)
		}
		answer := explain(t, p, status.RouteQuery{Path: c.path, Host: "h", Key: c.key, BodyBytes: int64(c.body)})
		got := ""
		if answer.Refusal != nil {
			got = answer.Refusal.Name
		}
		if got != c.want || answer.Customer != c.customer {
			t.Errorf("%s: explained as %q of customer %q, want %q of %q", name, got, answer.Customer, c.want, c.customer)
		}
		server := httptest.NewServer(p.Handler())
		r, err := http.NewRequest(http.MethodPut, server.URL, strings.NewReader(strings.Repeat("x", c.body)))
		if err != nil {
			t.Fatal(err)
		}
		r.URL.Opaque = c.path
		r.Header.Set("Customer-Key", c.key)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		server.Close()
		wantStatus := http.StatusOK
		if answer.Refusal != nil {
			wantStatus = answer.Refusal.Status
		}
		if strings.TrimSpace(string(text)) != got || response.StatusCode != wantStatus {
			t.Errorf("%s: the caller gets %d %q, explained as %d %q", name, response.StatusCode, text, wantStatus, got)
		}
		if encoded, _ := json.Marshal(answer); c.key != "" && strings.Contains(string(encoded), `"`+c.key+`"`) {
			t.Errorf("%s: the answer contains the key: %s", name, encoded)
		}
	}
}

// TestQuestionsAboutCustomersByName covers a customer that is given by name, also one that
// does not exist or has no key, and the key as a header of the request, which would be
// recorded.
func TestQuestionsAboutCustomersByName(t *testing.T) {
	p, _ := newQuotaProxy(t)
	answer := explain(t, p, status.RouteQuery{Path: "/", Customer: "north"})
	if answer.Customer != "north" || answer.Refusal != nil || answer.Quota == nil || answer.Quota.Decision != status.QuotaAdmit || answer.Quota.Burst != 10 {
		t.Errorf("customer %q, refusal %v, quota %+v", answer.Customer, answer.Refusal, answer.Quota)
	}
	for _, q := range []status.RouteQuery{
		{Method: "GET", Path: "/", Customer: "west"},
		{Method: "GET", Path: "/", Header: http.Header{"Customer-Key": {"k1"}}},
	} {
		if _, err := p.ExplainRoute(&q); err == nil || strings.Contains(err.Error(), "k1") {
			t.Errorf("%+v: error %v", q, err)
		}
	}
}

// TestQuestionsTakeNoTokens covers an operator who asks often about a customer that has ten
// requests left, and may then make all of them.
func TestQuestionsTakeNoTokens(t *testing.T) {
	p, _ := newQuotaProxy(t)
	for range 50 {
		if got := explain(t, p, status.RouteQuery{Path: "/", Key: "k1"}); got.Refusal != nil {
			t.Fatalf("refused: %+v", got.Refusal)
		}
	}
	if refused := send(t, p, 12, "a", "k1", ""); refused != 2 {
		t.Errorf("%d of 12 requests were refused, want 2", refused)
	}
	answer := explain(t, p, status.RouteQuery{Path: "/", Key: "k1"})
	if q := answer.Quota; q == nil || q.Decision != status.QuotaRefuse || q.WaitMS <= 0 || q.WaitMS > 1000 || !q.Held {
		t.Errorf("quota %+v, want a refusal and the next token within a second", q)
	}
}

// addPeer adds a peer with a state, which is reachable.
func addPeer(p *Proxy, instance, dataCentre string, state *hopv1.State) *peer {
	added := &peer{Member: control.Member{Instance: instance, DataCentre: dataCentre}, client: &hop.Client{}}
	added.up.Store(true)
	added.state.Store(&peerState{State: state, at: p.deps.Peers.now(), otherLoad: float64(state.GetRunning())})
	p.deps.Peers.all[instance] = added
	return added
}

// TestExplanationNamesWhyUpstreamsGetNoRequests covers each reason for which an upstream is
// passed over. The daemon's own one is chosen, and the explanation agrees with Choose.
func TestExplanationNamesWhyUpstreamsGetNoRequests(t *testing.T) {
	p, _ := newQuotaProxy(t)
	p.deps.Peers.self.DataCentre, p.cfg.DataCentre = "dc-a", "dc-a"
	state := func(change func(*hopv1.State)) *hopv1.State {
		s := &hopv1.State{Service: "s", TakesWork: true, Slots: 4, ServiceTimeUs: 900_000, Running: 3}
		change(s)
		return s
	}
	nothing := func(*hopv1.State) {}
	addPeer(p, "busy", "dc-a", state(nothing))
	addPeer(p, "other", "dc-a", &hopv1.State{Service: "another", TakesWork: true})
	addPeer(p, "draining", "dc-a", state(func(s *hopv1.State) { s.TakesWork, s.Leaving = false, true }))
	addPeer(p, "stopping", "dc-a", state(func(s *hopv1.State) { s.TakesWork, s.Stopping = false, true }))
	addPeer(p, "closed", "dc-a", state(func(s *hopv1.State) { s.TakesWork = false }))
	addPeer(p, "failing", "dc-a", state(func(s *hopv1.State) { s.FailuresPerMille = 900 }))
	addPeer(p, "without slots", "dc-a", state(func(s *hopv1.State) { s.Slots = 0 }))
	addPeer(p, "far and full", "dc-b", state(func(s *hopv1.State) { s.Running = 9 }))
	addPeer(p, "backed off", "dc-a", state(nothing)).backOff(p.deps.Peers.now() + time.Hour)
	addPeer(p, "down", "dc-a", state(nothing)).up.Store(false)
	silent := addPeer(p, "silent", "dc-b", state(nothing))
	silent.up.Store(false)
	silent.silent.Store(true)
	answer := explain(t, p, status.RouteQuery{Path: "/", Key: "k2"})
	choice := answer.Targets[0].Choices[0]
	want := map[string]string{
		"i": "", "busy": "", "draining": "draining", "stopping": "its daemon is stopping", "closed": "takes no requests",
		"failing": "failing", "without slots": "no slots", "far and full": "no free slot in the other data centre",
		"backed off": "backed off after a failed request", "down": "can't be reached", "silent": "silent",
	}
	for _, c := range choice.Candidates {
		reason, known := want[c.Instance]
		if !known || c.Reason != reason || c.Local != (c.DataCentre == "dc-a") {
			t.Errorf("candidate %+v, want reason %q", c, reason)
		}
		delete(want, c.Instance)
	}
	if len(want) > 0 || choice.Chosen != "i" {
		t.Errorf("missing %v, chosen %s (%s)", want, choice.Chosen, choice.Why)
	}
	delete(p.deps.Peers.all, "without slots")
	for _, state := range []control.UpstreamState{control.UpstreamReady, control.UpstreamDraining} {
		p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 4, State: state})
		choice = explain(t, p, status.RouteQuery{Path: "/", Key: "k2"}).Targets[0].Choices[0]
		candidates := p.candidates("s")
		chosen := candidates[routing.Choose(candidates, routing.PlacementRequest{Goal: 5 * time.Second, Rand: func() float64 { return 0.5 }})].Instance
		if first := choice.Candidates[0]; choice.Chosen != chosen || first.Instance != chosen || first.Rank != 1 || (chosen == "i") != (state == control.UpstreamReady) {
			t.Errorf("own upstream %s: chosen %s, first %+v, by Choose %s", state, choice.Chosen, first, chosen)
		}
	}
}

// TestExplanationOfASplit covers a route with two services, of which one has an upstream.
func TestExplanationOfASplit(t *testing.T) {
	p, _ := newQuotaProxy(t)
	table, err := manifest.Compile(&manifest.Manifest{
		Services: []manifest.Service{{Name: "s"}, {Name: "t"}},
		Routes:   []manifest.Route{{Name: "r", Split: []manifest.Share{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.SetTable(&Table{Table: table, Version: 3})
	answer := explain(t, p, status.RouteQuery{Path: "/"})
	if len(answer.Targets) != 2 || answer.Targets[0].Share != 0.75 || answer.Targets[1].Share != 0.25 {
		t.Fatalf("targets %+v", answer.Targets)
	}
	first, second := answer.Targets[0].Choices[0], answer.Targets[1].Choices[0]
	if first.Chosen != "i" || second.Chosen != "" || second.Refusal == nil || second.Refusal.Name != "call-no-upstream" || answer.Refusal != nil {
		t.Errorf("first %+v, second %+v, refusal %+v", first, second, answer.Refusal)
	}
}

// TestExplainedSetsAreThoseOfTheRollout compares the sets in the explanation with the
// candidates of many attempts in each phase: no attempt may get others, and the share of
// each set must be that of the attempts. Asking must neither take nor earn exposure.
func TestExplainedSetsAreThoseOfTheRollout(t *testing.T) {
	// In the trial, the mean of the answers by route is 2.5 and those of r are 4.
	for phase, chance := range map[rollout.Phase]float64{
		rollout.Trial: 2.5 / 4, rollout.StepOne: 0.25, rollout.StepTwo: 0.5, rollout.Full: 1, rollout.Reverted: 1, rollout.Completed: 1,
	} {
		f, candidates := rolloutForwarder(phase)
		f.rollout.view = f.proxy.rollouts.view("desk")
		exposure := f.proxy.rollouts.exposure(f.rollout.view, f.proxy.cfg.ExposeShare)
		for _, route := range []string{"r", "r", "r", "r", "rare"} {
			exposure.Answered(route)
		}
		before := *exposure
		drawn, other := f.placementSets(slices.Clone(candidates))
		if drawn.exposed {
			drawn.chance = f.exposureChance(drawn.candidates)
		}
		if !reflect.DeepEqual(before, *exposure) {
			t.Errorf("%s: the question changed the exposure", phase)
		}
		if drawn.chance != chance {
			t.Errorf("%s: chance %.3f, want %.3f", phase, drawn.chance, chance)
		}
		const attempts = 2000
		count := 0
		for range attempts {
			f.rollout = rolloutAttempt{}
			*exposure = before
			left := f.limitToRollout(slices.Clone(candidates))
			switch {
			case slices.EqualFunc(left, drawn.candidates, sameInstance):
				count++
			case !slices.EqualFunc(left, other.candidates, sameInstance):
				t.Fatalf("%s: an attempt among %+v, which is neither %+v nor %+v", phase, left, drawn, other)
			}
		}
		if share := float64(count) / attempts; share < drawn.chance-0.05 || share > drawn.chance+0.05 {
			t.Errorf("%s: %.2f of the attempts are among %+v", phase, share, drawn)
		}
	}
}

func sameInstance(a, b routing.Candidate) bool { return a.Instance == b.Instance }

// TestExplanationDuringARollout covers an operator who asks which version gets the request:
// each upstream is in one set, or is named as excluded.
func TestExplanationDuringARollout(t *testing.T) {
	p, _ := newQuotaProxy(t)
	p.cfg.ExposeShare = 0.1
	old := control.Upstream{ID: "u", StartTime: 1, Service: "s", Version: "v1", Slots: 4, State: control.UpstreamReady}
	p.SetUpstream(old)
	addPeer(p, "new", "", &hopv1.State{Service: "s", TakesWork: true, Slots: 4, UpstreamVersion: "v2"})
	addPeer(p, "denied", "", &hopv1.State{Service: "s", TakesWork: true, Slots: 4, UpstreamVersion: "v0"})
	type set struct {
		side, chosen string
		chance       float64
	}
	for phase, want := range map[rollout.Phase][]set{
		rollout.Trial:    {{"new", "new", 0}, {"old", "i", 1}},
		rollout.StepOne:  {{"new", "new", 0.25}, {"old", "i", 0.75}},
		rollout.Full:     {{"new", "new", 1}},
		rollout.Reverted: {{"any", "i", 1}},
	} {
		p.SetRollouts([]rollout.View{{Gated: true, Progress: rollout.Progress{
			Request: rollout.Request{Service: "s", To: "v2"}, Phase: phase, From: []string{"v1"}, Denied: []string{"v0"},
		}}})
		target := explain(t, p, status.RouteQuery{Path: "/", Key: "k2"}).Targets[0]
		var got []set
		instances := []string{}
		for _, choice := range target.Choices {
			got = append(got, set{choice.Side, choice.Chosen, choice.Chance})
			for _, c := range choice.Candidates {
				instances = append(instances, c.Instance)
			}
		}
		for _, c := range target.Excluded {
			instances = append(instances, c.Instance)
			if c.Rank != 0 || c.Reason == "" {
				t.Errorf("%s: excluded %+v", phase, c)
			}
		}
		slices.Sort(instances)
		if !slices.Equal(got, want) || !slices.Equal(instances, []string{"denied", "i", "new"}) {
			t.Errorf("%s: sets %+v, upstreams %v; want %+v", phase, got, instances, want)
		}
		if r := target.Rollout; r == nil || r.To != "v2" || r.Phase != phase.String() || r.NeedsExposure != (phase == rollout.Trial) {
			t.Errorf("%s: rollout %+v", phase, r)
		}
	}
}
