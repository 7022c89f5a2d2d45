package proxy

import (
	"fmt"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"godwitmount/internal/event"
)

func TestRingKeepsOrderAndRefusesWhenFull(t *testing.T) {
	r := newRing[int](4)
	for round := range 10 {
		for i := range 4 {
			if !r.put(10*round + i) {
				t.Fatalf("round %d: no room for value %d", round, i)
			}
		}
		if r.put(-1) {
			t.Fatal("a full ring took a value")
		}
		for i := range 4 {
			if v, ok := r.take(); !ok || v != 10*round+i {
				t.Fatalf("round %d: took %d, %t", round, v, ok)
			}
		}
		if _, ok := r.take(); ok {
			t.Fatal("an empty ring gave a value")
		}
	}
}

func TestRingLosesNothingItTook(t *testing.T) {
	r := newRing[int](64)
	var group sync.WaitGroup
	const writers, each = 4, 2000
	for w := range writers {
		group.Go(func() {
			for i := 0; i < each; {
				if r.put(w*each + i) {
					i++
				}
			}
		})
	}
	last := map[int]int{}
	for taken := 0; taken < writers*each; {
		v, ok := r.take()
		if !ok {
			continue
		}
		w, i := v/each, v%each
		if i != last[w] {
			t.Fatalf("writer %d: got %d after %d", w, i, last[w]-1)
		}
		last[w] = i + 1
		taken++
	}
	group.Wait()
}

// observed is a proxy's log.
func observed(t *testing.T, size int) (*decisionLog, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	return newDecisionLog(size, zap.New(core)), logs
}

func TestDroppedLinesAreCounted(t *testing.T) {
	l, logs := observed(t, 4)
	for range 10 {
		l.put(decision{event: event.CallAnswered, call: "c"})
	}
	go l.run()
	l.close()
	lines := logs.FilterMessage(event.CallLogDropped.String()).All()
	if len(lines) != 1 || lines[0].ContextMap()["lines"] != uint64(6) {
		t.Errorf("drops: %v", lines)
	}
	if n := logs.FilterMessage(event.CallAnswered.String()).Len(); n != 4 {
		t.Errorf("%d lines written, want 4", n)
	}
}

// TestDecisionLinesOfACall: a call that was sent twice can be followed by its
// id through both daemons.
func TestDecisionLinesOfACall(t *testing.T) {
	m := newMesh(t)
	core, logs := observer.New(zap.InfoLevel)
	m.log = zap.New(core)
	up := newUpstream(t, say("ok"))
	entry := m.add("a1", "a", "", 0)
	gone := m.add("a2", "a", nobody, 4)
	m.add("b1", "b", up.address(), 4)
	if got := do(t, entry, "POST", "/orders", ""); got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	for _, n := range m.nodes {
		n.proxy.Close()
	}
	var lines []string
	for _, line := range logs.All() {
		fields := line.ContextMap()
		lines = append(lines, fmt.Sprint(line.Message, " ", fields["upstream"], " ", fields["why"], " ", fields["result"], " ", fields["sends"]))
		if fields["call"] == "" || fields["event"] == nil {
			t.Errorf("line without call id or number: %v", fields)
		}
	}
	want := map[string]int{
		"call-routed a2 local-lighter <nil> <nil>":             1,
		"call-admitted <nil> <nil> call-connect-refused <nil>": 1,
		"call-retried <nil> redirect <nil> <nil>":              1,
		"call-routed b1 other-data-centre <nil> <nil>":         1,
		"call-admitted <nil> <nil> <nil> <nil>":                1,
		"call-answered <nil> <nil> <nil> 2":                    1,
	}
	for _, line := range lines {
		want[line]--
	}
	for line, missing := range want {
		if missing != 0 {
			t.Errorf("%q is missing %d times", line, missing)
		}
	}
	if events := gone.events.names(); events != "local-upstream-lost" {
		t.Errorf("reported %q", events)
	}
}

func TestMetricsOfACall(t *testing.T) {
	m := newMesh(t)
	registry := prometheus.NewRegistry()
	m.registry = registry
	n := m.add("a1", "a", newUpstream(t, say("ok")).address(), 4)
	do(t, n, "POST", "/orders", "")
	do(t, n, "POST", "/nowhere", "")
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	calls := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "godwitmount_calls_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			name := ""
			for _, label := range metric.GetLabel() {
				name += label.GetName() + "=" + label.GetValue() + " "
			}
			calls[name] = metric.GetCounter().GetValue()
		}
	}
	if calls["code=0 outcome= route=orders "] != 1 || calls["code=501 outcome=not-run route= "] != 1 {
		t.Errorf("calls: %v", calls)
	}
}
