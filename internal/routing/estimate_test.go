package routing

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet replays requests that many daemons place at the upstreams of one service,
// each with what it has heard in the answers to its own requests alone.
type fleet struct {
	random    *rand.Rand
	upstreams []replayedUpstream
	entries   [][]news
	ends      ends
	waited    int
	placed    int
}

type replayedUpstream struct {
	load, slots int
	hold        time.Duration
	// busyUntil is when each slot is free.
	busyUntil []time.Duration
}

type news struct {
	own    int
	others float64
	at     time.Duration
}

// end is a request that ends.
type end struct {
	at              time.Duration
	entry, upstream int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(entries, upstreams int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(5, 6))}
	speeds := []time.Duration{200 * ms, 300 * ms, 400 * ms}
	for i := range upstreams {
		f.upstreams = append(f.upstreams, replayedUpstream{slots: 9, hold: speeds[i%len(speeds)], busyUntil: make([]time.Duration, 9)})
	}
	for range entries {
		f.entries = append(f.entries, make([]news, upstreams))
	}
	return f
}

// place sends one request at a time.
func (f *fleet) place(now time.Duration) {
	for len(f.ends) > 0 && f.ends[0].at <= now {
		f.finish(heap.Pop(&f.ends).(end))
	}
	entry := f.random.IntN(len(f.entries))
	known := f.entries[entry]
	candidates := make([]Candidate, len(f.upstreams))
	for i := range f.upstreams {
		u := &f.upstreams[i]
		candidates[i] = Candidate{Near: true, Takes: true, Slots: u.slots, Hold: u.hold,
			Own: float64(known[i].own), Others: known[i].others, Age: now - known[i].at}
	}
	Estimate(candidates)
	f.start(now, entry, Choose(candidates, Ask{Bytes: 2000, Draw: f.random.Float64}))
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
	u.busyUntil[slot] = begin + time.Duration(f.random.ExpFloat64()*float64(u.hold))
	u.load++
	f.entries[entry][chosen].own++
	heap.Push(&f.ends, end{u.busyUntil[slot], entry, chosen})
}

func (f *fleet) finish(e end) {
	u := &f.upstreams[e.upstream]
	u.load--
	known := &f.entries[e.entry][e.upstream]
	known.own--
	known.others, known.at = float64(u.load-known.own), e.at
}

// TestManyDaemonsWithOldNews replays a data centre in which 24 daemons place
// requests at 19 upstreams that could take twice as many: few may wait.
func TestManyDaemonsWithOldNews(t *testing.T) {
	f := newFleet(24, 19)
	const perSecond, seconds = 300, 60
	for i := range perSecond * seconds {
		f.place(time.Duration(i) * time.Second / perSecond)
	}
	if share := float64(f.waited) / float64(f.placed); share > 0.06 {
		t.Errorf("%.3f of the requests waited for more than 50 ms", share)
	}
}
