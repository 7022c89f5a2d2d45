package routing

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
)

func desk(t testing.TB) *manifest.Table {
	t.Helper()
	m, problems := manifest.Parse("test", []byte(`{"mesh":"t","data_centres":["a"],
		"services":[{"name":"desk","slow_start":"10s"}],"retry_rules":[],
		"routes":[{"name":"all","match":{"path_prefix":"/"},"service":"desk","deadline":"1s"}]}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	table, err := manifest.Compile(m)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func members(count int, incarnation uint64) []membership.Record {
	var records []membership.Record
	for i := range count {
		records = append(records, membership.Record{
			Instance: fmt.Sprintf("i%02d", i), Incarnation: incarnation, DataCentre: "a",
			Address: "127.0.0.1:1", Service: "desk", Slots: 10,
			UpstreamState: membership.UpstreamReady, Liveness: membership.Alive,
		})
	}
	return records
}

func snapshotOf(t testing.TB, records []membership.Record) *Snapshot {
	return Build(manifest.ID{Version: 1}, desk(t), membership.Record{}, records, 0)
}

func TestCountersSurviveSnapshots(t *testing.T) {
	b := NewBalancer(DefaultEjection())
	first := b.Choose(snapshotOf(t, members(1, 1)), "desk", Ask{Local: "a"})
	first.Chosen.Begin()
	same := b.Choose(snapshotOf(t, members(1, 1)), "desk", Ask{Local: "a"})
	if same.Chosen.Outstanding() != 1 {
		t.Error("outstanding work was forgotten with the snapshot")
	}
	restarted := b.Choose(snapshotOf(t, members(1, 2)), "desk", Ask{Local: "a"})
	if restarted.Chosen.Outstanding() != 0 {
		t.Error("a new incarnation has the work of the old one")
	}
	first.Chosen.End()
	b.Choose(snapshotOf(t, nil), "desk", Ask{Local: "a"})
	if len(b.stats) != 0 {
		t.Errorf("%d counters are kept of upstreams that left", len(b.stats))
	}
}

func TestSlowStartBeginsAnewAfterAbsence(t *testing.T) {
	b := NewBalancer(DefaultEjection())
	at := func(records []membership.Record, now time.Duration) *Candidate {
		return b.Choose(snapshotOf(t, records), "desk", Ask{Local: "a", Now: now}).Chosen
	}
	c := at(members(1, 1), 0)
	c.Begin() // keeps the counters while the upstream is away
	if w := warmth(at(members(1, 1), time.Minute), time.Minute); w != 1 {
		t.Errorf("warmth after a minute is %v", w)
	}
	at(nil, 2*time.Minute)
	if w := warmth(at(members(1, 1), 3*time.Minute), 3*time.Minute); w != slowStartFloor {
		t.Errorf("warmth of a returned upstream is %v", w)
	}
}

func TestEjectedShareIsCapped(t *testing.T) {
	b := NewBalancer(DefaultEjection())
	snapshot := snapshotOf(t, members(5, 1))
	groups := b.Groups(snapshot, "desk", 0)
	ejected := 0
	for i := range groups[0].Candidates {
		for range DefaultEjection().Failures {
			if b.Failed(snapshot, "desk", &groups[0].Candidates[i], 0, 0) > 0 {
				ejected++
			}
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 5 were ejected, want 2", ejected)
	}
}

func TestBudgetIsAShareOfTraffic(t *testing.T) {
	b := NewBudget(20)
	for b.Spend() {
	}
	retries := 0
	for range 1000 {
		b.Earn(20)
		if b.Spend() {
			retries++
		}
	}
	if retries != 200 {
		t.Errorf("%d retries for 1000 sends at 20%%", retries)
	}
	if NewBudget(0).Spend() {
		t.Error("a budget of nothing paid for a retry")
	}
}

func TestChoosingWhileSnapshotsChange(t *testing.T) {
	b := NewBalancer(DefaultEjection())
	snapshots := []*Snapshot{snapshotOf(t, members(5, 1)), snapshotOf(t, members(3, 2))}
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 500 {
				s := snapshots[(i/10+worker)%2]
				d := b.Choose(s, "desk", Ask{Local: "a", Random: uint64(i)})
				d.Chosen.Begin()
				b.Failed(s, "desk", d.Chosen, time.Duration(i), uint64(i))
				b.Succeeded(d.Chosen, time.Duration(i))
				d.Chosen.End()
			}
		})
	}
	group.Wait()
	for key, stats := range b.stats {
		if stats.Outstanding() != 0 {
			t.Errorf("%v has %d outstanding", key, stats.Outstanding())
		}
	}
}

func BenchmarkChoose(bench *testing.B) {
	for _, size := range []int{6, 20, 200} {
		bench.Run(fmt.Sprint(size), func(bench *testing.B) {
			b := NewBalancer(DefaultEjection())
			snapshot := snapshotOf(bench, members(size, 1))
			bench.ReportAllocs()
			bench.RunParallel(func(pb *testing.PB) {
				random := uint64(1)
				for pb.Next() {
					random = random*6364136223846793005 + 1
					d := b.Choose(snapshot, "desk", Ask{Local: "a", Now: time.Second, Random: random})
					d.Chosen.Begin()
					d.Chosen.End()
				}
			})
		})
	}
}
