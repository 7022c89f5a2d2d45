package confsync

import (
	"fmt"
	"testing"
	"time"

	"godwitmount/internal/manifest"
)

const (
	// startTime is enough for a mesh to start and apply its first version.
	startTime = 20 * time.Second
	// flowTime is the part of a publish in which messages are disturbed.
	flowTime = 2 * time.Second
	// healTime is allowed for all to be at the newest version once healed.
	healTime = 30 * time.Second
)

// startedNetwork returns a network with the version "one" in force everywhere.
func startedNetwork(t testing.TB, names ...string) *network {
	t.Helper()
	n := newNetwork(t, names...)
	n.reach(startTime, n.accept("one"))
	return n
}

// reach lets time pass until all have a version in force.
func (n *network) reach(limit time.Duration, id manifest.ID) {
	n.t.Helper()
	if !n.run(limit, n.allAt(id)) {
		n.t.Fatalf("at %v: want all at %s, have %s", n.Now, id, n.applied())
	}
}

// disturbance is done to one message of a publish flow. It reports whether it
// took the message over.
type disturbance struct {
	name string
	do   func(n *network, d delivery) bool
}

// faultTime is how long a state of fault lasts.
const faultTime = 5 * time.Second

// carried delivers the message once with each further delay.
func carried(delays ...time.Duration) func(*network, delivery) bool {
	return func(n *network, d delivery) bool {
		sent := d.at
		for _, delay := range delays {
			d.at = sent + delay
			n.push(d)
		}
		return true
	}
}

// followed delivers the message and then does more; undo, if any, ends it.
func followed(more, undo func(n *network, to *node)) func(*network, delivery) bool {
	return func(n *network, d delivery) bool {
		n.push(d)
		n.At(d.at, func() { more(n, n.nodes[d.to]) })
		if undo != nil {
			n.At(d.at+faultTime, func() { undo(n, n.nodes[d.to]) })
		}
		return true
	}
}

// restored answers the first version as the head until the fault is over.
func restored(more func(n *network, to *node)) func(*network, delivery) bool {
	return func(n *network, d delivery) bool {
		newest := n.head
		return followed(func(n *network, to *node) {
			n.head = idOf(1, "one")
			more(n, to)
		}, func(n *network, _ *node) { n.head = newest })(n, d)
	}
}

func restart(n *network, to *node) { n.start(to.name) }

var disturbances = []disturbance{
	{"lost", carried()},
	{"repeated", carried(0, 3*time.Millisecond)},
	{"delayed past every timeout", carried(4 * time.Second)},
	{"crossed", carried(20 * time.Millisecond)},
	{"followed by a restart", followed(restart, nil)},
	{"followed by a restart without the platform", func(n *network, d delivery) bool {
		n.nodes[d.to].noPlatform = true
		return followed(restart, func(_ *network, to *node) { to.noPlatform = false })(n, d)
	}},
	{"followed by a pause", followed(func(n *network, to *node) { n.freeze(to.name, 6*time.Second) }, nil)},
	{"followed by a cut", followed(
		func(_ *network, to *node) { to.cut = true },
		func(_ *network, to *node) { to.cut = false })},
	{"followed by a platform outage", func(n *network, d delivery) bool {
		n.platformAway(true)
		return followed(func(*network, *node) {}, func(n *network, _ *node) { n.platformAway(false) })(n, d)
	}},
	{"followed by a restored table", restored(func(*network, *node) {})},
	{"followed by a restart on a restored table", restored(restart)},
}

func (n *network) platformAway(away bool) {
	for _, node := range n.nodes {
		node.noPlatform = away
	}
}

// TestEveryMessageOfAPublishDisturbed publishes two versions in a row and
// disturbs one message at a time, each in every way.
func TestEveryMessageOfAPublishDisturbed(t *testing.T) {
	messages := publishDisturbed(t, -1, disturbance{name: "none"})
	if messages < 50 {
		t.Fatalf("the flow has only %d messages", messages)
	}
	every := 1
	if testing.Short() {
		every = 7
	}
	for _, d := range disturbances {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for i := 0; i < messages; i += every {
				publishDisturbed(t, i, d)
			}
		})
	}
	t.Logf("%d messages, %d ways", messages, len(disturbances))
}

// publishDisturbed runs one flow and returns how many messages it had.
func publishDisturbed(t *testing.T, which int, d disturbance) int {
	t.Helper()
	n := startedNetwork(t, "k-1", "k-2", "k-3", "k-4", "p-1", "p-2", "p-3")
	count := 0
	n.intercept = func(m delivery) bool {
		count++
		return count-1 == which && d.do(n, m)
	}
	n.accept("two, longer")
	n.run(flowTime/4, nil)
	newest := n.head
	if newest.Version == 2 {
		newest = n.accept("three, a lot longer")
	}
	n.run(flowTime, nil)
	n.intercept = nil
	n.heal(t, which, d)
	return count
}

func (n *network) heal(t *testing.T, which int, d disturbance) {
	t.Helper()
	n.run(6*time.Second, nil)
	newest := n.head
	if newest.Version < 3 {
		newest = n.accept(fmt.Sprint("healed ", which))
	}
	if !n.run(healTime, n.allAt(newest)) {
		t.Fatalf("message %d %s: want all at %s, have %s", which, d.name, newest, n.applied())
	}
}

func TestPlatformReadsDoNotGrowWithTheFleet(t *testing.T) {
	const window = 60 * time.Second
	reads := map[int]int{}
	for _, size := range []int{12, 48, 96} {
		n := startedNetwork(t, names("k", size)...)
		n.headReads, n.objectReads = 0, 0
		n.run(window, nil)
		reads[size] = n.headReads + n.objectReads
	}
	t.Logf("reads in %v of simulated time by fleet size: %v", window, reads)
	if reads[96] > reads[12]*5/4 {
		t.Errorf("platform reads grow with the fleet: %v", reads)
	}
}

func names(dc string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", dc, i)
	}
	return list
}

func TestDataCentreCutOffFromThePlatformGetsVersionsOnce(t *testing.T) {
	n := startedNetwork(t, append(names("k", 8), names("p", 8)...)...)
	for _, node := range n.nodes {
		node.noPlatform = node.dc == "p"
	}
	n.run(10*time.Second, nil)
	const versions = 10
	n.remoteBodies = 0
	for i := range versions {
		n.reach(healTime, n.accept(fmt.Sprint("body ", i)))
		n.run(5*time.Second, nil)
	}
	t.Logf("%d bodies crossed the link for %d versions", n.remoteBodies, versions)
	if n.remoteBodies > versions*3/2 {
		t.Errorf("%d bodies crossed for %d versions", n.remoteBodies, versions)
	}
}

// TestDataCentreRestartedOnARestoredTable loses a whole data centre's memory
// while the platform offers an older head: the other data centre's daemons know
// better.
func TestDataCentreRestartedOnARestoredTable(t *testing.T) {
	n := startedNetwork(t, append(names("k", 8), names("p", 8)...)...)
	newest := n.accept("two")
	n.reach(startTime, newest)
	n.far = 600 * time.Millisecond
	n.head = idOf(1, "one")
	for _, name := range names("k", 8) {
		n.start(name)
	}
	n.reach(healTime, newest)
}

func TestStaleReadsNeverTurnADaemonBack(t *testing.T) {
	n := startedNetwork(t, append(names("k", 6), names("p", 6)...)...)
	n.staleReads = true
	for i := range 10 {
		n.reach(healTime, n.accept(fmt.Sprint("body ", i)))
		n.run(flowTime, nil)
	}
}

func TestFrozenThroughSeveralVersionsJumpsToTheNewest(t *testing.T) {
	n := startedNetwork(t, append(names("k", 4), names("p", 4)...)...)
	sleeper := n.nodes["k-2"]
	n.freeze(sleeper.name, 20*time.Second)
	sleeper.applies = 0
	for i := range 5 {
		n.accept(fmt.Sprint("body ", i))
		n.run(3*time.Second, nil)
	}
	if sleeper.core.Applied().Version != 1 {
		t.Fatalf("a frozen daemon applied %s", sleeper.core.Applied())
	}
	n.reach(healTime, n.head)
	if sleeper.applies > 1 {
		t.Errorf("the woken daemon applied %d versions on its way", sleeper.applies)
	}
}

func TestNoticesAloneReachEveryDaemon(t *testing.T) {
	n := startedNetwork(t, names("k", 60)...)
	n.quiet = true
	for i := range 10 {
		n.reach(flowTime, n.accept(fmt.Sprint("body ", i)))
	}
}

func TestOnlyTheVersionInForceKeepsItsTable(t *testing.T) {
	n := newNetwork(t, "k-1")
	for i := range 12 {
		n.reach(startTime, n.accept(fmt.Sprint("body ", i)))
	}
	core := n.nodes["k-1"].core
	if len(core.recent) != core.cfg.History || core.Table() == nil {
		t.Fatalf("%d versions kept, table %v", len(core.recent), core.Table())
	}
	for _, v := range core.recent[:len(core.recent)-1] {
		if v.table != nil || v.body == nil {
			t.Errorf("version %s: table kept %t, body kept %t", v.id, v.table != nil, v.body != nil)
		}
	}
}

func TestHerdStartsFromPeersFirst(t *testing.T) {
	const size = 100
	n := startedNetwork(t, names("k", size)...)
	first := n.head
	t.Logf("%d daemons from nothing: %d head reads, %d bodies from the platform", size, n.headReads, n.objectReads)
	if n.objectReads > size/10 {
		t.Errorf("%d of %d daemons read the body from the platform", n.objectReads, size)
	}
	n.headReads, n.objectReads = 0, 0
	for _, name := range n.order[:size/2] {
		n.start(name)
	}
	n.reach(startTime, first)
	t.Logf("half of them restarted: %d head reads, %d bodies from the platform", n.headReads, n.objectReads)
	if n.objectReads > 0 {
		t.Errorf("%d bodies read from the platform though peers had them", n.objectReads)
	}
}

func TestCompilePanicIsARefusal(t *testing.T) {
	for _, body := range []string{"bad manifest", "panic manifest"} {
		n := startedNetwork(t, names("k", 4)...)
		first := n.head
		n.accept(body)
		n.run(flowTime, nil)
		if !n.allAt(first)() {
			t.Fatalf("%s: %s", body, n.applied())
		}
		n.objectReads = 0
		n.run(flowTime, nil)
		if n.objectReads > 0 {
			t.Errorf("%s: fetched again %d times", body, n.objectReads)
		}
		n.reach(healTime, n.accept("good"))
	}
}

// TestStartWaitsForASlowPeer restarts a daemon while the platform is away, the
// one peer that has the newest version answers late, and another is behind.
func TestStartWaitsForASlowPeer(t *testing.T) {
	n := startedNetwork(t, "k-1", "p-1", "p-2")
	n.tune = func(cfg *Config) { cfg.StartWait = DefaultConfig().StartWait }
	n.freeze("p-1", 20*time.Second)
	newest := n.accept("two")
	n.run(3*time.Second, nil)
	n.nodes["k-1"].noPlatform = true
	n.nodes["p-1"].noPlatform = true
	n.freeze("p-2", 2*time.Second)
	n.nodes["p-1"].frozenUntil = n.Now
	n.start("k-1")
	n.reach(healTime, newest)
}
