package freshness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// machine is a daemon of a replay, with its clock and configuration.
type machine struct {
	tracker *Tracker
	version int
	// offset and rate map true time to the machine's boot-time clock.
	offset time.Duration
	rate   float64
	// cutUntil is the true time until which it exchanges nothing with anyone.
	cutUntil time.Duration
}

func (m *machine) clock(at time.Duration) time.Duration {
	return m.offset + time.Duration(float64(at)*m.rate)
}

// event is something that happens at a true time.
type event struct {
	at time.Duration
	do func()
}

// replay is a store and machines with late, lost and reordered messages.
type replay struct {
	random   *rand.Rand
	now      time.Duration
	machines []*machine
	// accepted holds the true times at which the versions were accepted, by version.
	accepted []time.Duration
	// storeStart is what the store's clock shows at true time 0. It is not a whole
	// number of milliseconds.
	storeStart time.Duration
	events     []event
}

// between returns a random duration from low to high.
func (r *replay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// storeClock returns what the store's clock shows at a true time.
func (r *replay) storeClock(at time.Duration) time.Duration { return (r.storeStart + at).Truncate(ms) }

// newestAt returns the newest version that was accepted at a true time.
func (r *replay) newestAt(at time.Duration) int {
	newest := len(r.accepted) - 1
	for r.accepted[newest] > at {
		newest--
	}
	return newest
}

func (r *replay) later(after time.Duration, do func()) {
	r.events = append(r.events, event{r.now + after, do})
}

// run advances the time and performs the events that are due.
func (r *replay) run(by time.Duration) {
	r.now += by
	var due []event
	r.events = slices.DeleteFunc(r.events, func(e event) bool {
		if e.at <= r.now {
			due = append(due, e)
			return true
		}
		return false
	})
	for _, e := range due {
		e.do()
	}
}

// callStore lets a machine call the store. The answer may come late, or be read only
// after the machine was suspended; the configuration in it may not come into force.
func (r *replay) callStore(m *machine) {
	sent := m.clock(r.now)
	r.later(r.between(0, 2*time.Second), func() {
		answered := r.now
		delay := r.between(0, 300*ms)
		if r.random.IntN(10) == 0 {
			delay += r.between(0, 20*time.Second)
		}
		r.later(delay, func() {
			newest := r.newestAt(answered)
			if r.random.IntN(3) > 0 {
				m.version = max(m.version, newest)
			}
			a := answer(r.storeClock(answered), sent, m.clock(r.now))
			a.Newest = m.version >= newest
			m.tracker.StoreAnswered(a)
		})
	})
}

// ask lets a machine send a ping to a peer, whose answer has its proof. Now and then the
// peer's configuration is passed on, too.
func (r *replay) ask(m, peer *machine) {
	sent := m.clock(r.now)
	r.later(r.between(0, 200*ms), func() {
		proof, clock := peer.tracker.Report(peer.clock(r.now))
		version := peer.version
		r.later(r.between(0, 200*ms), func() {
			if clock > 0 {
				m.tracker.PeerClock(sent, (clock + ms - 1).Truncate(ms))
			}
			if r.random.IntN(8) == 0 {
				m.version = max(m.version, version)
			}
			if proof > 0 && version <= m.version {
				m.tracker.PeerProved(m.clock(r.now), proof.Truncate(ms))
			}
		})
	})
}

// TestNothingIsServedBeyondTheLimit replays daemons whose clocks run at different rates,
// and whose calls and messages are late, lost, reordered or read after a suspension. The
// store accepts new configurations, of which daemons learn late or never. No daemon may
// serve with a configuration later than the limit after a newer one was accepted.
func TestNothingIsServedBeyondTheLimit(t *testing.T) {
	const seeds, steps, reachStore = 40, 6000, 3
	largest := testLimit - Margin(testLimit)
	served, refused := 0, 0
	for seed := range uint64(seeds) {
		r := &replay{random: rand.New(rand.NewPCG(seed, 1)), accepted: []time.Duration{0, 0}}
		r.storeStart = r.between(time.Second, time.Hour)
		for range 5 {
			r.machines = append(r.machines, &machine{
				tracker: testTracker(), offset: r.between(0, time.Hour), rate: 1 + (r.random.Float64()-0.5)/driftDivisor, version: 1,
			})
		}
		for range steps {
			r.run(r.between(ms, 30*ms))
			if r.random.IntN(300) == 0 {
				r.accepted = append(r.accepted, r.now)
			}
			i := r.random.IntN(len(r.machines))
			m, peer := r.machines[i], r.machines[r.random.IntN(len(r.machines))]
			switch {
			case r.random.IntN(500) == 0:
				m.cutUntil = r.now + r.between(0, 30*time.Second)
			case r.now < m.cutUntil:
			case i < reachStore && r.random.IntN(8) == 0:
				r.callStore(m)
			case peer != m && r.now >= peer.cutUntil:
				r.ask(m, peer)
			}
			for i, m := range r.machines {
				until, proven := m.tracker.ServedUntil()
				if !proven || m.clock(r.now) > until {
					refused++
					continue
				}
				served++
				if next := m.version + 1; next < len(r.accepted) && r.now > r.accepted[next]+largest {
					t.Fatalf("seed %d: machine %d serves version %d %s after version %d was accepted", seed, i, m.version, r.now-r.accepted[next], next)
				}
			}
		}
	}
	if served < refused/20 || refused < served/20 {
		t.Errorf("%d steps with service and %d without: the replay shows little", served, refused)
	}
}

// fleet is a mesh in idle time: daemons exchange their states by pings only.
type fleet struct {
	*replay
	// reachesStore holds, by machine, whether the store answers it.
	reachesStore []bool
	// peers holds, by machine, the machines that it connects to.
	peers [][]int
	// nextPing is when a machine next pings its peers, by machine and peer.
	nextPing [][]time.Duration
	// reported is the last proof that a peer reported, by machine and peer.
	reported [][]time.Duration
	round    int
	// asked and read count the searches for a newer proof.
	asked, read int
}

const (
	// idlePing is the interval of pings on an idle connection, delay the one-way delay
	// of a message to another data centre.
	idlePing = 2 * time.Second
	delay    = 5 * ms
)

// newFleet returns a mesh of data centres of the given size in which the store answers
// the given machines. A machine connects to all of its data centre and to remote others.
func newFleet(seed uint64, centres, size, remote int, reaches func(i int) bool) *fleet {
	f := &fleet{replay: &replay{random: rand.New(rand.NewPCG(seed, 2)), accepted: []time.Duration{0}, storeStart: time.Hour}}
	count := centres * size
	for i := range count {
		f.machines = append(f.machines, &machine{
			tracker: NewTracker(Config{MaxAge: testLimit - Margin(testLimit), Share: f.random.Float64()}), offset: f.between(0, time.Hour), rate: 1,
		})
		f.reachesStore = append(f.reachesStore, reaches(i))
		var peers []int
		for j := range count {
			if j != i && j/size == i/size {
				peers = append(peers, j)
			}
		}
		for range remote {
			if j := f.random.IntN(count); j/size != i/size && !slices.Contains(peers, j) {
				peers = append(peers, j)
			}
		}
		f.peers = append(f.peers, peers)
		next := make([]time.Duration, len(peers))
		for k := range next {
			next[k] = f.between(0, idlePing)
		}
		f.nextPing = append(f.nextPing, next)
		f.reported = append(f.reported, make([]time.Duration, len(peers)))
	}
	return f
}

// ping lets machine i ping its peer k: both get the other's state.
func (f *fleet) ping(i, k int) {
	j := f.peers[i][k]
	m, peer := f.machines[i], f.machines[j]
	sent := m.clock(f.now)
	proof, _ := m.tracker.Report(sent)
	f.later(delay, func() {
		if proof > 0 {
			peer.tracker.PeerProved(peer.clock(f.now), proof)
		}
		proof, clock := peer.tracker.Report(peer.clock(f.now))
		f.later(delay, func() {
			if clock > 0 {
				m.tracker.PeerClock(sent, clock)
			}
			if proof > 0 {
				f.reported[i][k] = proof
				m.tracker.PeerProved(m.clock(f.now), proof)
			}
		})
	})
}

// poll lets the store answer a machine at once.
func (f *fleet) poll(i int) {
	m := f.machines[i]
	m.tracker.StoreAnswered(answer(f.storeClock(f.now), m.clock(f.now-2*delay), m.clock(f.now)))
}

// step advances the time by one tick of the daemons, and returns the largest age of a
// proof; a machine without one counts as unproven.
func (f *fleet) step(tick time.Duration, size int) (oldest time.Duration, unproven int) {
	f.run(tick)
	second := f.now / time.Second
	for i, m := range f.machines {
		for k := range f.peers[i] {
			if f.now >= f.nextPing[i][k] {
				f.nextPing[i][k] = f.now + idlePing
				f.ping(i, k)
			}
		}
		// The first two machines of a data centre that reach the store take turns.
		turn := 0
		for j := i - i%size; j < i; j++ {
			if f.reachesStore[j] {
				turn++
			}
		}
		if f.reachesStore[i] && turn < 2 && f.now/tick%(time.Second/tick) == 0 && int(second)%2 == turn {
			f.poll(i)
		}
		search := m.tracker.Next(m.clock(f.now))
		if search.Ask {
			f.askSources(i, size)
		}
		if search.Read {
			f.read++
			if f.reachesStore[i] {
				f.poll(i)
			}
		}
		age, proven := m.tracker.Age(m.clock(f.now))
		if !proven {
			unproven++
		}
		oldest = max(oldest, age)
	}
	return oldest, unproven
}

func (f *fleet) askSources(i, size int) {
	f.asked++
	f.round++
	sources := make([]Source, len(f.peers[i]))
	for k, j := range f.peers[i] {
		sources[k] = Source{Reachable: true, Local: j/size == i/size, StoreUnavailable: !f.reachesStore[j], Proof: f.reported[i][k]}
	}
	for _, k := range ChooseSources(sources, f.round) {
		f.ping(i, k)
	}
}

// TestProofReachesEveryDaemonInTime replays meshes in idle time, when no answers carry
// states: one of 60 daemons in four data centres of which a third, one whole data centre
// included, does not reach the store, and small ones. Each proof must be young enough
// that the daemon could serve for another 0.6 of the limit without contact.
func TestProofReachesEveryDaemonInTime(t *testing.T) {
	// maxSearches bounds how often each daemon asks in a second. Twice two pings with
	// their pongs are about 400 bytes.
	const tick, maxSearches = 50 * ms, 1.0
	for name, c := range map[string]struct {
		centres, size, remote int
		reaches               func(i int) bool
	}{
		"60 daemons, a third without the store":  {4, 15, 12, func(i int) bool { return i >= 20 }},
		"60 daemons":                             {4, 15, 12, func(int) bool { return true }},
		"9 daemons, a data centre without store": {3, 3, 6, func(i int) bool { return i >= 3 }},
		"9 daemons":                              {3, 3, 6, func(int) bool { return true }},
	} {
		for seed := range uint64(5) {
			f := newFleet(seed, c.centres, c.size, c.remote, c.reaches)
			settled := 5 * time.Second
			var oldest time.Duration
			for f.now < 60*time.Second {
				age, unproven := f.step(tick, c.size)
				if f.now < settled {
					continue
				}
				if f.asked+f.read > 0 && f.now-tick < settled {
					f.asked, f.read = 0, 0
				}
				oldest = max(oldest, age)
				if unproven > 0 {
					t.Fatalf("%s, seed %d: %d daemons without a proof after %s", name, seed, unproven, f.now)
				}
			}
			if allowed := testLimit - Margin(testLimit) - testLimit*6/10; oldest > allowed {
				t.Errorf("%s, seed %d: a proof is %s old, %s allowed", name, seed, oldest, allowed)
			}
			perSecond := float64(f.asked) / float64(len(f.machines)) / (60*time.Second - settled).Seconds()
			if perSecond > maxSearches || f.read > 0 {
				t.Errorf("%s, seed %d: each daemon asks %.2f times a second, %d reads of the store", name, seed, perSecond, f.read)
			}
		}
	}
}

// TestSearchIsBoundedWithoutTheStore replays a store that is unavailable for a minute.
// The daemons must neither flood each other nor the store, and serve again within 1.5 s
// of its return.
func TestSearchIsBoundedWithoutTheStore(t *testing.T) {
	const tick = 50 * ms
	available := true
	f := newFleet(1, 4, 15, 12, func(int) bool { return true })
	until := func(end time.Duration) (oldest time.Duration) {
		for f.now < end {
			for i := range f.reachesStore {
				f.reachesStore[i] = available
			}
			oldest, _ = f.step(tick, 15)
		}
		return oldest
	}
	until(10 * time.Second)
	available = false
	f.asked, f.read = 0, 0
	until(70 * time.Second)
	daemonSeconds := float64(len(f.machines) * 60)
	if asks, reads := float64(f.asked)/daemonSeconds, float64(f.read)/daemonSeconds; asks > 1.3 || reads > 0.2 {
		t.Errorf("each daemon asks %.2f times a second and reads %.2f times", asks, reads)
	}
	available = true
	if oldest := until(71*time.Second + 500*ms); oldest > testLimit-Margin(testLimit) {
		t.Errorf("the oldest proof is of %s ago", oldest)
	}
}

func TestSourcesAreThePromisingAndAnother(t *testing.T) {
	sources := []Source{
		{Reachable: true, Local: true, StoreUnavailable: true, Proof: 9},
		{Reachable: true, Proof: 5},
		{Reachable: true, Local: true, Proof: 5},
		{Reachable: false, Local: true, Proof: 20},
		{Reachable: true, Local: true, Proof: 4},
	}
	second := map[int]bool{}
	for round := range 6 {
		chosen := ChooseSources(sources, round)
		if len(chosen) != 2 || chosen[0] != 2 {
			t.Fatalf("round %d: chosen %v", round, chosen)
		}
		second[chosen[1]] = true
	}
	if len(second) != 3 || second[3] {
		t.Errorf("the others asked are %v, want each reachable one", second)
	}
	if got := ChooseSources(sources[3:4], 0); got != nil {
		t.Errorf("chosen %v without a reachable peer", got)
	}
	if got := ChooseSources(sources[:1], 7); len(got) != 1 {
		t.Errorf("chosen %v of one peer", got)
	}
}
