package membership

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/step"
)

// goodPacket returns a packet that passes every check, with every part set.
func goodPacket() *peerv1.Packet {
	member := MemberOf(Record{
		Instance: "dc-a-002", Incarnation: 5, Sequence: 3, DataCentre: "dc-a", Address: "10.0.0.2:7000",
		Service: "orders-desk", Slots: 10, UpstreamState: UpstreamReady, Liveness: Alive,
	})
	return &peerv1.Packet{
		Mesh: testMesh, From: "dc-a-001", Incarnation: 4, Seq: 8,
		Applied: ConfigIDOf(testConfig),
		Refused: &peerv1.Refusal{Id: ConfigIDOf(testConfig), Code: 404, Detail: "no"},
		Body: &peerv1.Packet_PingRequest{PingRequest: &peerv1.PingRequest{
			Target: "dc-a-003", Address: "10.0.0.3:7000",
		}},
		Updates:     []*peerv1.Member{member},
		Quarantined: []*peerv1.Fingerprint{{Hash: make([]byte, 32), Crashes: 2}},
	}
}

func TestPacketsOutOfBoundsAreRefused(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	tests := []struct {
		name   string
		want   error
		change func(p *peerv1.Packet)
	}{
		{"other mesh", ErrForeign, func(p *peerv1.Packet) { p.Mesh = "other" }},
		{"no mesh", ErrForeign, func(p *peerv1.Packet) { p.Mesh = "" }},
		{"no sender", ErrBounds, func(p *peerv1.Packet) { p.From = "" }},
		{"long sender", ErrBounds, func(p *peerv1.Packet) { p.From = long }},
		{"no body", ErrMalformed, func(p *peerv1.Packet) { p.Body = nil }},
		{"short digest", ErrBounds, func(p *peerv1.Packet) { p.Applied.Digest = []byte{1} }},
		{"digest without version", ErrBounds, func(p *peerv1.Packet) { p.Applied.Version = 0 }},
		{"long refusal", ErrBounds, func(p *peerv1.Packet) { p.Refused.Detail = strings.Repeat("x", maxDetailBytes+1) }},
		{"short refused digest", ErrBounds, func(p *peerv1.Packet) { p.Refused.Id.Digest = nil }},
		{"no target", ErrBounds, func(p *peerv1.Packet) { p.GetPingRequest().Target = "" }},
		{"target by name", ErrBounds, func(p *peerv1.Packet) { p.GetPingRequest().Address = "example:7000" }},
		{"no instance", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Instance = "" }},
		{"long instance", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Instance = long }},
		{"no data centre", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].DataCentre = "" }},
		{"address without port", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Address = "10.0.0.2" }},
		{"long service", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Service = long }},
		{"endless incarnation", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Incarnation = math.MaxUint64 }},
		{"endless sequence", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Sequence = math.MaxUint64 }},
		{"many slots", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Slots = MaxSlots + 1 }},
		{"unknown upstream state", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].UpstreamState = 9 }},
		{"unknown liveness", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Liveness = 9 }},
		{"no liveness", ErrBounds, func(p *peerv1.Packet) { p.Updates[0].Liveness = 0 }},
		{"short fingerprint", ErrBounds, func(p *peerv1.Packet) { p.Quarantined[0].Hash = []byte{1} }},
		{"oversize", ErrOversize, func(p *peerv1.Packet) {
			for range 40 {
				p.Updates = append(p.Updates, p.Updates[0])
			}
		}},
	}
	for _, test := range tests {
		packet := goodPacket()
		test.change(packet)
		datagram, err := proto.Marshal(packet)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(datagram, testMesh); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
	datagram, err := Encode(goodPacket())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(datagram, testMesh); err != nil {
		t.Errorf("the packet that the changes start from is refused: %v", err)
	}
}

func TestTruncatedPacketsNeverPanic(t *testing.T) {
	datagram, err := Encode(goodPacket())
	if err != nil {
		t.Fatal(err)
	}
	n := steady(t, 50, 4, "dc-a")
	for end := range datagram {
		packet, err := Decode(datagram[:end], testMesh)
		if err != nil {
			n.step(n.nodes[0], PacketRefused{From: "10.0.0.9:7000", Err: err})
			continue
		}
		n.step(n.nodes[0], PacketReceived{From: "10.0.0.9:7000", Packet: packet})
	}
	if n.nodes[0].core.Drops()[DropForeign] == 0 {
		t.Error("truncated packets were not counted")
	}
	if got := n.nodes[0].counts["packet-dropped"]; got > 5 {
		t.Errorf("%d log lines for a burst of dropped packets, want one for each kind", got)
	}
}

func TestForeignExchangeGetsNothing(t *testing.T) {
	n := steady(t, 51, 3, "dc-a")
	core := n.nodes[0].core
	before := slices.Clone(core.Records())
	bad := []*peerv1.ExchangeMembersRequest{
		{Mesh: "other", From: "x", TableHash: 1},
		{Mesh: testMesh, TableHash: 1},
		{Mesh: testMesh, From: "x", Buckets: []uint32{bucketCount}},
		{Mesh: testMesh, From: "x", Digests: []*peerv1.MemberDigest{{}}},
		{Mesh: testMesh, From: "x", Members: []*peerv1.Member{{Instance: "y"}}},
		{Mesh: testMesh, From: "x", Reports: []*peerv1.DataCentreReport{{}}},
		{Mesh: testMesh, From: "x", Quarantined: []*peerv1.Fingerprint{{}}},
	}
	for i, request := range bad {
		replies := 0
		for _, effect := range core.Step(n.moment(), ExchangeRequested{Call: step.CallID(i), Request: request}) {
			reply, ok := effect.(step.Reply)
			if !ok {
				continue
			}
			replies++
			if proto.Size(reply.Message) != 0 {
				t.Errorf("request %d was answered with %v", i, reply.Message)
			}
		}
		if replies != 1 {
			t.Errorf("request %d got %d replies, want 1", i, replies)
		}
	}
	if !slices.Equal(before, core.Records()) {
		t.Error("a refused request changed the table")
	}
}

func TestReplayedTrafficChangesNothing(t *testing.T) {
	n := newNetwork(t, 52)
	var captured []delivery
	n.packets = func(from *node, send SendPacket) []time.Duration {
		captured = append(captured, delivery{to: send.Address, event: PacketReceived{
			From: from.cfg.Address, Packet: proto.Clone(send.Packet).(*peerv1.Packet),
		}})
		return []time.Duration{n.latency()}
	}
	n.dataCentres(6, "dc-a", "dc-b")
	n.run(10 * time.Second)
	n.announce(n.nodes[2], UpstreamReady)
	n.run(5 * time.Second)
	n.announce(n.nodes[2], UpstreamDraining)
	n.nodes[4].down = true
	n.run(time.Second)
	n.boot(n.nodes[4])
	n.nodes[6].down = true
	n.run(30 * time.Second)
	n.until(settle, "all agree", n.whole)

	n.random.Shuffle(len(captured), func(i, j int) { captured[i], captured[j] = captured[j], captured[i] })
	for _, victim := range n.up() {
		replay(n, victim, captured)
	}
}

// replay gives a node all it ever received once more, and checks that no
// record changes on the way.
func replay(n *network, victim *node, captured []delivery) {
	before := slices.Clone(victim.core.Records())
	replayed := 0
	for _, d := range captured {
		if d.to != victim.cfg.Address {
			continue
		}
		replayed++
		victim.core.Step(n.moment(), d.event)
		if after := victim.core.Records(); !slices.Equal(before, after) {
			n.t.Fatalf("%s: replayed packet %+v changed the table:\n%v\n%v", victim.cfg.Instance, d.event, before, after)
		}
	}
	if replayed == 0 || victim.core.Drops()[DropReplayed] == 0 {
		n.t.Errorf("%s: %d packets replayed, drops %v", victim.cfg.Instance, replayed, victim.core.Drops())
	}
}

func TestTableIsBounded(t *testing.T) {
	core := fuzzCore()
	for i := range MaxRecords + 10 {
		r := Record{
			Instance: fmt.Sprint("made-up-", i), Incarnation: 1, DataCentre: "dc-z", Liveness: Alive,
			Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		}
		core.merge(MemberOf(r), viaGossip)
	}
	if got := len(core.table.entries); got != MaxRecords {
		t.Errorf("%d records, want %d", got, MaxRecords)
	}
	if core.Drops()[DropBounds] == 0 {
		t.Error("the refused records were not counted")
	}
}

func TestOwnPacketsSentBackAreDropped(t *testing.T) {
	n := steady(t, 53, 3, "dc-a")
	core := n.nodes[0].core
	packet := core.Packet()
	packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{}}
	for _, effect := range core.Step(n.moment(), PacketReceived{From: "10.97.0.1:7000", Packet: packet}) {
		if _, sent := effect.(SendPacket); sent {
			t.Error("the daemon answered itself")
		}
	}
	if core.Drops()[DropReplayed] == 0 {
		t.Error("the packet was not counted")
	}
}

// fuzzMoment is when fuzzed events arrive.
var fuzzMoment = step.Moment{Now: time.Minute, Wall: time.Unix(1_700_000_000, 0), Random: 1}

func fuzzCore() *Core {
	return New(Config{Mesh: testMesh, Instance: "dc-a-001", Incarnation: 4, DataCentre: "dc-a", Address: "10.0.0.1:7000"}, fuzzMoment)
}

func FuzzDecodePacket(f *testing.F) {
	datagram, err := Encode(goodPacket())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		packet, err := Decode(datagram, testMesh)
		core := fuzzCore()
		if err != nil {
			core.Step(fuzzMoment, PacketRefused{From: "10.0.0.9:7000", Err: err})
			return
		}
		for _, effect := range core.Step(fuzzMoment, PacketReceived{From: "10.0.0.9:7000", Packet: packet}) {
			checkSent(t, effect)
		}
	})
}

// checkSent fails when a packet in answer to a fuzzed one is itself refused.
func checkSent(t *testing.T, effect step.Effect) {
	send, ok := effect.(SendPacket)
	if !ok {
		return
	}
	datagram, err := Encode(send.Packet)
	if err != nil {
		t.Fatalf("the answer does not encode: %v", err)
	}
	if _, err := Decode(datagram, testMesh); err != nil {
		t.Fatalf("the answer does not decode: %v", err)
	}
}

func FuzzExchangeRequest(f *testing.F) {
	request, err := proto.Marshal(&peerv1.ExchangeMembersRequest{
		Mesh: testMesh, From: "dc-b-001", DataCentre: "dc-b", TableHash: 4, Buckets: []uint32{3}, Scope: []string{"dc-a"},
		Digests: []*peerv1.MemberDigest{{Instance: "dc-b-002", Incarnation: 3, Sequence: 1, Liveness: 1}},
		Members: goodPacket().GetUpdates(),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Fuzz(func(t *testing.T, raw []byte) {
		request := &peerv1.ExchangeMembersRequest{}
		if proto.Unmarshal(raw, request) != nil {
			return
		}
		replies := 0
		for _, effect := range fuzzCore().Step(fuzzMoment, ExchangeRequested{Call: 1, Request: request}) {
			if _, ok := effect.(step.Reply); ok {
				replies++
			}
		}
		if replies != 1 {
			t.Fatalf("%d replies, want 1", replies)
		}
	})
}

func FuzzExchangeResponse(f *testing.F) {
	response, err := proto.Marshal(&peerv1.ExchangeMembersResponse{
		TableHash: 3, BucketHashes: make([]uint64, bucketCount), Wanted: []string{"dc-a-001"}, Members: goodPacket().GetUpdates(),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(response)
	f.Fuzz(func(t *testing.T, raw []byte) {
		response := &peerv1.ExchangeMembersResponse{}
		if proto.Unmarshal(raw, response) != nil {
			return
		}
		core := fuzzCore()
		core.startExchange("10.0.0.2:7000", "", nil)
		core.Step(fuzzMoment, ExchangeAnswered{Address: "10.0.0.2:7000", Response: response})
		if core.Self().Liveness != Alive {
			t.Fatal("a response changed this instance's own liveness")
		}
	})
}

func FuzzDecodeContact(f *testing.F) {
	f.Add([]byte(`{"instance":"dc-a-002","data_centre":"dc-a","address":"10.0.0.2:7000","written_ms":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		found, err := decodeContact(value)
		if err == nil && (found.Instance == "" || found.DataCentre == "" || found.Address == "") {
			t.Fatalf("taken without all parts: %+v", found)
		}
	})
}

func TestSeedsAreCommitted(t *testing.T) {
	for _, target := range []string{"FuzzDecodePacket", "FuzzExchangeRequest", "FuzzExchangeResponse", "FuzzDecodeContact"} {
		seeds, err := filepath.Glob(filepath.Join("testdata", "fuzz", target, "*"))
		if err != nil || len(seeds) == 0 {
			t.Errorf("%s has no committed seeds (%v)", target, err)
		}
		for _, seed := range seeds {
			if raw, err := os.ReadFile(seed); err != nil || !strings.HasPrefix(string(raw), "go test fuzz v1") {
				t.Errorf("%s is no seed (%v)", seed, err)
			}
		}
	}
}
