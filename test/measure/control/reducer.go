package main

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/confsync"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/step"
)

const (
	// tickInterval is the daemon's time between two ticks.
	tickInterval = 100 * time.Millisecond
	// datagramHeaders is the size of the headers of IP and UDP in bytes.
	datagramHeaders = 28
	// reducerSettle is the virtual time before counting.
	reducerSettle = 20 * time.Minute
	// changesCounted is how many record changes are timed.
	changesCounted = 500
)

// driven is one daemon's whole reducer on a virtual clock. Every peer and the
// platform answer at once, as if all were well.
type driven struct {
	core    *control.Core
	self    membership.Record
	records []membership.Record
	byAddr  map[string]membership.Record
	now     time.Duration
	random  uint64
	queue   []step.Event

	head manifest.ID
	body []byte
	// hashes is the last table hash this daemon told each data centre.
	hashes map[string]uint64
	// bytes counts what was sent and received.
	bytes int
}

func newDriven(count int) (*driven, error) {
	d := &driven{byAddr: map[string]membership.Record{}, hashes: map[string]uint64{}}
	for i := range count {
		record := madeRecord(i, fmt.Sprintf("dc-%02d", i%tableDataCentres))
		d.records = append(d.records, record)
		d.byAddr[record.Address] = record
	}
	d.self = d.records[0]
	sync := confsync.DefaultConfig()
	sync.Mesh, sync.Instance, sync.DataCentre, sync.Incarnation = meshName, d.self.Instance, d.self.DataCentre, 1
	sync.Compile, sync.MakeDelta, sync.ApplyDelta = compile, manifest.MakeDelta, manifest.ApplyDelta
	d.core = control.New(control.Config{
		Membership: membership.Config{Mesh: meshName, Instance: d.self.Instance, Incarnation: 1, DataCentre: d.self.DataCentre, Address: d.self.Address},
		Sync:       sync,
		Claim:      claim.DefaultConfig(meshName, d.self.DataCentre),
		Quarantine: quarantine.DefaultConfig(d.self.Instance),
	}, d.moment())
	if err := d.setHead(1); err != nil {
		return nil, err
	}
	members := make([]*peerv1.Member, 0, count)
	for _, record := range d.records[1:] {
		members = append(members, membership.MemberOf(record))
	}
	d.step(membership.ExchangeRequested{Request: &peerv1.ExchangeMembersRequest{Mesh: meshName, From: d.records[1].Instance, Members: members}})
	return d, nil
}

func (d *driven) setHead(version int) error {
	body, err := manifestVersion(version)
	if err != nil {
		return err
	}
	d.body = body
	d.head = manifest.ID{Version: uint64(version), Digest: manifest.DigestOf(body)}
	return nil
}

func (d *driven) moment() step.Moment {
	d.random = d.random*6364136223846793005 + 1442695040888963407
	return step.Moment{Now: d.now, Wall: time.UnixMilli(0).Add(d.now), Random: d.random}
}

// step gives one event to the reducer, carries its effects out, and goes on
// with what they bring.
func (d *driven) step(ev step.Event) {
	d.queue = append(d.queue, ev)
	for len(d.queue) > 0 {
		next := d.queue[0]
		d.queue = d.queue[1:]
		for _, effect := range d.core.Step(d.moment(), next) {
			d.perform(effect)
		}
	}
}

func (d *driven) post(ev step.Event) { d.queue = append(d.queue, ev) }

func (d *driven) perform(effect step.Effect) {
	switch e := effect.(type) {
	case membership.SendPacket:
		d.send(e)
	case membership.StartExchange:
		d.exchange(e)
	case membership.ReadContacts:
		d.post(membership.ContactsRead{})
	case membership.WriteContact:
		d.post(membership.ContactWritten{Key: e.Write.Key})
	case confsync.ReadHead:
		d.post(confsync.HeadRead{Attempt: e.Attempt, ID: d.head})
	case confsync.FetchObject:
		d.post(confsync.ObjectFetched{Attempt: e.Attempt, ID: d.head, Body: d.body})
	case confsync.AskFloor:
		response := &peerv1.RememberFloorResponse{Floor: e.Request.GetApplying()}
		d.bytes += proto.Size(e.Request) + proto.Size(response)
		d.post(confsync.FloorRemembered{Attempt: e.Attempt, Address: e.Address, Response: response})
	case claim.WriteClaims:
		d.post(claim.TableWritten{Batch: e.Batch})
	case step.Reply:
		d.bytes += proto.Size(e.Message)
	}
}

// send encodes a packet; the peer at its address acks what asks for an ack.
func (d *driven) send(e membership.SendPacket) {
	datagram, err := membership.Encode(e.Packet)
	if err != nil {
		return
	}
	d.bytes += len(datagram) + datagramHeaders
	if e.Packet.GetPing() == nil && e.Packet.GetAppliedReport() == nil {
		return
	}
	ack := d.packetFrom(d.byAddr[e.Address])
	ack.Seq = e.Packet.GetSeq()
	ack.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	d.receive(e.Address, ack)
}

func (d *driven) packetFrom(r membership.Record) *peerv1.Packet {
	return &peerv1.Packet{Mesh: meshName, From: r.Instance, Incarnation: r.Incarnation, Applied: membership.ConfigIDOf(d.head), Seq: 1}
}

func (d *driven) receive(from string, packet *peerv1.Packet) {
	datagram, err := membership.Encode(packet)
	if err != nil {
		return
	}
	d.bytes += len(datagram) + datagramHeaders
	decoded, err := membership.Decode(datagram, meshName)
	if err == nil {
		d.post(membership.PacketReceived{From: from, Packet: decoded})
	}
}

// exchange answers that the tables are equal. A delegate of the other data
// centre asks back as often as it is asked.
func (d *driven) exchange(e membership.StartExchange) {
	response := &peerv1.ExchangeMembersResponse{TableHash: e.Request.GetTableHash(), Reports: d.reports(), Applied: membership.ConfigIDOf(d.head)}
	d.bytes += proto.Size(e.Request) + proto.Size(response)
	d.post(membership.ExchangeAnswered{Address: e.Address, Response: response})
	peer := d.byAddr[e.Address]
	if peer.DataCentre == d.self.DataCentre || len(e.Request.GetScope()) == 0 {
		return
	}
	back := proto.Clone(e.Request).(*peerv1.ExchangeMembersRequest)
	back.From, back.DataCentre, back.Members = peer.Instance, peer.DataCentre, nil
	d.bytes += proto.Size(back)
	d.post(membership.ExchangeRequested{Request: back})
}

// reports are fresh ones of all data centres, with one version in force.
func (d *driven) reports() []*peerv1.DataCentreReport {
	var reports []*peerv1.DataCentreReport
	for i := range tableDataCentres {
		reports = append(reports, &peerv1.DataCentreReport{
			DataCentre: d.records[i].DataCentre,
			Written:    d.moment().Wall.UnixMilli(),
			Versions:   []*peerv1.VersionCount{{Id: membership.ConfigIDOf(d.head), Daemons: uint32(len(d.records) / tableDataCentres)}},
			Daemons:    uint32(len(d.records) / tableDataCentres),
		})
	}
	return reports
}

// second is one second in which one neighbour pings.
func (d *driven) second(n int) {
	for range time.Second / tickInterval {
		d.now += tickInterval
		d.step(step.Tick{})
	}
	neighbour := d.records[tableDataCentres*(1+n%(len(d.records)/tableDataCentres-1))]
	ping := d.packetFrom(neighbour)
	ping.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{Target: d.self.Instance}}
	d.receive(neighbour.Address, ping)
	d.step(step.Tick{})
}

// run goes on for some virtual time. It returns the most bytes of one minute.
func (d *driven) run(length time.Duration) (busiest int) {
	before := d.bytes
	for n := range int(length / time.Second) {
		d.second(n)
		if (n+1)%60 == 0 {
			busiest = max(busiest, d.bytes-before)
			before = d.bytes
		}
	}
	return busiest
}

// change brings news of one record's next state and a tick after it.
func (d *driven) change(n int) {
	record := d.records[1+n%(len(d.records)-1)]
	record.Sequence += uint64(1 + n/(len(d.records)-1))
	packet := d.packetFrom(d.records[tableDataCentres])
	packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{Target: d.self.Instance}}
	packet.Updates = []*peerv1.Member{membership.MemberOf(record)}
	d.receive(d.records[tableDataCentres].Address, packet)
	d.now += tickInterval
	d.step(step.Tick{})
}

// heartbeat is what one daemon sends and receives each second if all tell all
// others their records once a second.
func (d *driven) heartbeat() float64 {
	packet := d.packetFrom(d.self)
	packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{}}
	packet.Updates = []*peerv1.Member{membership.MemberOf(d.self)}
	datagram, err := membership.Encode(packet)
	if err != nil {
		return 0
	}
	return 2 * float64(len(d.records)-1) * float64(len(datagram)+datagramHeaders)
}

// reducers measures one reducer with tables of each size.
func (c *tablesCommand) reducers() error {
	r := report{title: "One reducer on a virtual clock, 14 data centres; bytes sent and received", size: "records",
		columns: []string{"B/s", "busiest minute B/s", "µs/s at rest", "ms a record change", "heap MB", "all-to-all B/s"}}
	for _, count := range c.Records {
		before := heapInUse()
		d, err := newDriven(count)
		if err != nil {
			return err
		}
		row, err := c.reducer(d)
		if err != nil {
			return err
		}
		const mega = 1e6
		r.add(count, append(row, float64(heapInUse()-before)/mega, d.heartbeat())...)
	}
	r.print()
	return nil
}

func (c *tablesCommand) reducer(d *driven) ([]float64, error) {
	d.run(reducerSettle)
	if !d.core.Ready() {
		return nil, fmt.Errorf("the reducer holds no configuration")
	}
	d.bytes = 0
	length := time.Duration(c.Hours) * time.Hour
	began := processorSeconds()
	busiest := d.run(length)
	rest := (processorSeconds() - began) / length.Seconds()
	bytesPerSecond := float64(d.bytes) / length.Seconds()
	change := d.costOf(changesCounted, rest, d.change)
	const micro = 1e6
	return []float64{bytesPerSecond, float64(busiest) / time.Minute.Seconds(), micro * rest, change}, nil
}

// costOf returns the processor time in milliseconds that one repeat of work
// takes beyond the cost at rest for each second.
func (d *driven) costOf(repeats int, rest float64, work func(n int)) float64 {
	began, spent := d.now, processorSeconds()
	for n := range repeats {
		work(n)
	}
	const milli = 1000
	beyond := processorSeconds() - spent - rest*(d.now-began).Seconds()
	return milli * beyond / float64(repeats)
}

// processorSeconds is the processor time of this process, collector included.
func processorSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
