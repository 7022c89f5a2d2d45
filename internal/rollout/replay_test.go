package rollout

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

var replaySeeds = flag.Int("seeds", 3, "number of seeds that are replayed of each kind of rollout")

// fleet replays one rollout: a coordinator and the reports of all upstreams of the
// service. It stands for the data path with the shares that its phases name.
type fleet struct {
	random *rand.Rand
	core   *Core
	now    time.Duration
	period time.Duration
	old    []*replayed
	new    []*replayed
	// burst multiplies the requests, from burstFrom to burstTo.
	burst              float64
	burstFrom, burstTo time.Duration
	view               View
	// exposed counts the requests to the new version, requests all of them.
	exposed, requests float64
	badAnswers        int
	// fiftieth is when the new version gave its 50th bad answer, ended when the rollout
	// became final.
	fiftieth, ended time.Duration
	pending         []pendingWrite
}

type pendingWrite struct {
	at time.Duration
	ev WriteDone
}

// replayed is one upstream.
type replayed struct {
	instance, dataCentre string
	version              string
	speed                float64
	// failShare is its own share of failures, slowness a factor of its times.
	failShare, slowness float64
	// cutFrom is when its daemon is cut off for 5 s; 0 for never.
	cutFrom time.Duration
	counts  map[string]Counts
	sentAt  time.Duration
}

// fault is what is wrong with a version.
type fault struct {
	// from is when it begins.
	from time.Duration
	// route is the only one that it concerns, or "" for all.
	route string
	// fails and slows are the shares of answers that fail and that take slowness times
	// as long.
	fails, slows, slowness float64
	// minLoad is the number of requests at the upstream from which it shows.
	minLoad float64
}

const (
	replayRate  = 1570.0
	replaySlots = 13
	replayStep  = 50 * time.Millisecond
)

// replayRoutes are the routes with their shares of the requests and the work of one.
var replayRoutes = []struct {
	name  string
	share float64
	work  time.Duration
}{{"a", 0.55, 200 * time.Millisecond}, {"b", 0.25, 170 * time.Millisecond}, {"c", 0.18, 280 * time.Millisecond}, {"d", 0.02, 240 * time.Millisecond}}

func newFleet(seed uint64, upstreams int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), period: time.Duration(12+seed%5) * time.Second, burst: 1,
		core: New(Config{Instance: "coordinator", DataCentre: "a", Service: "desk", Rollback: 5 * time.Second}),
	}
	ownShare := 0.001 + 0.003*f.random.Float64()
	members := MembersChanged{Complete: true}
	for i := range 2 * upstreams {
		u := &replayed{instance: fmt.Sprint("i-", i), dataCentre: string(rune('a' + i%3)), version: "v1", speed: 0.5 + f.random.Float64(), failShare: ownShare, slowness: 1, counts: map[string]Counts{}}
		if i%2 == 0 {
			u.version = "v2"
			f.new = append(f.new, u)
		} else {
			f.old = append(f.old, u)
		}
		members.Members = append(members.Members, Member{Instance: u.instance, DataCentre: u.dataCentre, Service: "desk"})
	}
	f.step(members)
	for _, u := range append(f.old, f.new...) {
		f.step(PeerReachability{Instance: u.instance, Reachable: true})
		// Without the store the others do not coordinate before this daemon.
		f.step(PeerState{Instance: u.instance, Service: "desk", Version: u.version, StoreUnavailable: true})
	}
	f.step(RequestsRead{})
	f.step(RequestsRead{Requests: []Request{{Service: "desk", To: "v2", Period: f.period, Position: store.Position{Version: 5}}}})
	return f
}

// step passes an event to the coordinator and performs the effects.
func (f *fleet) step(ev step.Event) {
	for _, effect := range f.core.Step(step.Env{Now: f.now}, ev) {
		switch e := effect.(type) {
		case Publish:
			f.view = e.Views[0]
			if f.view.Phase.Final() && f.ended == 0 {
				f.ended = f.now
			}
		case ReadRows:
			f.step(RowsRead{})
		case Write:
			phase, _ := ParsePhase(e.Saved.Phase)
			f.pending = append(f.pending, pendingWrite{f.now + 60*time.Millisecond, WriteDone{Service: "desk", Position: e.Request.Position, Phase: phase, Version: 9}})
		}
	}
}

// run replays the rollout until it is final or the period has ended.
func (f *fleet) run(fault fault) {
	for f.now < f.period && !f.view.Phase.Final() {
		f.now += replayStep
		f.requestsFor(fault)
		f.report()
		if len(f.pending) > 0 && f.now >= f.pending[0].at {
			done := f.pending[0].ev
			f.pending = f.pending[1:]
			f.step(done)
		}
		f.step(step.Tick{})
	}
}

// requestsFor draws the requests of one step and their outcomes.
func (f *fleet) requestsFor(fault fault) {
	rate := replayRate
	if f.now >= f.burstFrom && f.now < f.burstTo {
		rate *= f.burst
	}
	share := f.view.Share(0.1)
	takers := f.new
	if f.view.Phase == Trial {
		var candidates []Participant
		for _, u := range f.new {
			candidates = append(candidates, Participant{Instance: u.instance, Slots: replaySlots, Load: rate * share * 0.2 / minParticipants})
		}
		chosen := Participants(candidates, 0.1)
		takers = nil
		for _, u := range f.new {
			if chosen[u.instance] {
				takers = append(takers, u)
			}
		}
	}
	if f.view.Phase == StepOne || f.view.Phase == StepTwo {
		takers = f.inStep(share)
	}
	total := rate * replayStep.Seconds()
	f.requests += total
	f.exposed += total * share
	f.give(takers, total*share, &fault)
	f.give(f.old, total*(1-share), nil)
}

// inStep returns the new upstreams that get requests in a step with the share: the
// entry daemons choose them in each data centre.
func (f *fleet) inStep(share float64) []*replayed {
	local := map[string][]string{}
	for _, u := range f.new {
		local[u.dataCentre] = append(local[u.dataCentre], u.instance)
	}
	chosen := map[string]bool{}
	for _, instances := range local {
		maps.Copy(chosen, InStep(instances, share))
	}
	var takers []*replayed
	for _, u := range f.new {
		if chosen[u.instance] {
			takers = append(takers, u)
		}
	}
	return takers
}

// give gives requests to upstreams. The fault is that of the version, nil for none.
func (f *fleet) give(upstreams []*replayed, total float64, fault *fault) {
	each := total / float64(len(upstreams))
	for _, u := range upstreams {
		load := each / replayStep.Seconds() * 0.22 / u.speed
		for _, route := range replayRoutes {
			for range f.poisson(each * route.share) {
				failed := f.random.Float64() < u.failShare
				took := route.work.Seconds() * u.slowness / u.speed * math.Exp(0.5*f.random.NormFloat64())
				if f.random.Float64() < 0.01 {
					took *= 3 + 2*f.random.Float64()
				}
				if fault != nil && f.now >= fault.from && (fault.route == "" || fault.route == route.name) && load >= fault.minLoad {
					bad := f.random.Float64() < fault.fails
					failed = failed || bad
					if f.random.Float64() < fault.slows {
						took *= fault.slowness
						bad = true
					}
					if bad {
						f.badAnswers++
						if f.badAnswers == 50 {
							f.fiftieth = f.now
						}
					}
				}
				counts := u.counts[route.name]
				counts.Record(failed, time.Duration(took*float64(time.Second)), f.now > 3*time.Second || u.version == "v1")
				u.counts[route.name] = counts
			}
		}
	}
}

func (f *fleet) poisson(mean float64) int {
	limit, n, product := math.Exp(-mean), 0, f.random.Float64()
	for product > limit {
		n++
		product *= f.random.Float64()
	}
	return n
}

// report sends the reports that are due.
func (f *fleet) report() {
	for _, u := range append(f.old, f.new...) {
		interval := oldReportInterval
		if u.version == "v2" {
			interval = newReportInterval
		}
		if u.cutFrom > 0 && f.now >= u.cutFrom && f.now < u.cutFrom+5*time.Second || f.now-u.sentAt < interval {
			continue
		}
		u.sentAt = f.now
		routes := map[string]Counts{}
		for name, counts := range u.counts {
			routes[name] = counts
		}
		closed := f.view.Phase == Full && u.version == "v1"
		f.step(ReportReceived{Instance: u.instance, Report: Report{
			Service: "desk", Position: f.view.Position, Phase: f.view.Phase, Version: u.version, TakesWork: !closed, Slots: replaySlots, Routes: routes,
			Drained: closed && f.core.now-f.core.services["desk"].phaseAt > 1500*time.Millisecond,
		}})
	}
	f.step(ReportReceived{Instance: "coordinator", Report: Report{Service: "desk", Position: f.view.Position, Phase: f.view.Phase, Drained: f.view.Phase == Full}})
}

// replayCase is a kind of rollout.
type replayCase struct {
	name  string
	bad   bool
	fault fault
	setUp func(*fleet)
}

var replayCases = []replayCase{
	{name: "good"},
	{name: "good under a burst", setUp: func(f *fleet) { f.burst, f.burstFrom, f.burstTo = 2.5, 2*time.Second, 6*time.Second }},
	{name: "good, one old upstream 4 times slower", setUp: func(f *fleet) { f.old[3].slowness = 4 }},
	{name: "good, one new upstream 4 times slower", setUp: func(f *fleet) { f.participants()[0].slowness = 4 }},
	{name: "good, upstreams of both versions fail", setUp: func(f *fleet) {
		f.old[5].failShare, f.old[9].failShare, f.participants()[1].failShare = 0.3, 0.3, 0.3
	}},
	{name: "good, beside a cut", setUp: func(f *fleet) {
		for i, u := range append(f.old, f.new...) {
			if i%3 == 1 {
				u.cutFrom = 2 * time.Second
			}
		}
	}},
	{name: "failures at once", bad: true, fault: fault{fails: 0.3}},
	{name: "few failures at once", bad: true, fault: fault{fails: 0.08}},
	{name: "failures later", bad: true, fault: fault{from: 4 * time.Second, fails: 0.25}},
	{name: "some slow at once", bad: true, fault: fault{slows: 0.3, slowness: 5}},
	{name: "all slow at once", bad: true, fault: fault{slows: 1, slowness: 4}},
	{name: "all 3 times slower", bad: true, fault: fault{slows: 1, slowness: 3}},
	{name: "few failures from the third second", bad: true, fault: fault{from: 3 * time.Second, fails: 0.05}},
	{name: "failures under load from the seventh second", bad: true, fault: fault{from: 6500 * time.Millisecond, fails: 0.3, minLoad: 5.5}},
	{name: "some slow later", bad: true, fault: fault{from: 4 * time.Second, slows: 0.4, slowness: 4}},
	{name: "failures under load", bad: true, fault: fault{fails: 0.3, minLoad: 5.5}},
	{name: "failures on the rarest route", bad: true, fault: fault{route: "d", fails: 0.5}},
	{name: "slow on the rarest route", bad: true, fault: fault{route: "d", slows: 1, slowness: 5}},
	{name: "failures beside a bad old upstream", bad: true, fault: fault{fails: 0.1}, setUp: func(f *fleet) { f.old[5].failShare = 0.5 }},
}

// participants returns the new upstreams that take part in the trial first.
func (f *fleet) participants() []*replayed {
	var candidates []Participant
	for _, u := range f.new {
		candidates = append(candidates, Participant{Instance: u.instance, Slots: replaySlots})
	}
	chosen := Participants(candidates, 0.1)
	var all []*replayed
	for _, u := range f.new {
		if chosen[u.instance] {
			all = append(all, u)
		}
	}
	return all
}

// TestVerdictErrorRates replays rollouts of each kind over many seeds. It prints and
// checks how many bad versions are completed or not found in time, and how many good
// ones are reverted or not completed within the period.
func TestVerdictErrorRates(t *testing.T) {
	seeds := uint64(*replaySeeds)
	for _, c := range replayCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wrong, late, overExposed := 0, 0, 0
			exposed, ended, largest := 0.0, time.Duration(0), time.Duration(0)
			for seed := range seeds {
				f := newFleet(seed, 49)
				if c.setUp != nil {
					c.setUp(f)
				}
				f.run(c.fault)
				exposed += f.exposed / float64(seeds)
				ended += f.ended / time.Duration(seeds)
				largest = max(largest, f.ended)
				switch {
				case c.bad && f.view.Phase != Reverted, !c.bad && f.view.Phase != Completed:
					wrong++
					t.Logf("seed %d: %s after %s, period %s, score %.1f: %s, waits for %s", seed, f.view.Phase, f.now, f.period,
						f.core.services["desk"].verdict.Score, f.view.Reason, f.core.services["desk"].waiting)
				case c.bad && f.fiftieth > 0 && f.ended > f.fiftieth+4500*time.Millisecond:
					late++
				}
				total := f.requests / f.now.Seconds() * f.period.Seconds()
				if c.bad && f.exposed > 0.1*total+50 {
					overExposed++
				}
			}
			t.Logf("%d seeds: %d wrong, %d late, %d exposed too much; mean %.0f requests to the new version, final after %s, at most %s",
				seeds, wrong, late, overExposed, exposed, ended.Round(time.Millisecond), largest)
			if wrong > 0 || late > 0 || overExposed > 0 {
				t.Error("a version was judged wrongly, late, or at too high a price")
			}
		})
	}
}
