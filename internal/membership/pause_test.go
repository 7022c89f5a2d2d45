package membership

import (
	"testing"
	"time"

	"godwitmount/internal/step"
)

func TestFrozenDaemonDeclaresNobodyDead(t *testing.T) {
	for _, gap := range []time.Duration{4 * time.Second, 30 * time.Second, 10 * time.Minute} {
		n := steady(t, 18, 16, "dc-a", "dc-b")
		v := n.nodes[4]
		v.frozen = true
		n.run(gap)
		// Someone else dies meanwhile: its record must be news, not a guess.
		late := len(v.late)
		n.wake(v, gap)
		n.run(200 * time.Millisecond)
		n.wantSeen([]*node{v}, n.up(), Alive)
		n.until(settle, "woken daemon known as alive", n.whole)
		if v.counts["member-dead"] != 0 {
			t.Errorf("gap %v: the woken daemon declared %d dead (%d events waited)", gap, v.counts["member-dead"], late)
		}
	}
}

func TestDoubtsFromBeforeAPauseAreDropped(t *testing.T) {
	for offset := range 10 {
		n := steady(t, 25, 8, "dc-a")
		n.run(time.Duration(offset) * testTick)
		v, doubted := n.nodes[2], n.nodes[5]
		v.core.suspect(doubted.core.Self())
		v.frozen = true
		n.run(20 * time.Second)
		// What arrived meanwhile did not fit the socket's buffer.
		v.late = nil
		n.wake(v, 20*time.Second)
		if !v.sees(doubted, Alive) {
			t.Errorf("offset %d: the woken daemon still doubts %s", offset, doubted.cfg.Instance)
		}
		n.run(time.Second / 2)
		if got := v.counts["member-dead"]; got != 0 {
			t.Errorf("offset %d: the woken daemon declared %d dead", offset, got)
		}
		if got := v.counts["member-suspected"]; got != 0 {
			t.Errorf("offset %d: the woken daemon suspected %d on account of the gap", offset, got)
		}
	}
}

func TestPauseLapsesTheAnnouncement(t *testing.T) {
	n := steady(t, 19, 4, "dc-a")
	v := n.nodes[1]
	n.step(v, UpstreamAnnounced{Service: "orders-desk", Slots: 10, State: UpstreamReady, TTL: 10 * time.Second})
	v.frozen = true
	n.run(5 * time.Second)
	n.wake(v, 5*time.Second)
	if !v.core.Self().TakesCalls() {
		t.Error("the announcement lapsed before its upstream could renew it")
	}
	n.run(6 * time.Second)
	if v.core.Self().TakesCalls() {
		t.Error("an announcement from before the pause still holds")
	}
	n.step(v, UpstreamAnnounced{Service: "orders-desk", Slots: 10, State: UpstreamReady, TTL: 10 * time.Second})
	v.frozen = true
	n.run(15 * time.Second)
	n.wake(v, 15*time.Second)
	if v.core.Self().TakesCalls() {
		t.Error("an announcement that ran out during the pause still holds")
	}
}

func TestSlowDaemonDeclaresNobodyDead(t *testing.T) {
	n := steady(t, 20, 16, "dc-a")
	slow := n.nodes[3]
	// The slow daemon handles everything late: acks come after the timeouts.
	n.packets = func(from *node, send SendPacket) []time.Duration {
		if from == slow || send.Address == slow.cfg.Address {
			return []time.Duration{700 * time.Millisecond}
		}
		return []time.Duration{n.latency()}
	}
	n.run(3 * time.Minute)
	if got := slow.counts["member-dead"]; got != 0 {
		t.Errorf("the slow daemon declared %d dead", got)
	}
	if slow.core.LocalHealth() == 0 {
		t.Error("the slow daemon trusts its own timing")
	}
}

func TestLateDaemonDoesNotSuspectOthers(t *testing.T) {
	n := steady(t, 28, 16, "dc-a")
	late := n.nodes[3]
	for range 120 {
		late.frozen = true
		n.run(time.Second)
		late.frozen = false
		// The tick comes before the answers that waited.
		n.step(late, step.Tick{})
		waited := late.late
		late.late = nil
		for _, event := range waited {
			n.step(late, event)
		}
	}
	own := 0
	for _, v := range n.nodes {
		own += v.counts["member-refuted"]
	}
	if got := own - late.counts["member-refuted"]; got != 0 {
		t.Errorf("%d others had to refute a suspicion by the late daemon", got)
	}
	if n.deaths() != 0 {
		t.Errorf("%d instances were declared dead", n.deaths())
	}
}

func TestDeafDaemonHoldsBack(t *testing.T) {
	n := steady(t, 21, 16, "dc-a")
	deaf := n.nodes[3]
	n.cut = func(a, b *node) bool { return b == deaf && a != deaf || a == deaf && b != deaf }
	n.run(20 * time.Second)
	if got := deaf.counts["member-dead"]; got != 0 {
		t.Errorf("a daemon that hears nobody declared %d dead within 20 s", got)
	}
	n.cut = nil
	n.until(2*time.Minute, "it is back", n.whole)
}
