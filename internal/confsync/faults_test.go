package confsync

import (
	"fmt"
	"testing"
	"time"
)

const (
	// startTime is enough for a mesh to start and apply its first version.
	startTime = 20 * time.Second
	// flowTime is the part of a publish in which messages are disturbed.
	flowTime = 2 * time.Second
	// healTime is allowed for all to be at the newest version once healed.
	healTime = 30 * time.Second
)

// disturbance is done to one message of a publish flow. It reports whether it
// took the message over.
type disturbance struct {
	name string
	do   func(n *network, d delivery) bool
}

var disturbances = []disturbance{
	{"lost", func(*network, delivery) bool { return true }},
	{"repeated", func(n *network, d delivery) bool {
		n.push(d)
		d.at += 3 * time.Millisecond
		n.push(d)
		return true
	}},
	{"delayed past every timeout", func(n *network, d delivery) bool {
		d.at += 4 * time.Second
		n.push(d)
		return true
	}},
	{"crossed", func(n *network, d delivery) bool {
		d.at += 20 * time.Millisecond
		n.push(d)
		return true
	}},
	{"followed by a restart", func(n *network, d delivery) bool {
		n.push(d)
		n.at(d.at, func() { n.start(d.to) })
		return true
	}},
	{"followed by a restart without the platform", func(n *network, d delivery) bool {
		n.push(d)
		n.nodes[d.to].noPlatform = true
		n.at(d.at, func() { n.start(d.to) })
		n.at(d.at+5*time.Second, func() { n.nodes[d.to].noPlatform = false })
		return true
	}},
	{"followed by a pause", func(n *network, d delivery) bool {
		n.push(d)
		n.at(d.at, func() { n.freeze(d.to, 6*time.Second) })
		return true
	}},
	{"followed by a cut", func(n *network, d delivery) bool {
		n.push(d)
		n.at(d.at, func() { n.nodes[d.to].cut = true })
		n.at(d.at+5*time.Second, func() { n.nodes[d.to].cut = false })
		return true
	}},
	{"followed by a platform outage", func(n *network, d delivery) bool {
		n.push(d)
		n.platformAway(true)
		n.at(d.at+5*time.Second, func() { n.platformAway(false) })
		return true
	}},
	{"followed by a restored table", func(n *network, d delivery) bool {
		n.push(d)
		newest := n.head
		n.at(d.at, func() { n.head = idOf(1, "one") })
		n.at(d.at+5*time.Second, func() { n.head = newest })
		return true
	}},
	{"followed by a restart on a restored table", func(n *network, d delivery) bool {
		n.push(d)
		newest := n.head
		n.at(d.at, func() {
			n.head = idOf(1, "one")
			n.start(d.to)
		})
		n.at(d.at+5*time.Second, func() { n.head = newest })
		return true
	}},
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
	n := newNetwork(t, "k-1", "k-2", "k-3", "k-4", "p-1", "p-2", "p-3")
	first := n.accept("one")
	if !n.run(startTime, n.allAt(first)) {
		t.Fatalf("the mesh did not start: %s", n.applied())
	}
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
		n := newNetwork(t, names("k", size)...)
		if first := n.accept("one"); !n.run(startTime, n.allAt(first)) {
			t.Fatalf("%d daemons did not start", size)
		}
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
	n := newNetwork(t, append(names("k", 8), names("p", 8)...)...)
	if first := n.accept("one"); !n.run(startTime, n.allAt(first)) {
		t.Fatalf("the mesh did not start: %s", n.applied())
	}
	for _, node := range n.nodes {
		node.noPlatform = node.dc == "p"
	}
	n.run(10*time.Second, nil)
	const versions = 10
	n.remoteBodies = 0
	for i := range versions {
		newest := n.accept(fmt.Sprint("body ", i))
		if !n.run(healTime, n.allAt(newest)) {
			t.Fatalf("version %s: %s", newest, n.applied())
		}
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
	n := newNetwork(t, append(names("k", 8), names("p", 8)...)...)
	n.run(startTime, n.allAt(n.accept("one")))
	newest := n.accept("two")
	if !n.run(startTime, n.allAt(newest)) {
		t.Fatalf("the mesh did not start: %s", n.applied())
	}
	n.far = 600 * time.Millisecond
	n.head = idOf(1, "one")
	for _, name := range names("k", 8) {
		n.start(name)
	}
	if !n.run(healTime, n.allAt(newest)) {
		t.Fatalf("want all at %s, have %s", newest, n.applied())
	}
}

func TestStaleReadsNeverTurnADaemonBack(t *testing.T) {
	n := newNetwork(t, append(names("k", 6), names("p", 6)...)...)
	n.run(startTime, n.allAt(n.accept("one")))
	n.staleReads = true
	for i := range 10 {
		if newest := n.accept(fmt.Sprint("body ", i)); !n.run(healTime, n.allAt(newest)) {
			t.Fatalf("version %s: %s", newest, n.applied())
		}
		n.run(flowTime, nil)
	}
}

func TestFrozenThroughSeveralVersionsJumpsToTheNewest(t *testing.T) {
	n := newNetwork(t, append(names("k", 4), names("p", 4)...)...)
	n.run(startTime, n.allAt(n.accept("one")))
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
	if !n.run(healTime, n.allAt(n.head)) {
		t.Fatalf("want all at %s, have %s", n.head, n.applied())
	}
	if sleeper.applies > 1 {
		t.Errorf("the woken daemon applied %d versions on its way", sleeper.applies)
	}
}

func TestNoticesAloneReachEveryDaemon(t *testing.T) {
	n := newNetwork(t, names("k", 60)...)
	if first := n.accept("one"); !n.run(startTime, n.allAt(first)) {
		t.Fatalf("the mesh did not start: %s", n.applied())
	}
	n.quiet = true
	for i := range 10 {
		if newest := n.accept(fmt.Sprint("body ", i)); !n.run(flowTime, n.allAt(newest)) {
			t.Fatalf("version %s did not reach all: %s", newest, n.applied())
		}
	}
}

func TestOnlyTheVersionInForceKeepsItsTable(t *testing.T) {
	n := newNetwork(t, "k-1")
	for i := range 12 {
		if !n.run(startTime, n.allAt(n.accept(fmt.Sprint("body ", i)))) {
			t.Fatal(n.applied())
		}
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
	n := newNetwork(t, names("k", size)...)
	first := n.accept("one")
	if !n.run(startTime, n.allAt(first)) {
		t.Fatalf("the herd did not start: %s", n.applied())
	}
	t.Logf("%d daemons from nothing: %d head reads, %d bodies from the platform", size, n.headReads, n.objectReads)
	if n.objectReads > size/10 {
		t.Errorf("%d of %d daemons read the body from the platform", n.objectReads, size)
	}
	n.headReads, n.objectReads = 0, 0
	for _, name := range n.order[:size/2] {
		n.start(name)
	}
	if !n.run(startTime, n.allAt(first)) {
		t.Fatalf("the restarted half did not come back: %s", n.applied())
	}
	t.Logf("half of them restarted: %d head reads, %d bodies from the platform", n.headReads, n.objectReads)
	if n.objectReads > 0 {
		t.Errorf("%d bodies read from the platform though peers had them", n.objectReads)
	}
}

func TestCompilePanicIsARefusal(t *testing.T) {
	for _, body := range []string{"bad manifest", "panic manifest"} {
		n := newNetwork(t, names("k", 4)...)
		first := n.accept("one")
		n.run(startTime, n.allAt(first))
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
		if good := n.accept("good"); !n.run(healTime, n.allAt(good)) {
			t.Fatalf("%s: the next version did not come through: %s", body, n.applied())
		}
	}
}
