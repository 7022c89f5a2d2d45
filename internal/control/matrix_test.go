package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// matrixSeed draws the messages that stand for the others of their kind.
	matrixSeed = 1
	// shareOfKinds is of how many kinds of message one is taken.
	shareOfKinds = 4
)

var everyMessage = flag.Bool("every-message", false, "run the fault matrix for every message of every flow, not for a sample")

// TestFaultMatrix puts every fault on messages of every flow, and checks the
// promises. Without -every-message it takes, for each flow and fault, a quarter of
// the kinds of message and one message of each, drawn with a fixed seed.
func TestFaultMatrix(t *testing.T) {
	var cases, possible atomic.Int64
	t.Run("flows", func(t *testing.T) {
		for _, f := range flows {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel()
				messages := undisturbed(t, f)
				possible.Add(int64(len(messages) * len(faults)))
				for _, fault := range faults {
					t.Run(fault.name, func(t *testing.T) {
						t.Parallel()
						for _, which := range chosen(messages, f.name, fault) {
							cases.Add(1)
							disturbed(t, f, fault, which, messages[which])
						}
					})
				}
			})
		}
	})
	t.Logf("%d cases of %d flows and %d faults, of %d pairs of message and fault; seed %d",
		cases.Load(), len(flows), len(faults), possible.Load(), matrixSeed)
}

// TestHerdDeathWhileReadsAreStale loses an instance and all that remember its
// floor at once, while the platform answers from old data.
func TestHerdDeathWhileReadsAreStale(t *testing.T) {
	for _, f := range flows {
		if !f.stale {
			continue
		}
		messages := undisturbed(t, f)
		for _, fault := range faults {
			if fault.forgets {
				last := len(messages) - 1
				disturbed(t, f, fault, last, messages[last])
			}
		}
	}
}

// chosen returns the numbers of the messages to put a fault on.
func chosen(messages []message, flow string, f fault) []int {
	kinds := map[string][]int{}
	var all []int
	for i, m := range messages {
		if f.applies == nil || f.applies(m) {
			kinds[m.kind] = append(kinds[m.kind], i)
			all = append(all, i)
		}
	}
	if *everyMessage {
		return all
	}
	random := rand.New(rand.NewPCG(matrixSeed, uint64(len(flow)*100+len(f.name))))
	var picked []int
	for _, m := range messages {
		list := kinds[m.kind]
		delete(kinds, m.kind)
		if list != nil && random.IntN(shareOfKinds) == 0 {
			picked = append(picked, list[random.IntN(len(list))])
		}
	}
	slices.Sort(picked)
	return picked
}

// undisturbed runs a flow without faults and returns its messages.
func undisturbed(t *testing.T, f flow) []message {
	var messages []message
	n := started(t, f)
	n.intercept = func(m message) bool {
		messages = append(messages, m)
		return false
	}
	f.begin(n)
	n.RunFor(flowTime)
	n.intercept = nil
	n.conclude(t, f, "no fault")
	return messages
}

// disturbed runs a flow with a fault on one of its messages.
func disturbed(t *testing.T, f flow, fault fault, which int, want message) {
	n := started(t, f)
	count := 0
	n.intercept = func(m message) bool {
		count++
		if count-1 != which {
			return false
		}
		if m.kind != want.kind || m.from != want.from || m.to != want.to {
			t.Fatalf("message %d is %s from %s to %s, not %s from %s to %s", which, m.kind, m.from, m.to, want.kind, want.from, want.to)
		}
		fault.do(n, m)
		return true
	}
	f.begin(n)
	n.RunFor(flowTime)
	n.intercept = nil
	if count <= which {
		t.Fatalf("the fault on message %d did not happen", which)
	}
	n.RunFor(fault.lasts)
	if fault.forgets && f.remembers {
		f.done, f.after = nil, nil
	}
	n.conclude(t, f, fmt.Sprintf("message %d, %s from %s to %s: %s", which, want.kind, want.from, want.to, fault.name))
}

// started returns a mesh with version 1 in force and all upstreams known.
func started(t *testing.T, f flow) *network {
	n := newNetwork(t)
	whole := n.until(startTime, func() bool {
		return n.all(func(p *process) bool {
			return p.current() && p.offers("k-1") && p.offers("k-2") && p.offers("p-1") && p.offers("p-2")
		})
	})
	if !whole {
		t.Fatalf("the mesh did not start: %s", n.describe())
	}
	if f.tenured {
		n.RunFor(claimHorizon + 2*detectionMargin)
	}
	return n
}

// conclude checks that a flow reaches its end, and every promise on the way.
func (n *network) conclude(t *testing.T, f flow, what string) {
	t.Helper()
	if f.done != nil && !n.until(f.limit, func() bool { return f.done(n) }) {
		n.failf("not done: %s", n.describe())
	}
	if !n.until(healTime, func() bool { return n.all((*process).current) }) {
		n.failf("not at the newest version: %s", n.describe())
	}
	for _, name := range n.names {
		n.processes[name].checkTold()
	}
	if f.after != nil {
		n.RunFor(3 * time.Second)
		if !f.after(n) {
			n.failf("undone again: %s", n.describe())
		}
	}
	for _, failure := range n.failures {
		t.Errorf("%s: %s: %s", f.name, what, failure)
	}
}

// describe tells what each process holds.
func (n *network) describe() string {
	var b strings.Builder
	for _, name := range n.names {
		p := n.processes[name]
		fmt.Fprintf(&b, "%s life %d", name, p.life)
		if p.snapshot != nil {
			fmt.Fprintf(&b, " %s offers", p.snapshot.Config)
			for _, upstream := range p.snapshot.Services["desk"] {
				b.WriteString(" " + upstream.Instance)
			}
		}
		if p.refuses(crasher) {
			b.WriteString(" refuses")
		}
		b.WriteString("; ")
	}
	fmt.Fprintf(&b, "claims %v", n.claims.outcomes)
	return b.String()
}
