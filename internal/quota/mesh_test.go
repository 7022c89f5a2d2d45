package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// ownAfter, askLimit, relayLimit and pullLimit are those of package proxy.
	ownAfter   = 5 * ms
	askLimit   = 50 * ms
	relayLimit = 20 * ms
	pullLimit  = 200 * ms
)

var testParams = Params{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// mesh replays daemons in data centres on a virtual clock. Messages take the time of
// a network; connections fall silent and recover as the scenarios say.
type mesh struct {
	now    time.Duration
	rng    *rand.Rand
	queue  eventQueue
	serial int
	nodes  []*node
	byName map[string]*node
	dcs    int
	limits map[string]Limit
	// cut holds the pairs of data centres, and silent those of daemons, between which
	// messages are lost.
	cut    map[[2]int]bool
	silent map[[2]int]bool
	// notRun is the share of admitted requests that do not run.
	notRun float64
	// loss is the share of answers from other data centres that are lost.
	loss float64
	// slow is the share of messages that are delayed by up to 40 ms.
	slow  float64
	stats map[string]*stats
	// messages counts those to daemons of the same and of other data centres.
	messages, remoteMessages int
}

// stats is what became of one customer's requests.
type stats struct {
	sent, refused int
	// ran holds when the requests that ran were sent.
	ran []time.Duration
	// longest is the longest time that a request waited for its decision.
	longest time.Duration
}

type node struct {
	index, dc int
	name      string
	limiter   *Limiter
	// born is when the process started. It is dead if alive is not set, and does not
	// run while it is suspended; what it is to do is then in stalled.
	born      time.Duration
	alive     bool
	life      int
	suspended bool
	leaving   bool
	stalled   []func()
	up        map[int]bool
	// quiet holds the daemons that became unreachable without closing the connection.
	quiet   map[int]bool
	waiting map[string][]*waiter
}

type waiter struct {
	customer string
	sent     time.Duration
	// stalled is set for a request to a suspended daemon.
	stalled bool
	done    bool
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newMesh(seed uint64, dcs, perDC int, limits map[string]Limit) *mesh {
	m := &mesh{rng: rand.New(rand.NewPCG(seed, 1)), dcs: dcs, limits: limits, slow: 0.005, stats: map[string]*stats{},
		cut: map[[2]int]bool{}, silent: map[[2]int]bool{}, byName: map[string]*node{}}
	for name := range limits {
		m.stats[name] = &stats{}
	}
	for i := range dcs * perDC {
		m.nodes = append(m.nodes, &node{index: i, dc: i % dcs, name: fmt.Sprintf("dc%d-%d", i%dcs, i/dcs)})
	}
	for _, n := range m.nodes {
		m.byName[n.name] = n
		m.start(n)
	}
	return m
}

func (m *mesh) at(when time.Duration, run func()) {
	m.serial++
	heap.Push(&m.queue, event{at: max(when, m.now), serial: m.serial, run: run})
}

func (m *mesh) after(delay time.Duration, run func()) { m.at(m.now+delay, run) }

// between returns a random time between a and b.
func (m *mesh) between(a, b time.Duration) time.Duration {
	return a + time.Duration(m.rng.Int64N(int64(b-a)+1))
}

func (m *mesh) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = until
}

// on runs f on a daemon, later if the daemon is suspended and never if its process
// has ended by then.
func (m *mesh) on(n *node, f func()) {
	life := n.life
	checked := func() {
		if n.alive && n.life == life {
			f()
		}
	}
	if n.suspended {
		n.stalled = append(n.stalled, checked)
		return
	}
	checked()
}

// clock returns the time on a daemon's own clock.
func (m *mesh) clock(n *node) time.Duration { return m.now - n.born + time.Second }

// start starts a process. It reaches the others at once; they reach it when they next
// try to connect.
func (m *mesh) start(n *node) {
	n.alive, n.leaving, n.born, n.life = true, false, m.now, n.life+1
	n.quiet = map[int]bool{}
	n.up, n.waiting = map[int]bool{}, map[string][]*waiter{}
	n.limiter = New(Config{Instance: n.name, DataCentre: fmt.Sprint("dc", n.dc), Params: testParams})
	n.limiter.SetLimits(m.clock(n), m.limits)
	m.view(n)
	for _, other := range m.nodes {
		if other == n || !other.alive {
			continue
		}
		m.after(m.between(2*ms, 20*ms), func() { m.connect(n, other) })
		m.after(m.between(20*ms, 800*ms), func() { m.connect(other, n) })
	}
	m.after(m.between(ms, 100*ms), func() { m.tick(n, n.life) })
}

func (m *mesh) connect(n, to *node) {
	if !n.alive || !to.alive || m.lost(n, to) {
		return
	}
	if to.suspended || n.suspended {
		return
	}
	if !n.up[to.index] {
		n.up[to.index] = true
		m.view(n)
	}
}

// disconnect makes a daemon notice that another one does not answer.
func (m *mesh) disconnect(n, from *node) {
	m.on(n, func() {
		n.quiet[from.index] = from.alive
		if n.up[from.index] {
			n.up[from.index] = false
			m.view(n)
		}
	})
}

func (m *mesh) view(n *node) {
	v := View{Daemons: len(m.nodes), Leaving: n.leaving}
	for _, other := range m.nodes {
		if other != n && other.dc == n.dc {
			v.Members = append(v.Members, Member{Instance: other.name, Reachable: n.up[other.index], Silent: n.quiet[other.index], Leaving: other.leaving})
		}
	}
	for dc := range m.dcs {
		if dc != n.dc {
			v.Remote = append(v.Remote, fmt.Sprint("dc", dc))
		}
	}
	n.limiter.SetView(m.clock(n), v)
}

func (m *mesh) tick(n *node, life int) {
	if !n.alive || n.life != life {
		return
	}
	m.on(n, func() {
		for _, customer := range n.limiter.Tick(m.clock(n)) {
			if pull := n.limiter.BeginPull(m.clock(n), customer); pull != nil {
				m.pull(n, pull, 0)
			}
		}
		m.after(m.between(95*ms, 105*ms), func() { m.tick(n, life) })
	})
}

// pull asks the data centres one after another, beginning with dc, until the need is met.
func (m *mesh) pull(n *node, pull *Pull, dc int) {
	if dc == n.dc {
		dc++
	}
	if dc >= m.dcs || pull.Satisfied() {
		n.limiter.PullDone(m.clock(n), pull)
		return
	}
	var reachable []*node
	for _, other := range m.nodes {
		if other.dc == dc && n.up[other.index] {
			reachable = append(reachable, other)
		}
	}
	next := func(reply Reply, ok bool) {
		n.limiter.PullReplied(m.clock(n), pull, reply, ok)
		m.pull(n, pull, dc+1)
	}
	if len(reachable) == 0 {
		next(Reply{}, false)
		return
	}
	to := reachable[m.rng.IntN(len(reachable))]
	m.send(n, Message{To: to.name, Request: n.limiter.PullRequest(pull)}, pullLimit, next)
}

func (m *mesh) lost(a, b *node) bool {
	return m.cut[[2]int{a.dc, b.dc}] || m.silent[[2]int{a.index, b.index}]
}

func (m *mesh) delay(a, b *node) time.Duration {
	d := m.between(100*time.Microsecond, 700*time.Microsecond)
	if a.dc != b.dc {
		d += 2450 * time.Microsecond
	}
	if m.rng.Float64() < m.slow {
		d += m.between(0, 40*ms)
	}
	return d
}

// send sends a message and calls done once on the sender, with the reply, or without
// one when the limit has passed or the connection has been reset.
func (m *mesh) send(from *node, message Message, limit time.Duration, done func(Reply, bool)) {
	to := m.byName[message.To]
	if from.dc == to.dc {
		m.messages++
	} else {
		m.remoteMessages++
	}
	finished := false
	finish := func(reply Reply, ok bool) {
		m.on(from, func() {
			if !finished {
				finished = true
				done(reply, ok)
			}
		})
	}
	m.after(limit, func() { finish(Reply{}, false) })
	if m.lost(from, to) {
		return
	}
	m.after(m.delay(from, to), func() {
		if !to.alive {
			m.after(m.delay(to, from), func() { finish(Reply{}, false) })
			return
		}
		m.on(to, func() {
			m.handle(from, to, message.Request, func(reply Reply) {
				// The answer comes back on the connection that the sender has opened.
				if !m.lost(from, to) && (from.dc == to.dc || m.rng.Float64() >= m.loss) {
					m.after(m.delay(to, from), func() { finish(reply, true) })
				}
			})
		})
	})
}

func (m *mesh) handle(from, n *node, r Request, answer func(Reply)) {
	reply, forward := n.limiter.Handle(m.clock(n), from.name, r)
	if forward == nil {
		answer(reply)
		return
	}
	m.send(n, *forward, relayLimit, func(reply Reply, ok bool) {
		answer(n.limiter.Forwarded(m.clock(n), *forward, reply, ok))
	})
}

// request sends one request of a customer to a daemon.
func (m *mesh) request(n *node, customer string) {
	if !n.alive {
		return
	}
	w := &waiter{customer: customer, sent: m.now, stalled: n.suspended}
	m.stats[customer].sent++
	m.on(n, func() { m.decide(n, w, false) })
}

func (m *mesh) decide(n *node, w *waiter, again bool) {
	if w.done {
		return
	}
	d := n.limiter.Take(m.clock(n), w.customer, again)
	if !again {
		m.after(ownAfter, func() { m.on(n, func() { m.own(n, w) }) })
		m.after(askLimit, func() { m.on(n, func() { m.finish(n, w, Decision{Action: Refuse}) }) })
	}
	switch d.Action {
	case Admit, Refuse:
		m.finish(n, w, d)
	case Await:
		n.waiting[w.customer] = append(n.waiting[w.customer], w)
	case Ask:
		n.waiting[w.customer] = append(n.waiting[w.customer], w)
		m.send(n, d.Message, askLimit, func(reply Reply, ok bool) {
			n.limiter.Replied(m.clock(n), d.Message, reply, ok)
			waiting := n.waiting[w.customer]
			n.waiting[w.customer] = nil
			for _, other := range waiting {
				m.decide(n, other, true)
			}
		})
	}
}

func (m *mesh) own(n *node, w *waiter) {
	if w.done {
		return
	}
	if d := n.limiter.TakeOwn(m.clock(n), w.customer); d.Action == Admit {
		m.finish(n, w, d)
	}
}

func (m *mesh) finish(n *node, w *waiter, d Decision) {
	if w.done {
		return
	}
	w.done = true
	s := m.stats[w.customer]
	if !w.stalled {
		s.longest = max(s.longest, m.now-w.sent)
	}
	switch {
	case d.Action == Refuse && w.stalled:
	case d.Action == Refuse:
		s.refused++
	case m.rng.Float64() < m.notRun:
		m.after(m.between(ms, 400*ms), func() { m.on(n, func() { n.limiter.Return(m.clock(n), d.Token) }) })
	default:
		s.ran = append(s.ran, w.sent)
	}
}

// kill ends a process. The others notice when their connections are reset.
func (m *mesh) kill(n *node) {
	n.alive, n.suspended, n.stalled = false, false, nil
	for _, other := range m.nodes {
		if other != n && other.alive {
			m.after(m.between(ms, 5*ms), func() {
				if !n.alive {
					m.disconnect(other, n)
				}
			})
		}
	}
}

// leave begins a planned stop: the daemon tells the others.
func (m *mesh) leave(n *node) {
	n.leaving = true
	m.view(n)
	for _, other := range m.nodes {
		if other != n && other.alive && other.dc == n.dc {
			m.after(m.delay(n, other), func() { m.on(other, func() { m.view(other) }) })
		}
	}
}

// suspend stops a process for a time. The others find it silent.
func (m *mesh) suspend(n *node, pause time.Duration) {
	n.suspended = true
	for _, waiting := range n.waiting {
		for _, w := range waiting {
			w.stalled = true
		}
	}
	life := n.life
	for _, other := range m.nodes {
		if other == n || !other.alive {
			continue
		}
		noticed := m.between(400*ms, 1000*ms)
		if noticed < pause {
			m.after(noticed, func() {
				if n.life == life {
					m.disconnect(other, n)
				}
			})
		}
		m.after(pause+m.between(ms, 50*ms), func() {
			if n.life == life {
				m.connect(other, n)
			}
		})
	}
	m.after(pause, func() {
		if n.life != life {
			return
		}
		n.suspended = false
		stalled := n.stalled
		n.stalled = nil
		for _, f := range stalled {
			f()
		}
	})
}

// isolate cuts a data centre off from the others for a time.
func (m *mesh) isolate(dc int, duration time.Duration) {
	set := func(value bool) {
		for other := range m.dcs {
			if other != dc {
				m.cut[[2]int{dc, other}], m.cut[[2]int{other, dc}] = value, value
			}
		}
	}
	set(true)
	m.after(duration, func() { set(false) })
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			if a.dc != b.dc && (a.dc == dc || b.dc == dc) {
				m.after(m.between(400*ms, 1000*ms), func() {
					if m.lost(a, b) {
						m.disconnect(a, b)
					}
				})
				m.after(duration+m.between(50*ms, 900*ms), func() { m.connect(a, b) })
			}
		}
	}
}

// silence makes a share of the connections to a daemon fall silent for a time; both
// its own and those that others have opened.
func (m *mesh) silence(n *node, share float64, duration time.Duration) {
	for _, other := range m.nodes {
		for _, pair := range [][2]*node{{other, n}, {n, other}} {
			a, b := pair[0], pair[1]
			if a == b || m.rng.Float64() >= share {
				continue
			}
			key := [2]int{a.index, b.index}
			m.silent[key] = true
			m.after(m.between(400*ms, 900*ms), func() {
				if m.silent[key] {
					m.disconnect(a, b)
				}
			})
			m.after(duration, func() { delete(m.silent, key) })
			m.after(duration+m.between(20*ms, 400*ms), func() { m.connect(a, b) })
		}
	}
}

// setLimits puts limits in force on all daemons within 2.5 s.
func (m *mesh) setLimits(limits map[string]Limit) {
	m.limits = limits
	for _, n := range m.nodes {
		m.after(m.between(0, 2500*ms), func() {
			m.on(n, func() { n.limiter.SetLimits(m.clock(n), limits) })
		})
	}
}

// load is the requests of one customer: how many per second, at which daemons.
type load struct {
	customer string
	rate     func(now time.Duration) float64
	// weights is by daemon.
	weights []float64
}

// drive sends the requests of a customer at random times until the end.
func (m *mesh) drive(l *load, peak float64, end time.Duration) {
	var next func()
	next = func() {
		if m.now > end {
			return
		}
		m.after(time.Duration(m.rng.ExpFloat64()/peak*float64(time.Second)), func() {
			if m.rng.Float64() < l.rate(m.now)/peak {
				m.request(m.nodes[pick(m.rng, l.weights)], l.customer)
			}
			next()
		})
	}
	next()
}

func pick(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	draw := rng.Float64() * total
	for i, w := range weights {
		draw -= w
		if draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// uneven returns the weights of daemons whose traffic differs by up to spread times,
// in data centres with the given weights.
func (m *mesh) uneven(spread float64, dcs []float64) []float64 {
	weights := make([]float64, len(m.nodes))
	for i, n := range m.nodes {
		weights[i] = dcs[n.dc] * math.Pow(spread, m.rng.Float64())
	}
	return weights
}

// worst returns the largest number of requests that ran and were sent within one
// window that begins in [from, to).
func (s *stats) worst(window, from, to time.Duration) int {
	ran := slices.Clone(s.ran)
	slices.Sort(ran)
	most, end := 0, 0
	for i, at := range ran {
		for end < len(ran) && ran[end] < at+window {
			end++
		}
		if at >= from && at < to {
			most = max(most, end-i)
		}
	}
	return most
}

// bound returns the largest number of requests allowed in one window.
func bound(l Limit) float64 {
	return (l.Rate*testParams.Window.Seconds()+l.Burst)*(1+testParams.Excess) + testParams.Slack
}

// checkBound checks requirement 4 for each window, and returns the largest part of
// the bound that was used.
func (m *mesh) checkBound(t *testing.T, seed uint64, limits map[string]Limit, from, to time.Duration) float64 {
	t.Helper()
	used := 0.0
	for name, limit := range limits {
		worst := m.stats[name].worst(testParams.Window, from, to)
		used = max(used, float64(worst)/bound(limit))
		if float64(worst) > bound(limit) {
			t.Errorf("seed %d: %d requests of %s ran in a window, bound %.1f", seed, worst, name, bound(limit))
		}
	}
	return used
}

// checkWaits checks that no request waited for longer than askLimit.
func (m *mesh) checkWaits(t *testing.T, seed uint64) {
	t.Helper()
	for name, s := range m.stats {
		if s.longest > askLimit {
			t.Errorf("seed %d: a request of %s waited %v", seed, name, s.longest)
		}
	}
}
