package control

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/confsync"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

// TestTranscripts feeds events to one reducer and prints the effects of each.
// Commands are "tick" with a number of ticks, and the events of readEvent.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		n := &network{t: t}
		p := &process{n: n, name: "k-1", dataCentre: "k", address: "192.0.2.1:7000"}
		p.core = New(p.config(), p.moment())
		s := &script{t: t, n: n, p: p}
		datadriven.RunTest(t, path, s.run)
	})
}

// script drives one reducer from a transcript.
type script struct {
	t *testing.T
	n *network
	p *process
	// readHead and fetchObject are the attempts that wait for an answer.
	readHead, fetchObject uint64
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "tick" {
		count := 1
		if d.HasArg("count") {
			d.ScanArgs(t, "count", &count)
		}
		var out []string
		for range count {
			s.n.Now += testTick
			out = append(out, s.step(step.Tick{})...)
		}
		return join(out)
	}
	return join(s.step(s.readEvent(t, d)))
}

// step returns the effects as text.
func (s *script) step(ev step.Event) []string {
	var out []string
	for _, effect := range s.p.core.Step(s.p.moment(), ev) {
		switch e := effect.(type) {
		case confsync.ReadHead:
			s.readHead = e.Attempt
		case confsync.FetchObject:
			s.fetchObject = e.Attempt
		}
		out = append(out, describeEffect(effect))
	}
	return out
}

func join(lines []string) string {
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

// readEvent makes the event that a command names.
func (s *script) readEvent(t *testing.T, d *datadriven.TestData) step.Event {
	arg := func(name string) int { return steptest.Number[int](t, d, name) }
	switch d.Cmd {
	case "head":
		return confsync.HeadRead{Attempt: s.readHead, ID: s.id(arg("version"), arg("body"))}
	case "object":
		body := testManifest(t, arg("body"))
		return confsync.ObjectFetched{Attempt: s.fetchObject, ID: s.id(arg("version"), arg("body")), Body: body}
	case "announce":
		return membership.UpstreamAnnounced{Service: "desk", Slots: arg("slots"), State: membership.UpstreamState(arg("state")), TTL: time.Minute}
	case "upstream-lost":
		return UpstreamLost{}
	case "leave":
		return LeaveRequested{}
	case "paused":
		return step.Paused{Gap: time.Duration(arg("seconds")) * time.Second}
	case "crashed":
		return quarantine.Crashed{Fingerprint: crasher, Crash: uint64(arg("crash"))}
	case "cleared":
		return quarantine.Cleared{Fingerprint: crasher}
	case "exchange":
		return membership.ExchangeRequested{Call: 7, Request: &peerv1.ExchangeMembersRequest{Mesh: testMesh, From: "p-1", DataCentre: "p"}}
	case "status":
		return StatusRequested{Call: 8}
	}
	t.Fatalf("%s: unknown event %q", d.Pos, d.Cmd)
	return nil
}

func (s *script) id(version, body int) manifest.ID {
	return manifest.ID{Version: uint64(version), Digest: manifest.DigestOf(testManifest(s.t, body))}
}

func describeEffect(effect step.Effect) string {
	switch e := effect.(type) {
	case step.Log:
		return describeLog(e)
	case step.Reply:
		return describeReply(e)
	case PublishSnapshot:
		return fmt.Sprintf("publish-snapshot %d %s", e.Snapshot.Config.Version, describeServices(e))
	case PublishClaimView:
		return fmt.Sprintf("publish-claim-view %d live in k: %d", e.View.Version, len(e.View.Live["k"]))
	case LocalUpstream:
		return fmt.Sprintf("local-upstream %s %d slots %s", e.Service, e.Slots, e.State)
	case ConfigInForce:
		return fmt.Sprintf("config-in-force %d", e.ID.Version)
	case ConfigRefused:
		return fmt.Sprintf("config-refused %d %s", e.ID.Version, e.Code)
	case quarantine.SetChanged:
		return fmt.Sprintf("quarantine-changed refused: %v", e.Entries[crasher].Refused)
	}
	return effect.EffectName()
}

func describeLog(e step.Log) string {
	level := "info"
	if e.Warn {
		level = "warn"
	}
	return fmt.Sprintf("log %s %d %s", level, e.Event, event.Number(e.Event))
}

func describeReply(e step.Reply) string {
	switch message := e.Message.(type) {
	case *peerv1.ExchangeMembersResponse:
		return fmt.Sprintf("reply %d exchange with %d fingerprints", e.Call, len(message.GetQuarantined()))
	case *peerv1.StatusResponse:
		return fmt.Sprintf("reply %d status: version %d, %d members, refused %d",
			e.Call, message.GetApplied().GetVersion(), len(message.GetMembers()), message.GetRefused().GetCode())
	}
	return fmt.Sprintf("reply %d %T", e.Call, e.Message)
}

func describeServices(e PublishSnapshot) string {
	var services []string
	for name, pool := range e.Snapshot.Services {
		services = append(services, fmt.Sprintf("%s:%d", name, len(pool)))
	}
	sort.Strings(services)
	return strings.Join(services, " ")
}
