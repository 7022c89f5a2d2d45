package membership

import (
	"fmt"
	"testing"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

var testConfig = manifest.ID{Version: 9, Digest: manifest.DigestOf([]byte("nine"))}

// flow is a sequence of messages and what has to hold after it, whichever
// single message is lost, repeated or delayed.
type flow struct {
	name  string
	start func(n *network)
	holds func(n *network) bool
	limit time.Duration
}

func flows() []flow {
	return []flow{
		{
			name:  "join",
			start: func(n *network) { n.add("dc-a", 9, withSeeds) },
			holds: (*network).whole,
			limit: 30 * time.Second,
		},
		{
			name:  "drain",
			start: func(n *network) { n.announce(n.nodes[3], UpstreamDraining) },
			holds: func(n *network) bool { return n.givenCalls(n.nodes[3]) == 0 },
			limit: 5 * time.Second,
		},
		{
			name: "leave",
			start: func(n *network) {
				n.step(n.nodes[3], LeaveRequested{})
				n.step(n.nodes[3], LeaveFinished{})
				n.nodes[3].down = true
			},
			holds: func(n *network) bool { return n.allSee(n.nodes[3], Left) },
			limit: 30 * time.Second,
		},
		{
			name: "death",
			start: func(n *network) {
				n.nodes[3].down = true
			},
			holds: func(n *network) bool { return n.allSee(n.nodes[3], Dead) },
			limit: 60 * time.Second,
		},
		{
			name:  "refutation",
			start: func(n *network) { n.nodes[0].core.suspect(n.nodes[3].core.Self()) },
			holds: func(n *network) bool {
				return n.nodes[3].core.Self().Sequence > 2 && n.whole() && n.deaths() == 0
			},
			limit: 30 * time.Second,
		},
		{
			name:  "applied",
			start: func(n *network) { n.step(n.nodes[3], AppliedChanged{Config: testConfig}) },
			holds: func(n *network) bool {
				for _, poller := range n.nodes[3].core.Pollers() {
					if !n.heardBy(poller, n.nodes[3], testConfig) {
						return false
					}
				}
				return true
			},
			limit: 10 * time.Second,
		},
		{
			name: "status",
			start: func(n *network) {
				for _, v := range n.nodes {
					n.step(v, AppliedChanged{Config: testConfig})
				}
			},
			holds: func(n *network) bool {
				n.step(n.nodes[1], ReportsWanted{})
				return inForceEverywhere(n.nodes[1].core, 2)
			},
			limit: 30 * time.Second,
		},
	}
}

func withSeeds(cfg *Config) { cfg.Peers = []string{"10.97.0.1:7000", "10.98.0.1:7000"} }

func (n *network) allSee(v *node, want Liveness) bool {
	for _, other := range n.up() {
		if other != v && !other.sees(v, want) {
			return false
		}
	}
	return true
}

func (n *network) heardBy(instance string, v *node, id manifest.ID) bool {
	for _, other := range n.nodes {
		if other.cfg.Instance == instance && other != v {
			return other.core.AppliedOf(v.cfg.Instance).Config == id
		}
	}
	return true
}

// inForceEverywhere reports whether a core's reports show one version at all
// daemons of all data centres.
func inForceEverywhere(core *Core, dataCentres int) bool {
	reports := core.Reports()
	for _, report := range reports {
		all := len(report.GetVersions()) == 1 && IDOf(report.GetVersions()[0].GetId()) == testConfig
		if !all || report.GetVersions()[0].GetDaemons() != 5 {
			return false
		}
	}
	return len(reports) == dataCentres
}

// fault changes the fate of one message.
type fault struct {
	name string
	fate func(delay time.Duration) []time.Duration
}

var faults = []fault{
	{"lost", func(time.Duration) []time.Duration { return nil }},
	{"repeated", func(d time.Duration) []time.Duration { return []time.Duration{d, d + 300*time.Millisecond} }},
	{"late", func(d time.Duration) []time.Duration { return []time.Duration{d + 3*time.Second} }},
}

// runFlow runs a flow with a fault on one message and returns how many
// messages were sent until it held.
func runFlow(t *testing.T, f flow, target int, fate func(time.Duration) []time.Duration) int {
	n := steady(t, 40, 5, "dc-a", "dc-b")
	sent := 0
	next := func() []time.Duration {
		sent++
		if sent-1 == target {
			return fate(n.latency())
		}
		return []time.Duration{n.latency()}
	}
	n.packets = func(*node, SendPacket) []time.Duration { return next() }
	n.calls = func(*node, StartExchange) []time.Duration { return next() }
	f.start(n)
	n.until(f.limit, f.name, func() bool { return f.holds(n) })
	during := sent
	n.run(20 * time.Second)
	if !f.holds(n) {
		t.Errorf("%s held, but no longer 20 s after", f.name)
	}
	return during
}

// maxFaultTargets bounds how many messages of one flow are tried; the rest is
// skipped evenly.
const maxFaultTargets = 24

func TestEveryMessageOfEveryFlow(t *testing.T) {
	for _, f := range flows() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			messages := runFlow(t, f, -1, nil)
			stride := 1 + messages/maxFaultTargets
			for target := 0; target < messages; target += stride {
				for _, fault := range faults {
					t.Run(fmt.Sprintf("%d-%s", target, fault.name), func(t *testing.T) {
						runFlow(t, f, target, fault.fate)
					})
				}
			}
		})
	}
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	run := func() []string {
		var trace []string
		n := newNetwork(t, 41)
		n.loss = 0.1
		n.trace = func(from *node, effect step.Effect) {
			trace = append(trace, fmt.Sprintf("%v %s %T %+v", n.Now, from.cfg.Instance, effect, describe(effect)))
		}
		n.dataCentres(24, "dc-a")
		n.run(10 * time.Second)
		for _, v := range n.nodes[4:14] {
			v.down = true
		}
		n.run(20 * time.Second)
		return trace
	}
	first, second := run(), run()
	for i := range min(len(first), len(second)) {
		if first[i] != second[i] {
			t.Fatalf("effect %d differs:\n%s\n%s", i, first[i], second[i])
		}
	}
	if len(first) != len(second) {
		t.Fatalf("%d effects, then %d", len(first), len(second))
	}
}
