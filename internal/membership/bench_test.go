package membership

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

// datagramOverhead is the size of the headers of IP and UDP in bytes.
const datagramOverhead = 28

// fleet is a size at which a data centre of real cores is measured.
type fleet struct {
	daemons     int
	dataCentres int
}

var fleets = []fleet{{12, 3}, {24, 3}, {48, 3}, {96, 3}, {500, 14}, {2200, 14}}

func (f fleet) String() string { return fmt.Sprint(f.daemons) }

func (f fleet) record(index int) Record {
	dataCentre := index % f.dataCentres
	return Record{
		Instance:      fmt.Sprintf("orders-%c-%04d", 'a'+dataCentre, index),
		Incarnation:   1_700_000_000_000,
		Sequence:      2,
		DataCentre:    fmt.Sprintf("centre-%c", 'a'+dataCentre),
		Address:       fmt.Sprintf("10.%d.%d.%d:7000", dataCentre, index/250, index%250+1),
		Service:       fmt.Sprintf("service-%d", index%120),
		Slots:         10,
		UpstreamState: UpstreamReady,
		Liveness:      Alive,
	}
}

// build starts all daemons of the first data centre and one of each other,
// which answers for all of its own.
func (f fleet) build(b testing.TB) *network {
	n := newNetwork(b, 60)
	answering := map[string]*node{}
	for i := range f.daemons {
		r := f.record(i)
		if v := answering[r.DataCentre]; v != nil && i%f.dataCentres != 0 {
			n.byAddr[r.Address] = v
			continue
		}
		v := f.start(n, r)
		answering[r.DataCentre] = v
		if i%f.dataCentres != 0 {
			v.nextTick = math.MaxInt64
		}
	}
	return n
}

// start runs a daemon that knows the whole fleet.
func (f fleet) start(n *network, r Record) *node {
	v := n.add(r.DataCentre, 0, func(cfg *Config) {
		cfg.Instance = r.Instance
		cfg.Address = r.Address
	})
	for i := range f.daemons {
		v.core.table.put(f.record(i), 0)
	}
	v.core.upstream = upstream{expires: math.MaxInt64, ttl: time.Hour}
	v.core.table.put(r, 0)
	n.step(v, AppliedChanged{Config: testConfig})
	v.core.gossip.init()
	v.core.exchanges.contacted = true
	v.core.exchanges.localBound = v.core.cfg.LocalExchangeInterval
	return v
}

// measured returns the nodes of the first data centre.
func (f fleet) measured(n *network) []*node {
	var nodes []*node
	for _, v := range n.nodes {
		if v.nextTick != math.MaxInt64 {
			nodes = append(nodes, v)
		}
	}
	return nodes
}

// BenchmarkDaemonSecond measures one second of a data centre at rest, for
// each of its daemons, and what all-to-all heartbeats would cost.
func BenchmarkDaemonSecond(b *testing.B) {
	for _, f := range fleets {
		b.Run(fmt.Sprint("daemons=", f), func(b *testing.B) {
			n := f.build(b)
			n.run(30 * time.Second)
			nodes := f.measured(n)
			n.forgetTraffic()
			seconds := 0
			b.ResetTimer()
			for b.Loop() {
				n.run(time.Second)
				seconds++
			}
			f.reportTraffic(b, n, nodes, float64(seconds))
		})
	}
}

// forgetTraffic sets the counters of traffic and of time to nothing.
func (n *network) forgetTraffic() {
	for _, v := range n.nodes {
		v.sentBytes, v.sentPackets, v.exchangeBytes = 0, 0, 0
	}
	n.stepTime = 0
}

func (f fleet) reportTraffic(b *testing.B, n *network, nodes []*node, seconds float64) {
	var datagrams, packets, exchanged, most int
	for _, v := range nodes {
		bytes := v.sentBytes + v.sentPackets*datagramOverhead
		datagrams += bytes
		packets += v.sentPackets
		exchanged += v.exchangeBytes
		most = max(most, bytes+v.exchangeBytes)
	}
	per := seconds * float64(len(nodes))
	b.ReportMetric(float64(datagrams)/per, "gossip-B/s")
	b.ReportMetric(float64(packets)/per, "packets/s")
	b.ReportMetric(float64(exchanged)/per, "exchange-B/s")
	b.ReportMetric(float64(most)/seconds, "busiest-B/s")
	b.ReportMetric(float64(n.stepTime.Microseconds())/per, "step-µs/s")
	b.ReportMetric(f.heartbeat(b, nodes[0]), "all-to-all-B/s")
	b.ReportMetric(0, "ns/op")
}

// heartbeat returns what one daemon would send each second if it told each
// other one its record once.
func (f fleet) heartbeat(b testing.TB, v *node) float64 {
	packet := v.core.header()
	packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{}}
	packet.Updates = []*peerv1.Member{MemberOf(v.core.Self())}
	datagram, err := Encode(packet)
	if err != nil {
		b.Fatal(err)
	}
	return float64(f.daemons-1) * float64(len(datagram)+datagramOverhead)
}

// BenchmarkRollingRestart measures the traffic while the upstreams of a data
// centre drain and come back one after the other, all of them in six minutes.
func BenchmarkRollingRestart(b *testing.B) {
	for _, f := range fleets {
		b.Run(fmt.Sprint("daemons=", f), func(b *testing.B) {
			n := f.build(b)
			n.run(30 * time.Second)
			nodes := f.measured(n)
			seconds := 0
			n.forgetTraffic()
			for b.Loop() {
				v := nodes[seconds%len(nodes)]
				if (seconds+1)*len(nodes)/360 > seconds*len(nodes)/360 {
					n.announce(v, UpstreamDraining)
					n.run(time.Second / 2)
					n.announce(v, UpstreamReady)
				} else {
					n.run(time.Second / 2)
				}
				n.run(time.Second / 2)
				seconds++
			}
			f.reportTraffic(b, n, nodes, float64(seconds))
		})
	}
}

// BenchmarkTable measures the memory of one daemon's core.
func BenchmarkTable(b *testing.B) {
	for _, f := range []fleet{{96, 3}, {500, 14}, {2200, 14}} {
		b.Run(fmt.Sprint("records=", f), func(b *testing.B) {
			n := newNetwork(b, 61)
			cores := make([]*node, 0, 16)
			before := heapInUse()
			for b.Loop() {
				if len(cores) < cap(cores) {
					cores = append(cores, f.start(n, f.record(0)))
					cores[len(cores)-1].core.Records()
				}
			}
			b.ReportMetric(float64(heapInUse()-before)/float64(len(cores)), "heap-B")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(cores)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkCodec measures encoding and decoding one packet with five updates.
func BenchmarkCodec(b *testing.B) {
	packet := goodPacket()
	for i := range 4 {
		packet.Updates = append(packet.Updates, MemberOf(fleets[5].record(i)))
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := Encode(packet); err != nil {
				b.Fatal(err)
			}
		}
	})
	datagram, err := Encode(packet)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := Decode(datagram, testMesh); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkDetection measures, in virtual time, how long a death and a drain
// take to be known everywhere, and how often anyone is suspected under loss.
func BenchmarkDetection(b *testing.B) {
	for _, size := range []int{12, 24, 48, 96} {
		b.Run(fmt.Sprint("daemons=", size), func(b *testing.B) {
			var death, drain, hours float64
			var suspicions int
			rounds := 0
			for b.Loop() {
				n := steady(b, uint64(70+rounds), size/3, "dc-a", "dc-b", "dc-c")
				n.loss = 0.05
				drained, dead := n.nodes[4], n.nodes[7]
				n.announce(drained, UpstreamDraining)
				drain += n.until(settle, "drain", func() bool { return n.givenCalls(drained) == 0 }).Seconds()
				before := n.logged("member-suspected")
				n.run(5 * time.Minute)
				suspicions += n.logged("member-suspected") - before
				hours += float64(size) / 12
				dead.down = true
				death += n.until(2*settle, "death", func() bool { return n.givenCalls(dead) == 0 }).Seconds()
				rounds++
			}
			b.ReportMetric(death/float64(rounds), "death-s")
			b.ReportMetric(drain/float64(rounds), "drain-s")
			b.ReportMetric(float64(suspicions)/hours, "suspicions/daemon-h")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkHerd measures, in virtual time, how long daemons that all start at
// once take to know their own data centre and 99 in 100 of all records, and
// the bytes until then.
func BenchmarkHerd(b *testing.B) {
	for _, f := range []fleet{{96, 3}, {700, 14}} {
		b.Run(fmt.Sprint("daemons=", f), func(b *testing.B) {
			var near, all, gossip, exchanged, most float64
			rounds := 0
			for b.Loop() {
				n := newNetwork(b, uint64(90+rounds))
				var names []string
				for i := range f.dataCentres {
					names = append(names, fmt.Sprintf("dc-%c", 'a'+i))
				}
				n.dataCentres(f.daemons/f.dataCentres, names...)
				n.until(5*time.Minute, "own data centre known", func() bool { return n.knownNear() })
				near += n.Now.Seconds()
				n.until(5*time.Minute, "99 in 100 known", func() bool { return n.knownShare() >= 0.99 })
				all += n.Now.Seconds()
				for _, v := range n.nodes {
					gossip += float64(v.sentBytes+v.sentPackets*datagramOverhead) / float64(f.daemons)
					exchanged += float64(v.exchangeBytes) / float64(f.daemons)
					most = max(most, float64(v.exchangeBytes))
				}
				rounds++
			}
			per := float64(rounds)
			b.ReportMetric(near/per, "near-s")
			b.ReportMetric(all/per, "all-s")
			b.ReportMetric(gossip/per, "gossip-B")
			b.ReportMetric(exchanged/per, "exchange-B")
			b.ReportMetric(most, "busiest-exchange-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// knownNear reports whether all know their whole data centre.
func (n *network) knownNear() bool {
	sizes := map[string]int{}
	for _, v := range n.nodes {
		sizes[v.cfg.DataCentre]++
	}
	for _, v := range n.nodes {
		if len(v.core.table.alive(v.cfg.DataCentre)) != sizes[v.cfg.DataCentre] {
			return false
		}
	}
	return true
}

// knownShare returns the share of records that the mean daemon holds.
func (n *network) knownShare() float64 {
	sum := 0
	for _, v := range n.nodes {
		sum += len(v.core.table.entries)
	}
	return float64(sum) / float64(len(n.nodes)*len(n.nodes))
}
