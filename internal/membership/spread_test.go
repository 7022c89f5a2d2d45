package membership

import (
	"testing"
	"time"
)

// settle bounds how long a test network may take to reach a steady state.
const settle = 60 * time.Second

// steady returns a network in which all know all and are ready.
func steady(t testing.TB, seed uint64, size int, names ...string) *network {
	t.Helper()
	n := newNetwork(t, seed)
	n.dataCentres(size, names...)
	n.run(time.Second)
	for _, v := range n.nodes {
		n.announce(v, UpstreamReady)
	}
	n.until(settle, "all know all", n.whole)
	return n
}

func (n *network) announce(v *node, state UpstreamState) {
	n.step(v, UpstreamAnnounced{Service: "orders-desk", Slots: 10, State: state, TTL: time.Hour})
}

// givenCalls returns who would still give calls to v's upstream.
func (n *network) givenCalls(v *node) int {
	count := 0
	for _, other := range n.up() {
		r, _ := other.core.Lookup(v.cfg.Instance)
		if r.TakesCalls() {
			count++
		}
	}
	return count
}

func TestAllMeetFromOneSeed(t *testing.T) {
	n := newNetwork(t, 1)
	n.dataCentres(8, "dc-a", "dc-b", "dc-c")
	n.until(settle, "all know all", n.whole)
	for _, v := range n.nodes {
		if got := len(v.core.Records()); got != 24 {
			t.Errorf("%s has %d records, want 24", v.cfg.Instance, got)
		}
	}
}

func TestDrainIsKnownEverywhere(t *testing.T) {
	stops := map[string]func(*network, *node){
		"drain":  func(n *network, v *node) { n.announce(v, UpstreamDraining) },
		"leave":  func(n *network, v *node) { n.step(v, LeaveRequested{}) },
		"left":   func(n *network, v *node) { n.step(v, LeaveFinished{}) },
		"lapsed": lapse,
	}
	for name, stop := range stops {
		for _, loss := range []float64{0, 0.05} {
			n := steady(t, 2, 16, "dc-a", "dc-b", "dc-c")
			n.loss = loss
			v := n.nodes[30]
			stop(n, v)
			took := n.until(3*time.Second, name, func() bool { return n.givenCalls(v) == 0 })
			t.Logf("%s with loss %v: known by all 48 after %v", name, loss, took)
		}
	}
}

// lapse announces for a moment and waits for the announcement to run out.
func lapse(n *network, v *node) {
	n.step(v, UpstreamAnnounced{Service: "orders-desk", Slots: 10, State: UpstreamReady, TTL: testTick})
	n.run(2 * testTick)
	if got := v.core.Self().UpstreamState; got != UpstreamGone {
		n.t.Errorf("upstream state is %v after its announcement ran out, want gone", got)
	}
}

func TestLeftIsNeverTakenForDead(t *testing.T) {
	n := steady(t, 3, 12, "dc-a", "dc-b")
	v := n.nodes[5]
	n.step(v, LeaveFinished{})
	v.down = true
	n.run(time.Minute)
	for _, other := range n.up() {
		if !other.sees(v, Left) {
			t.Errorf("%s does not hold %s for left", other.cfg.Instance, v.cfg.Instance)
		}
		if other.counts["member-dead"] != 0 {
			t.Errorf("%s declared %d dead, want none", other.cfg.Instance, other.counts["member-dead"])
		}
	}
}

func TestLastOfADataCentreSaysGoodbye(t *testing.T) {
	n := steady(t, 6, 1, "dc-a", "dc-b", "dc-c")
	v := n.nodes[1]
	n.step(v, LeaveFinished{})
	v.down = true
	n.run(time.Second)
	if !n.allSee(v, Left) {
		t.Error("the other data centres were not told that the only daemon of one left")
	}
}

func TestLeavingInstanceThatFallsSilentHasLeft(t *testing.T) {
	n := steady(t, 7, 8, "dc-a", "dc-b")
	v := n.nodes[3]
	n.step(v, LeaveRequested{})
	n.run(3 * time.Second)
	v.down = true
	n.until(settle, "all hold it for left", func() bool { return n.allSee(v, Left) })
	if n.deaths() != 0 {
		t.Errorf("%d daemons took a planned stop for a death", n.deaths())
	}
}

func TestUpstreamChangesCrossDataCentres(t *testing.T) {
	n := steady(t, 4, 10, "dc-a", "dc-b", "dc-c")
	v := n.nodes[12]
	n.announce(v, UpstreamStarting)
	n.until(30*time.Second, "starting known", n.whole)
	n.announce(v, UpstreamReady)
	n.until(30*time.Second, "ready known", n.whole)
	if got := n.givenCalls(v); got != 30 {
		t.Errorf("%d of 30 give calls to an upstream that is ready again", got)
	}
}

func TestUrgentPacketsAreBounded(t *testing.T) {
	n := steady(t, 5, 40, "dc-a", "dc-b")
	n.run(time.Minute)
	before := map[*node]int{}
	for _, v := range n.nodes {
		before[v] = v.sentPackets
	}
	const window = 20 * time.Second
	for i, v := range n.nodes {
		n.push(time.Duration(i)*200*time.Millisecond, delivery{
			to: v.cfg.Address, from: v.cfg.Address,
			event: UpstreamAnnounced{Service: "orders-desk", Slots: 10, State: UpstreamDraining, TTL: time.Hour},
		})
	}
	n.run(window)
	for _, v := range n.nodes {
		// Each daemon pushes its own change, forwards with at most the burst
		// and the rate, and probes about four packets a second.
		limit := 40 + int(4*window.Seconds()) + 2*int(4*window.Seconds())
		if got := v.sentPackets - before[v]; got > limit {
			t.Errorf("%s sent %d packets, want at most %d", v.cfg.Instance, got, limit)
		}
	}
	n.until(settle, "all drains known", n.whole)
}
