package membership

import (
	"testing"
	"time"
)

func TestCutDataCentreKeepsItsRecordsAndHeals(t *testing.T) {
	n := steady(t, 13, 12, "dc-a", "dc-b", "dc-c")
	n.cut = func(a, b *node) bool {
		return a.cfg.DataCentre != b.cfg.DataCentre && (a.cfg.DataCentre == "dc-a" || b.cfg.DataCentre == "dc-a")
	}
	n.run(5 * time.Minute)
	n.wantSeen(n.nodes, n.nodes, Alive)
	moved := n.nodes[0]
	n.announce(moved, UpstreamDraining)
	n.run(10 * time.Second)
	if got := n.givenCalls(moved); got != 24 {
		t.Errorf("%d give calls to the drained upstream, want the 24 that are cut off", got)
	}
	n.cut = nil
	took := n.until(30*time.Second, "healed", n.whole)
	t.Logf("36 daemons agree %v after the cut healed", took)
}

func TestRecordsPassAroundACutLink(t *testing.T) {
	n := steady(t, 14, 6, "dc-a", "dc-b", "dc-c")
	n.cut = func(a, b *node) bool {
		pair := a.cfg.DataCentre + b.cfg.DataCentre
		return pair == "dc-adc-b" || pair == "dc-bdc-a"
	}
	n.announce(n.nodes[0], UpstreamDraining)
	took := n.until(90*time.Second, "drain known through the third data centre", func() bool {
		return n.givenCalls(n.nodes[0]) == 0
	})
	t.Logf("known around the cut link after %v", took)
}

func TestCutInsideADataCentreHeals(t *testing.T) {
	n := steady(t, 15, 20, "dc-a")
	side := map[string]bool{}
	for _, v := range n.nodes[:6] {
		side[v.cfg.Instance] = true
	}
	n.cut = func(a, b *node) bool { return side[a.cfg.Instance] != side[b.cfg.Instance] }
	n.until(3*time.Minute, "each side holds the other for dead", func() bool {
		for _, a := range n.nodes {
			for _, b := range n.nodes {
				if side[a.cfg.Instance] != side[b.cfg.Instance] && !a.sees(b, Dead) {
					return false
				}
			}
		}
		return true
	})
	n.run(10 * time.Minute)
	n.cut = nil
	before := n.deaths()
	took := n.until(2*time.Minute, "sides merged", n.whole)
	t.Logf("20 daemons agree %v after the cut healed", took)
	n.run(time.Minute)
	if !n.whole() {
		t.Error("the sides fell apart again")
	}
	if again := n.deaths() - before; again != 0 {
		t.Errorf("%d deaths were declared after the cut had healed", again)
	}
}

func TestCutInsideADataCentreRemovesNobodyElsewhere(t *testing.T) {
	// How many seconds, summed over the larger side's instances, an outsider
	// may hold them for dead in 300 s. A side of nearly half gets one death
	// believed before it is seen to be cut off; of equal halves none is larger.
	allowed := map[int]int{1: 0, 3: 0, 5: 15, 6: 90}
	for _, smaller := range []int{1, 3, 5, 6} {
		n := steady(t, uint64(32+smaller), 12, "dc-a", "dc-b", "dc-c")
		side := map[string]bool{}
		var larger, outside []*node
		for _, v := range n.nodes {
			switch {
			case v.cfg.DataCentre != "dc-a":
				outside = append(outside, v)
			case len(side) < smaller:
				side[v.cfg.Instance] = true
			default:
				larger = append(larger, v)
			}
		}
		n.cut = func(a, b *node) bool {
			return a.cfg.DataCentre == b.cfg.DataCentre && side[a.cfg.Instance] != side[b.cfg.Instance]
		}
		removed := map[string]int{}
		for range 300 {
			n.run(time.Second)
			for _, v := range outside {
				for _, living := range larger {
					if !v.sees(living, Alive) {
						removed[v.cfg.Instance]++
					}
				}
			}
		}
		t.Logf("%d of 12 cut off: seconds that outsiders held a living instance for dead: %v", smaller, removed)
		for instance, seconds := range removed {
			if seconds > allowed[smaller] {
				t.Errorf("%d of 12 cut off: %s held instances of the larger side for dead for %d s", smaller, instance, seconds)
			}
		}
		n.cut = nil
		n.until(2*time.Minute, "healed", n.whole)
	}
}
