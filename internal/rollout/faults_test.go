package rollout

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

var faultSeeds = flag.Int("fault-seeds", 30, "number of seeds of faults that are replayed")

// cluster replays the reducers of nine daemons in three data centres, two with an old
// upstream and one with a new one in each, through faults that a seed draws.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	nodes  []*node
	queue  []delivery
	// cut is the data centre that is cut off, and storeCut whether it also loses the
	// store; storeAway is set while the store answers nobody.
	cut       string
	storeCut  bool
	storeAway bool
	// loseAnswers makes the store perform writes without an answer, at once or late.
	loseAnswers bool
	// rows are the phase row and the version of both rows; request is that of the
	// request's row.
	saved   Saved
	version uint64
	request Request
	// final is the first final phase in the store.
	final string
	// bad is set if the new version fails from the start on, badFrom is when it begins to.
	bad     bool
	badFrom time.Duration
	// writing is called with each write, if set.
	writing func(*node, Write)
}

// node is one daemon and its upstream.
type node struct {
	instance, dc, version string
	core                  *Core
	alive                 bool
	view                  *View
	// reaches holds the peers that the daemon found reachable, noticeAt when it notices
	// that a peer is so no more.
	reaches  map[string]bool
	noticeAt map[string]time.Duration
	// cut is set while the daemon reaches no other one, storeCut while it does not reach the
	// store. Daemons with different numbers of a side do not reach each other either.
	cut, storeCut bool
	side          int
	// lag is how late the daemon notices a loss; 0 for a random time.
	lag time.Duration
	// pausedUntil is when the process that does not run goes on, steppedAt when it last ran.
	pausedUntil, steppedAt time.Duration
	age                    *ViewAge
	// ready is set once it has read the rollout requests; the upstream gets no calls before.
	ready bool
	// open is set while the upstream's admission controller is open; its last request
	// ends at closeAt.
	open    bool
	closeAt time.Duration
	// answers are those of the upstream, failing those from which on it fails.
	answers uint32
	failing uint32
	pinged  time.Duration
}

type delivery struct {
	at   time.Duration
	to   *node
	core *Core
	ev   step.Event
}

const clusterStep = 100 * time.Millisecond

// slots are those of an upstream by version: the three new ones can replace the six old
// ones.
var slots = map[string]int{"v1": 4, "v2": 8}

func newCluster(t *testing.T, seed uint64) *cluster { return newClusterOf(t, seed, 9) }

// newClusterOf returns a cluster of so many daemons, of which the last third is beside new
// upstreams.
func newClusterOf(t *testing.T, seed uint64, size int) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 7)), bad: seed%3 == 0,
		request: Request{Service: "desk", To: "v2", Period: 12 * time.Second, Position: store.Position{Version: 5}}}
	for i := range size {
		n := &node{instance: fmt.Sprint("i-", i), dc: string(rune('a' + i%3)), version: "v1"}
		if i >= size*2/3 {
			n.version = "v2"
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	return c
}

// start starts a daemon's process.
func (c *cluster) start(n *node) {
	n.core = New(Config{Instance: n.instance, DataCentre: n.dc, Service: "desk", Rollback: 5 * time.Second})
	n.alive, n.view, n.ready, n.open, n.answers, n.failing = true, nil, false, false, 0, 0
	n.reaches, n.noticeAt = map[string]bool{}, map[string]time.Duration{}
	n.age, n.steppedAt, n.pausedUntil = NewViewAge(c.now), c.now, 0
	members := MembersChanged{Complete: true}
	for _, other := range c.nodes {
		if other != n {
			members.Members = append(members.Members, Member{Instance: other.instance, DataCentre: other.dc, Service: "desk"})
		}
	}
	c.step(n, members)
	c.step(n, UpstreamChanged{Service: "desk", Version: n.version})
}

// linked reports whether two daemons reach each other.
func (c *cluster) linked(a, b *node) bool {
	return a.alive && b.alive && !a.cut && !b.cut && !c.paused(a) && !c.paused(b) && a.side == b.side && (a.dc == b.dc || a.dc != c.cut && b.dc != c.cut)
}

func (c *cluster) hasStore(n *node) bool {
	return !c.storeAway && !n.storeCut && !(c.storeCut && n.dc == c.cut)
}

// paused reports whether a process does not run.
func (c *cluster) paused(n *node) bool { return c.now < n.pausedUntil }

// send delivers an event to another process later.
func (c *cluster) send(to *node, ev step.Event) {
	c.queue = append(c.queue, delivery{c.now + time.Duration(c.random.IntN(200))*time.Millisecond, to, to.core, ev})
}

func (c *cluster) find(instance string) *node {
	return c.nodes[slices.IndexFunc(c.nodes, func(n *node) bool { return n.instance == instance })]
}

// step passes an event to a reducer and performs the effects.
func (c *cluster) step(n *node, ev step.Event) {
	for _, effect := range n.core.Step(step.Env{Now: c.now}, ev) {
		switch e := effect.(type) {
		case Publish:
			n.view = &e.Views[0]
			if e.NotifyPeers {
				c.notify(n)
			}
		case SendReport:
			for _, instance := range e.To {
				if to := c.find(instance); c.linked(n, to) {
					c.send(to, ReportReceived{Instance: n.instance, Report: e.Report})
				}
			}
		case ReadRows:
			ev := RowsRead{Statuses: map[string]StatusRow{"desk": {Version: c.version}}, Phases: map[string]PhaseRow{"desk": {Version: c.version, Saved: c.saved}}}
			if !c.hasStore(n) {
				ev = RowsRead{Err: store.ErrOutcomeUnknown}
			}
			c.send(n, ev)
		case Write:
			c.write(n, e)
		}
	}
}

// notify sends what a daemon knows to all that it reaches.
func (c *cluster) notify(n *node) {
	if n.view == nil || n.view.Unresolved {
		return
	}
	for _, other := range c.nodes {
		if other != n && c.linked(n, other) {
			c.send(other, ProgressReceived{Instance: n.instance, Progress: []Progress{n.view.Progress}})
		}
	}
}

// write performs a write at the store, perhaps late or without an answer.
func (c *cluster) write(n *node, e Write) {
	if c.writing != nil {
		c.writing(n, e)
	}
	phase, _ := ParsePhase(e.Saved.Phase)
	done := WriteDone{Service: "desk", Position: e.Request.Position, Phase: phase}
	switch {
	case !c.hasStore(n):
		done.Err = store.ErrOutcomeUnknown
	case c.loseAnswers:
		done.Err = store.ErrOutcomeUnknown
		if c.random.IntN(2) == 0 {
			c.apply(e)
			break
		}
		late := e
		c.queue = append(c.queue, delivery{at: c.now + time.Duration(c.random.IntN(4000))*time.Millisecond, ev: lateWrite(late)})
	default:
		if !c.apply(e) {
			done.Err = store.ErrConflict
			done.Current = Current{Status: &StatusRow{Version: c.version}, Phase: &PhaseRow{Version: c.version, Saved: c.saved}}
		}
		done.Version = c.version
	}
	c.send(n, done)
}

// lateWrite is a write that the store performs later.
type lateWrite Write

// EventName implements step.Event.
func (lateWrite) EventName() string { return "late-write" }

// apply performs a write if its condition holds, and checks what may be written.
func (c *cluster) apply(e Write) bool {
	if e.PhaseVersion != c.version || e.StatusVersion != c.version {
		return false
	}
	c.version++
	c.saved = e.Saved
	if c.final != "" && e.Saved.Phase != c.final {
		c.t.Errorf("at %s the store went from %s to %s", c.now, c.final, e.Saved.Phase)
	}
	if phase, _ := ParsePhase(e.Saved.Phase); phase.Final() {
		c.final = e.Saved.Phase
	}
	if e.Saved.Phase == Completed.String() {
		c.checkIdle()
	}
	return true
}

// checkIdle checks that no old upstream can get a request or still runs one.
func (c *cluster) checkIdle() {
	for _, n := range c.nodes {
		if n.version == "v1" && n.alive && (n.open || c.now < n.closeAt) {
			c.t.Errorf("at %s the rollout was completed while %s in %s (cut off: %q) is open %t and its requests end at %s",
				c.now, n.instance, n.dc, c.cut, n.open, n.closeAt)
		}
	}
}

// advance replays one step.
func (c *cluster) advance() {
	c.now += clusterStep
	due := c.queue
	c.queue = nil
	for _, d := range due {
		switch {
		case d.at > c.now, d.to != nil && c.paused(d.to):
			c.queue = append(c.queue, d)
		case d.to == nil:
			c.apply(Write(d.ev.(lateWrite)))
		case d.to.alive && d.to.core == d.core:
			c.run(d.to)
			c.step(d.to, d.ev)
		}
	}
	for _, n := range c.nodes {
		if n.alive && !c.paused(n) {
			c.advanceNode(n)
		}
	}
}

// run lets a process that may not have run go on, before anything else happens in it.
func (c *cluster) run(n *node) {
	if c.now-n.steppedAt > maxViewAge {
		c.step(n, step.Resumed{PausedFrom: n.steppedAt})
	}
	n.steppedAt = c.now
	n.age.Refresh(c.now)
}

// pause stops a process for a while. Its upstream goes on with the requests that it has.
func (c *cluster) pause(n *node, length time.Duration) {
	n.pausedUntil = c.now + length
	if n.open {
		n.open, n.closeAt = false, c.lastRequestEnds()
	}
}

func (c *cluster) lastRequestEnds() time.Duration {
	return c.now + time.Duration(300+c.random.IntN(1200))*time.Millisecond
}

// notices reports whether a daemon notices by now that a peer is reachable or not. A loss takes
// a while to be noticed.
func (c *cluster) notices(n, other *node, up bool) bool {
	if up {
		delete(n.noticeAt, other.instance)
		return !n.reaches[other.instance]
	}
	if !n.reaches[other.instance] {
		return false
	}
	if n.noticeAt[other.instance] == 0 {
		lag := time.Duration(c.random.IntN(2500)) * time.Millisecond
		n.noticeAt[other.instance] = c.now + cmp.Or(n.lag, lag)
	}
	return c.now >= n.noticeAt[other.instance]
}

func (c *cluster) advanceNode(n *node) {
	c.run(n)
	for _, other := range c.nodes {
		if up := c.linked(n, other); other != n && c.notices(n, other, up) {
			n.reaches[other.instance] = up
			c.step(n, PeerReachability{Instance: other.instance, Reachable: up})
			if up {
				c.step(n, PeerState{Instance: other.instance, Service: "desk", Version: other.version})
				c.notify(other)
			}
		}
	}
	if !n.ready && c.now > 300*time.Millisecond && c.hasStore(n) {
		n.ready = true
		c.step(n, RequestsRead{Requests: []Request{c.request}})
	}
	c.step(n, StoreAvailability{Unavailable: !c.hasStore(n)})
	open := n.ready && n.view != nil && n.view.Opens(n.version) && (!n.view.Phase.Active() || n.age.Current(c.now))
	if n.open && !open {
		n.closeAt = c.lastRequestEnds()
	}
	n.open = open
	if c.final == Completed.String() && open && n.version == "v1" {
		c.t.Errorf("at %s %s is open in phase %s after the completion", c.now, n.instance, n.view.Phase)
	}
	if n.view != nil && n.view.Phase.Active() {
		if c.now < c.badFrom {
			n.failing = n.answers
		}
		n.answers += 6
		counts := Counts{}
		for i := range n.answers {
			counts.Record(c.bad && n.version == "v2" && i >= n.failing && i%3 == 0, 200*time.Millisecond, true)
		}
		c.step(n, ReportReceived{Instance: n.instance, Report: Report{
			Service: "desk", Position: n.view.Position, Phase: n.view.Phase, Version: n.version, TakesWork: open, Slots: slots[n.version],
			Drained: !open && c.now >= n.closeAt, Routes: map[string]Counts{"r": counts},
		}})
	}
	c.step(n, step.Tick{})
	if c.now-n.pinged >= 2*time.Second {
		n.pinged = c.now
		c.notify(n)
	}
}

// drawFault begins or ends a fault.
func (c *cluster) drawFault() {
	switch c.random.IntN(7) {
	case 0:
		c.cut, c.storeCut = string(rune('a'+c.random.IntN(3))), c.random.IntN(2) == 0
	case 1:
		c.cut = ""
	case 2:
		c.storeAway = !c.storeAway
	case 3:
		c.loseAnswers = !c.loseAnswers
	case 4:
		c.nodes[c.random.IntN(len(c.nodes))].alive = false
	default:
		for _, n := range c.nodes {
			if !n.alive {
				c.start(n)
				return
			}
		}
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	c.cut, c.storeAway, c.loseAnswers = "", false, false
	c.healDaemons()
	for _, n := range c.nodes {
		if !n.alive {
			c.start(n)
		}
	}
}

// healDaemons ends the faults of single daemons that run.
func (c *cluster) healDaemons() {
	for _, n := range c.nodes {
		n.cut, n.storeCut, n.side = false, false, 0
		n.pausedUntil = min(n.pausedUntil, c.now)
	}
}

// TestRolloutThroughFaults replays rollouts through cuts, kills, restarts, and a store
// that is away, loses answers or performs writes late. The store never leaves a final
// state, nothing is completed while an old upstream is open or busy, and once the faults
// are over all daemons agree with the store.
func TestRolloutThroughFaults(t *testing.T) {
	var mu sync.Mutex
	results := map[string]int{}
	// The outer subtest ends once all seeds have been replayed.
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(*faultSeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				final := replayFaults(t, seed)
				mu.Lock()
				defer mu.Unlock()
				results[final]++
			})
		}
	})
	t.Logf("final states: %v", results)
}

// replayFaults replays the rollout of one seed and returns its final state at the store.
func replayFaults(t *testing.T, seed uint64) string {
	t.Helper()
	c := newCluster(t, seed)
	for c.now < 20*time.Second {
		c.advance()
		if c.now > time.Second && c.random.IntN(12) == 0 {
			c.drawFault()
		}
	}
	c.heal()
	for end := c.now + 20*time.Second; c.now < end; {
		c.advance()
	}
	want := Completed.String()
	if c.bad {
		want = Reverted.String()
	}
	if c.final != want {
		t.Errorf("seed %d: the store has %q, want %q; saved %+v", seed, c.final, want, c.saved)
		for _, n := range c.nodes {
			if s := n.core.services["desk"]; s != nil {
				t.Logf("%s: %s, coordinates %t, waits for %q, verdict %+v", n.instance, s.Phase, s.on, s.waiting, s.verdict)
			}
		}
	}
	for _, n := range c.nodes {
		if n.view == nil || n.view.Phase.String() != c.final {
			t.Errorf("seed %d: %s is in another phase than the store, %q", seed, n.instance, c.final)
		}
	}
	return c.final
}
