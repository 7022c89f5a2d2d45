package confsync

import (
	"fmt"
	"testing"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
)

// The size that the benchmarks take: a large fleet's manifest and member table.
const (
	benchServices    = 120
	benchRoutes      = 4 * benchServices
	benchDaemons     = 2200
	benchDataCentres = 14
)

// largeManifest returns a canonical body in which one route's deadline depends
// on revision.
func largeManifest(tb testing.TB, revision int) []byte {
	tb.Helper()
	m := &manifest.Manifest{Mesh: "test"}
	for i := range benchDataCentres {
		m.DataCentres = append(m.DataCentres, fmt.Sprintf("region-%d-dc-%d", i%4, i))
	}
	m.RetryRules = []manifest.RetryRule{{Name: "not-run", Attempts: 3, On: []manifest.RetryOn{manifest.RetryNotRun}, BudgetPercent: 20}}
	for i := range benchServices {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprintf("service-%d", i), MaxBody: 1 << 20, SlowStart: manifest.Duration(5 * time.Second)})
	}
	for i := range benchRoutes {
		m.Routes = append(m.Routes, manifest.Route{
			Name:     fmt.Sprintf("route-%d", i),
			Match:    manifest.Match{Host: fmt.Sprintf("host-%d.example", i%benchServices), PathPrefix: fmt.Sprintf("/v%d/orders", i)},
			Service:  fmt.Sprintf("service-%d", i%benchServices),
			Deadline: manifest.Duration(2 * time.Second),
			Retry:    "not-run",
		})
	}
	m.Routes[revision%benchRoutes].Deadline = manifest.Duration(time.Duration(3000+revision) * time.Millisecond)
	body := m.Canonical()
	if _, err := manifest.ParseCanonical(body); err != nil {
		tb.Fatal(err)
	}
	return body
}

func largeTable() []membership.Record {
	records := make([]membership.Record, benchDaemons)
	for i := range records {
		records[i] = membership.Record{
			Instance:   fmt.Sprintf("instance-%04d", i),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%benchDataCentres),
			Liveness:   membership.Alive,
		}
	}
	return records
}

func BenchmarkDelta(b *testing.B) {
	base, target := largeManifest(b, 1), largeManifest(b, 2)
	var delta []byte
	for b.Loop() {
		delta = manifest.MakeDelta(base, target)
	}
	b.ReportMetric(float64(len(target)), "body-bytes")
	b.ReportMetric(float64(len(manifest.MakeDelta(nil, target))), "whole-bytes")
	b.ReportMetric(float64(len(delta)), "delta-bytes")
}

func BenchmarkApplyDelta(b *testing.B) {
	base, target := largeManifest(b, 1), largeManifest(b, 2)
	delta := manifest.MakeDelta(base, target)
	for b.Loop() {
		if _, err := manifest.ApplyDelta(base, delta); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	body := largeManifest(b, 1)
	for b.Loop() {
		m, err := manifest.ParseCanonical(body)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := manifest.Compile(m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMembersChanged(b *testing.B) {
	core := New(testConfig("instance-0000", "dc-0"), step.Moment{})
	ev := MembersChanged{Members: largeTable()}
	b.ReportAllocs()
	for b.Loop() {
		core.Step(step.Moment{Now: startTime}, ev)
	}
}

func BenchmarkPeerApplied(b *testing.B) {
	core := New(testConfig("instance-0000", "dc-0"), step.Moment{})
	core.Step(step.Moment{}, MembersChanged{Members: largeTable()})
	b.ReportAllocs()
	for b.Loop() {
		core.Step(step.Moment{}, PeerApplied{Instance: "instance-0014", Address: "10.0.0.14:7000"})
	}
}

func BenchmarkTick(b *testing.B) {
	core := New(testConfig("instance-0000", "dc-0"), step.Moment{})
	core.Step(step.Moment{}, MembersChanged{Members: largeTable()})
	b.ReportAllocs()
	for b.Loop() {
		core.Step(step.Moment{}, step.Tick{})
	}
}

// BenchmarkSpread publishes one version to fleets of growing size and reports
// simulated time and what crossed, on links of 1 ms.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{12, 24, 48, 96, benchDaemons} {
		dataCentres := 3
		if size == benchDaemons {
			dataCentres = benchDataCentres
		}
		for _, lossPercent := range []uint64{0, 5} {
			b.Run(fmt.Sprintf("%d/loss-%d%%", size, lossPercent), func(b *testing.B) {
				spreadOnce(b, size, dataCentres, lossPercent)
			})
		}
	}
}

func spreadOnce(b *testing.B, size, dataCentres int, lossPercent uint64) {
	const versions = 5
	var all []string
	for i := range dataCentres {
		all = append(all, names(fmt.Sprint("dc", i), size/dataCentres)...)
	}
	for b.Loop() {
		n := newNetwork(b, all...)
		n.run(startTime, n.allAt(n.accept("one")))
		n.intercept = func(d delivery) bool { return isDatagram(d.ev) && n.moment().Random>>32%100 < lossPercent }
		n.notices, n.localBodies, n.remoteBodies, n.objectReads = 0, 0, 0, 0
		var total, worst time.Duration
		for i := range versions {
			n.run(3*time.Second+time.Duration(i)*110*time.Millisecond, nil)
			began := n.Now
			if !n.run(healTime, n.allAt(n.accept(fmt.Sprint("version ", i)))) {
				b.Fatal(n.applied())
			}
			total += n.Now - began
			worst = max(worst, n.Now-began)
		}
		b.ReportMetric(float64(total.Milliseconds())/versions, "sim-ms/version")
		b.ReportMetric(float64(worst.Milliseconds()), "sim-ms-worst")
		b.ReportMetric(float64(n.notices)/versions/float64(len(all)), "notices/daemon")
		b.ReportMetric(float64(n.localBodies)/versions/float64(len(all)), "bodies/daemon")
		b.ReportMetric(float64(n.remoteBodies)/versions, "link-bodies/version")
		b.ReportMetric(float64(n.objectReads)/versions, "platform-bodies/version")
	}
}

// isDatagram reports whether a message has no transport that repeats it.
func isDatagram(ev step.Event) bool {
	switch ev.(type) {
	case NoticeReceived, PeerApplied:
		return true
	}
	return false
}

// BenchmarkWireBytes publishes changes of one route in a large manifest and
// reports the bytes per daemon and version, against the baseline in which each
// daemon polls the platform and reads the whole manifest there.
func BenchmarkWireBytes(b *testing.B) {
	for _, size := range []int{12, 24, 48, 96} {
		for _, everyonePolls := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/everyone-polls-%t", size, everyonePolls), func(b *testing.B) {
				wireBytesOnce(b, size, everyonePolls)
			})
		}
	}
}

func wireBytesOnce(b *testing.B, size int, everyonePolls bool) {
	const versions = 4
	const window = 5 * time.Second
	var bodies []string
	for i := range versions + 1 {
		bodies = append(bodies, string(largeManifest(b, i)))
	}
	var all []string
	for i := range 3 {
		all = append(all, names(fmt.Sprint("dc", i), size/3)...)
	}
	for b.Loop() {
		n := &network{t: b, far: farDelay, nodes: map[string]*node{}, bodies: map[manifest.Digest][]byte{}, sizes: map[manifest.Digest]int{}}
		n.tune = func(cfg *Config) {
			cfg.MakeDelta, cfg.ApplyDelta = manifest.MakeDelta, manifest.ApplyDelta
			if everyonePolls {
				cfg.Pollers = size
			}
		}
		n.add(all...)
		n.run(startTime, n.allAt(n.accept(bodies[0])))
		n.run(window, nil)
		before, reads, began := n.bytes, n.headReads+n.objectReads, n.Now
		for _, body := range bodies[1:] {
			n.accept(body)
			n.run(window, nil)
		}
		if !n.allAt(n.head)() {
			b.Fatal(n.applied())
		}
		share := float64(versions * size)
		b.ReportMetric(float64(n.bytes.notices-before.notices)/share, "notice-B")
		b.ReportMetric(float64(n.bytes.floors-before.floors)/share, "floor-B")
		b.ReportMetric(float64(n.bytes.own-before.own)/share, "peer-body-B")
		b.ReportMetric(float64(n.bytes.link-before.link)/share, "link-body-B")
		b.ReportMetric(float64(n.bytes.platform-before.platform)/share, "platform-body-B")
		b.ReportMetric(float64(n.headReads+n.objectReads-reads)/(n.Now-began).Seconds(), "platform-reads/s")
	}
}
