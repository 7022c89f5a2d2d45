package routing

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates daemons that place requests at the upstreams of one service.
// Each daemon learns the load of an upstream only from the answers to its own
// requests.
type fleet struct {
	random    *rand.Rand
	upstreams []simulatedUpstream
	// entries holds, for each entry daemon, its last report of each upstream.
	entries     [][]report
	completions completions
	// placed counts all requests, waited those that waited for a slot for more
	// than 50 ms.
	waited int
	placed int
}

type simulatedUpstream struct {
	load, slots int
	serviceTime time.Duration
	// busyUntil is the time at which each slot becomes free.
	busyUntil []time.Duration
}

// report is the last reported load of an upstream at an entry daemon, and the
// number of that daemon's requests there.
type report struct {
	outstanding int
	otherLoad   float64
	// at is when the load was reported.
	at time.Duration
}

// completion is the end of a request.
type completion struct {
	at              time.Duration
	entry, upstream int
}

// completions is a heap with the earliest completion first.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newFleet(entries, upstreams int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(5, 6))}
	serviceTimes := []time.Duration{200 * ms, 300 * ms, 400 * ms}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, simulatedUpstream{slots: 9, serviceTime: serviceTimes[i%len(serviceTimes)], busyUntil: make([]time.Duration, 9)})
	}
	for range entries {
		f.entries = append(f.entries, make([]report, upstreams))
	}
	return f
}

// place sends one request from a random entry daemon, after the completions that
// are due.
func (f *fleet) place(now time.Duration) {
	for len(f.completions) > 0 && f.completions[0].at <= now {
		f.complete(heap.Pop(&f.completions).(completion))
	}
	entry := f.random.IntN(len(f.entries))
	reports := f.entries[entry]
	candidates := make([]Candidate, len(f.upstreams))
	for i := range f.upstreams {
		u := &f.upstreams[i]
		candidates[i] = Candidate{Local: true, Available: true, Slots: u.slots, ServiceTime: u.serviceTime,
			Outstanding: float64(reports[i].outstanding), OtherLoad: reports[i].otherLoad, ReportAge: now - reports[i].at}
	}
	EstimateLoads(candidates)
	f.start(now, entry, Choose(candidates, PlacementRequest{Bytes: 2000, Rand: f.random.Float64}))
}

func (f *fleet) start(now time.Duration, entry, chosen int) {
	u := &f.upstreams[chosen]
	slot := 0
	for i := range u.busyUntil {
		if u.busyUntil[i] < u.busyUntil[slot] {
			slot = i
		}
	}
	begin := max(now, u.busyUntil[slot])
	f.placed++
	if begin-now > 50*ms {
		f.waited++
	}
	u.busyUntil[slot] = begin + time.Duration(f.random.ExpFloat64()*float64(u.serviceTime))
	u.load++
	f.entries[entry][chosen].outstanding++
	heap.Push(&f.completions, completion{u.busyUntil[slot], entry, chosen})
}

func (f *fleet) complete(c completion) {
	u := &f.upstreams[c.upstream]
	u.load--
	last := &f.entries[c.entry][c.upstream]
	last.outstanding--
	last.otherLoad, last.at = float64(u.load-last.outstanding), c.at
}

// TestFewRequestsWaitDespiteOldReports simulates a data centre in which 24
// daemons place requests at 19 upstreams that could serve twice as many. Reports
// between any two daemons are rare; even so, few requests may wait for a slot.
func TestFewRequestsWaitDespiteOldReports(t *testing.T) {
	f := newFleet(24, 19)
	const perSecond, seconds = 300, 60
	for i := range perSecond * seconds {
		f.place(time.Duration(i) * time.Second / perSecond)
	}
	if share := float64(f.waited) / float64(f.placed); share > 0.06 {
		t.Errorf("%.3f of the requests waited for more than 50 ms", share)
	}
}

// TestSilenceDoesNotMakeARemoteUpstreamIdle covers another data centre whose upstreams
// are all full, of which one has not reported for long. If it counted as idle, requests
// of an overloaded service would be offered there in vain, one daemon after the other.
func TestSilenceDoesNotMakeARemoteUpstreamIdle(t *testing.T) {
	reported, silent := candidate("reported", false, 0, 90*ms), candidate("silent", false, 0, 90*ms)
	reported.OtherLoad, silent.OtherLoad = 12, 1
	silent.ReportAge = 5 * time.Second
	local := candidate("local", true, 40, 90*ms)
	local.Self = true
	candidates := []Candidate{local, reported, silent}
	EstimateLoads(candidates)
	if load := candidates[2].Load; load < 10 {
		t.Errorf("load %.1f is expected of the silent upstream, want that of its peers", load)
	}
	if got := Choose(candidates, PlacementRequest{Bytes: 2000, Rand: noExploration()}); got != 0 {
		t.Errorf("chose %d, want the local upstream while all others are full", got)
	}
	request := PlacementRequest{Bytes: 2000, Tried: []string{"local"}, Rand: noExploration()}
	if got := Choose(candidates, request); got != 2 {
		t.Errorf("chose %d, want the upstream that is not known to be full when no local one is left", got)
	}
}
