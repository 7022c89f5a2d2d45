package membership

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// transcript drives one core by hand.
type transcript struct {
	core *Core
	now  time.Duration
}

// TestTranscripts steps one core through the events of each file and compares
// every effect. Commands:
//
//	start [peers=...]        a core dc-a-001 at 10.0.0.1:7000
//	tick [for=D]             ticks every 100 ms, until something comes out or D passed
//	packet from=I body=B [seq=N] [target=I] [incarnation=N] [applied=V] [address=A]
//	                         with one update a line: instance inc/seq liveness [state]
//	announce state=S ttl=D, leave, left, paused, applied version=N, reports-wanted
//	exchange from=I dc=D [living=N]  a peer's call; updates as above
//	answered address=A [err] the end of an own call; updates as above
//	contacts [err]           rows: dc instance address
//	records, reports
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata/transcripts", func(t *testing.T, path string) {
		run := &transcript{}
		datadriven.RunTest(t, path, run.command)
	})
}

func (r *transcript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		r.start(d)
		return ""
	case "tick":
		return r.tick(t, d)
	case "records":
		return r.records()
	case "reports":
		return r.reports()
	}
	return r.step(r.event(t, d))
}

func (r *transcript) moment() step.Moment {
	return step.Moment{Now: r.now, Wall: time.Unix(1_700_000_000, 0).Add(r.now), Random: uint64(r.now) + 1}
}

func (r *transcript) start(d *datadriven.TestData) {
	r.now = 0
	cfg := Config{Mesh: testMesh, Instance: "dc-a-001", Incarnation: 10, DataCentre: "dc-a", Address: "10.0.0.1:7000"}
	for _, arg := range d.CmdArgs {
		if arg.Key == "peers" {
			cfg.Peers = arg.Vals
		}
	}
	r.core = New(cfg, r.moment())
}

func (r *transcript) step(event step.Event) string {
	var out strings.Builder
	for _, effect := range r.core.Step(r.moment(), event) {
		fmt.Fprintln(&out, describe(effect))
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (r *transcript) tick(t *testing.T, d *datadriven.TestData) string {
	limit := testTick
	if d.HasArg("for") {
		limit = duration(t, d, "for")
	}
	for end := r.now + limit; r.now < end; {
		r.now += testTick
		if out := r.step(step.Tick{}); out != "nothing\n" {
			return fmt.Sprintf("at %v\n%s", r.now, out)
		}
	}
	return fmt.Sprintf("at %v\nnothing\n", r.now)
}

func (r *transcript) event(t *testing.T, d *datadriven.TestData) step.Event {
	switch d.Cmd {
	case "packet":
		return r.packet(t, d)
	case "announce":
		return UpstreamAnnounced{Service: "orders-desk", Slots: 10, State: state(text(t, d, "state")), TTL: duration(t, d, "ttl")}
	case "leave":
		return LeaveRequested{}
	case "left":
		return LeaveFinished{}
	case "paused":
		return step.Paused{Gap: time.Minute}
	case "applied":
		return AppliedChanged{Config: version(number(t, d, "version"))}
	case "reports-wanted":
		return ReportsWanted{}
	case "exchange":
		living := uint64(1)
		if d.HasArg("living") {
			living = number(t, d, "living")
		}
		return ExchangeRequested{Call: 1, Request: &peerv1.ExchangeMembersRequest{
			Mesh: testMesh, From: text(t, d, "from"), DataCentre: text(t, d, "dc"), TableHash: 1, Members: updates(t, d),
			Living: uint32(living),
		}}
	case "answered":
		if d.HasArg("err") {
			return ExchangeAnswered{Address: text(t, d, "address"), Err: errors.New("refused")}
		}
		return ExchangeAnswered{Address: text(t, d, "address"), Response: &peerv1.ExchangeMembersResponse{Members: updates(t, d)}}
	case "contacts":
		if d.HasArg("err") {
			return ContactsRead{Err: platform.ErrUnavailable}
		}
		return ContactsRead{Rows: rows(t, d)}
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return nil
}

func (r *transcript) packet(t *testing.T, d *datadriven.TestData) step.Event {
	packet := &peerv1.Packet{Mesh: testMesh, From: text(t, d, "from"), Incarnation: 10, Updates: updates(t, d)}
	target := ""
	if d.HasArg("target") {
		target = text(t, d, "target")
	}
	if d.HasArg("seq") {
		packet.Seq = number(t, d, "seq")
	}
	if d.HasArg("incarnation") {
		packet.Incarnation = number(t, d, "incarnation")
	}
	if d.HasArg("applied") {
		packet.Applied = ConfigIDOf(version(number(t, d, "applied")))
	}
	switch body := text(t, d, "body"); body {
	case "ping":
		packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{Target: target}}
	case "ack":
		packet.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	case "nack":
		packet.Body = &peerv1.Packet_Nack{Nack: &peerv1.Nack{}}
	case "ping-request":
		packet.Body = &peerv1.Packet_PingRequest{PingRequest: &peerv1.PingRequest{Target: target, Address: addressFor(target)}}
	case "urgent":
		packet.Body = &peerv1.Packet_Urgent{Urgent: &peerv1.Urgent{}}
	case "report":
		packet.Body = &peerv1.Packet_AppliedReport{AppliedReport: &peerv1.AppliedReport{}}
	case "notice":
		packet.Body = &peerv1.Packet_ConfigNotice{ConfigNotice: &peerv1.ConfigNotice{Id: ConfigIDOf(version(7)), Remaining: 3}}
	default:
		d.Fatalf(t, "unknown body %s", body)
	}
	return PacketReceived{From: addressFor(packet.GetFrom()), Packet: packet}
}

func (r *transcript) records() string {
	var out strings.Builder
	for _, record := range r.core.Records() {
		fmt.Fprintln(&out, describeRecord(record))
	}
	return out.String()
}

func (r *transcript) reports() string {
	var out strings.Builder
	for _, report := range r.core.Reports() {
		fmt.Fprintf(&out, "%s daemons=%d behind=%v", report.GetDataCentre(), report.GetDaemons(), report.GetBehind())
		for _, count := range report.GetVersions() {
			fmt.Fprintf(&out, " v%d=%d", count.GetId().GetVersion(), count.GetDaemons())
		}
		fmt.Fprintln(&out)
	}
	return out.String()
}

// addressFor derives an address from an instance id such as dc-a-002.
func addressFor(instance string) string {
	var dataCentre rune
	var index int
	if _, err := fmt.Sscanf(instance, "dc-%c-%d", &dataCentre, &index); err != nil {
		return "10.9.9.9:7000"
	}
	return fmt.Sprintf("10.0.%d.%d:7000", dataCentre-'a', index)
}

// updates reads records, one a line: instance incarnation/sequence liveness
// [upstream state].
func updates(t *testing.T, d *datadriven.TestData) []*peerv1.Member {
	var members []*peerv1.Member
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		if line == "" {
			continue
		}
		var instance, life, upstreamState string
		var incarnation, sequence uint64
		n, err := fmt.Sscanf(line, "%s %d/%d %s %s", &instance, &incarnation, &sequence, &life, &upstreamState)
		if n < 4 {
			d.Fatalf(t, "update %q: %v", line, err)
		}
		record := Record{
			Instance: instance, Incarnation: incarnation, Sequence: sequence, DataCentre: instance[:4],
			Address: addressFor(instance), Liveness: liveness(life), UpstreamState: state(upstreamState),
		}
		if record.UpstreamState != UpstreamNone {
			record.Service, record.Slots = "orders-desk", 10
		}
		members = append(members, MemberOf(record))
	}
	return members
}

func rows(t *testing.T, d *datadriven.TestData) []platform.Row {
	var found []platform.Row
	for i, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		if line == "" {
			continue
		}
		parts := strings.Fields(line)
		if len(parts) != 3 {
			d.Fatalf(t, "row %q: want data centre, instance and address", line)
		}
		value := fmt.Sprintf(`{"data_centre":%q,"instance":%q,"address":%q}`, parts[0], parts[1], parts[2])
		found = append(found, platform.Row{
			Key: fmt.Sprintf("contacts/test/%s/%d", parts[0], i), Value: []byte(value), Revision: uint64(i + 1),
		})
	}
	return found
}

func liveness(name string) Liveness {
	for l := Alive; l <= Left; l++ {
		if l.String() == name {
			return l
		}
	}
	return 0
}

func state(name string) UpstreamState {
	for s := UpstreamNone; s <= UpstreamGone; s++ {
		if s.String() == name {
			return s
		}
	}
	return UpstreamNone
}

func version(n uint64) manifest.ID {
	return manifest.ID{Version: n, Digest: manifest.DigestOf(fmt.Append(nil, n))}
}

func text(t *testing.T, d *datadriven.TestData, key string) string {
	var value string
	d.ScanArgs(t, key, &value)
	return value
}

func number(t *testing.T, d *datadriven.TestData, key string) uint64 {
	var value uint64
	d.ScanArgs(t, key, &value)
	return value
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	value, err := time.ParseDuration(text(t, d, key))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}
