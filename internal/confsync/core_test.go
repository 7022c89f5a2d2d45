package confsync

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

// The fakes of this test: a body compiles unless it starts with "bad" or
// "panic", and a delta names its base.
func fakeCompile(body []byte) (*manifest.Table, error) {
	if strings.HasPrefix(string(body), "bad") {
		return nil, errors.New("does not compile")
	}
	if strings.HasPrefix(string(body), "panic") {
		panic("compiler bug")
	}
	return new(manifest.Table), nil
}

func fakeMakeDelta(base, target []byte) []byte {
	if len(base) > 0 {
		return []byte(fmt.Sprintf("d%d:%s", len(base), target))
	}
	return []byte("whole-body:" + string(target))
}

func fakeApplyDelta(base, delta []byte) ([]byte, error) {
	prefix, body, found := strings.Cut(string(delta), ":")
	want := "whole-body"
	if len(base) > 0 {
		want = fmt.Sprintf("d%d", len(base))
	}
	if !found || prefix != want {
		return nil, fmt.Errorf("delta %q does not fit base %q", delta, base)
	}
	return []byte(body), nil
}

func testConfig(instance, dataCentre string) Config {
	return Config{
		Mesh:       "test",
		Instance:   instance,
		DataCentre: dataCentre,
		Compile:    fakeCompile,
		MakeDelta:  fakeMakeDelta,
		ApplyDelta: fakeApplyDelta,
		StartWait:  1500 * time.Millisecond,
	}
}

func idOf(version uint64, body string) manifest.ID {
	return manifest.ID{Version: version, Digest: manifest.DigestOf([]byte(body))}
}

// transcript drives one Core by the commands of a file.
type transcript struct {
	core   *Core
	now    time.Duration
	random uint64
	names  map[manifest.ID]string
}

func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &transcript{names: map[manifest.ID]string{}}
		datadriven.RunTest(t, path, tr.run)
	})
}

func (tr *transcript) run(t *testing.T, d *datadriven.TestData) string {
	// The answer to the start's read follows at once and draws what its
	// question would have.
	if d.Cmd != "confirm" {
		tr.random++
	}
	if d.HasArg("after") {
		pause, err := time.ParseDuration(steptest.Text(t, d, "after"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		tr.now += pause
	}
	m := step.Moment{Now: tr.now, Random: tr.random}
	if d.Cmd == "new" {
		cfg := testConfig(steptest.Text(t, d, "instance"), steptest.Text(t, d, "dc"))
		tr.core = New(cfg, m)
		return "ok"
	}
	if d.Cmd == "state" {
		return tr.state()
	}
	return tr.render(tr.core.Step(m, tr.event(t, d)))
}

func (tr *transcript) state() string {
	c := tr.core
	refused := "nothing"
	if r, any := c.Refused(); any {
		refused = fmt.Sprintf("%s %s", tr.name(r.ID), r.Code)
	}
	return fmt.Sprintf("applied=%s floor=%s ready=%t polling=%t platform=%t refused=%s body=%q",
		tr.name(c.Applied()), tr.name(c.Floor()), c.Ready(), c.Polling(), c.PlatformReachable(), refused, c.Body())
}

func (tr *transcript) event(t *testing.T, d *datadriven.TestData) step.Event {
	switch d.Cmd {
	case "tick":
		return step.Tick{}
	case "pause":
		return step.Paused{Gap: time.Second}
	case "members":
		return MembersChanged{Members: members(d.Input)}
	case "head":
		return HeadRead{Attempt: tr.attempt(t, d, tr.core.poll.inFlight), ID: tr.id(t, d, "id"), Err: failure(t, d)}
	case "confirm":
		return HeadRead{Attempt: startRead, ID: tr.id(t, d, "id"), Err: failure(t, d)}
	case "notice":
		remaining := steptest.Number[int](t, d, "remaining")
		return NoticeReceived{From: steptest.Text(t, d, "from"), Address: steptest.Text(t, d, "from"), ID: tr.id(t, d, "id"), Remaining: uint32(remaining)}
	case "peer":
		return PeerApplied{Instance: steptest.Text(t, d, "from"), Address: steptest.Text(t, d, "from"), ID: tr.id(t, d, "id")}
	case "object":
		return ObjectFetched{Attempt: tr.core.target.inFlight, ID: tr.id(t, d, "id"), Body: []byte(steptest.Text(t, d, "body")), Err: failure(t, d)}
	case "fetched":
		return tr.fetched(t, d)
	case "floor":
		resp := &peerv1.RememberFloorResponse{Floor: idToProto(tr.id(t, d, "floor")), Applied: idToProto(tr.id(t, d, "applied"))}
		return FloorRemembered{Attempt: steptest.Number[uint64](t, d, "attempt"), Address: steptest.Text(t, d, "from"), Response: resp, Err: failure(t, d)}
	case "serve":
		req := &peerv1.FetchConfigRequest{Mesh: orElse(steptest.Text(t, d, "mesh"), "test"), From: steptest.Text(t, d, "from"), Have: idToProto(tr.id(t, d, "have"))}
		return FetchRequested{Call: 7, Request: req}
	case "remember":
		req := &peerv1.RememberFloorRequest{Mesh: "test", Instance: steptest.Text(t, d, "from"), Applying: idToProto(tr.id(t, d, "id"))}
		return FloorRequested{Call: 7, Request: req}
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return nil
}

func (tr *transcript) fetched(t *testing.T, d *datadriven.TestData) step.Event {
	resp := &peerv1.FetchConfigResponse{
		Id:           idToProto(tr.id(t, d, "id")),
		Base:         idToProto(tr.id(t, d, "base")),
		Body:         []byte(steptest.Text(t, d, "body")),
		Floor:        idToProto(tr.id(t, d, "floor")),
		RetryAfterMs: uint32(steptest.Number[uint64](t, d, "retry-ms")),
	}
	return PeerFetched{Attempt: tr.attempt(t, d, tr.core.target.inFlight), Address: tr.core.target.from, Response: resp, Err: failure(t, d)}
}

func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}

// attempt returns the attempt argument, or the one in flight.
func (tr *transcript) attempt(t *testing.T, d *datadriven.TestData, inFlight uint64) uint64 {
	if d.HasArg("attempt") {
		return steptest.Number[uint64](t, d, "attempt")
	}
	return inFlight
}

func failure(t *testing.T, d *datadriven.TestData) error {
	if text := steptest.Text(t, d, "err"); text != "" {
		return errors.New(text)
	}
	return nil
}

// id reads an ID written as version:body.
func (tr *transcript) id(t *testing.T, d *datadriven.TestData, key string) manifest.ID {
	text := steptest.Text(t, d, key)
	if text == "" || text == "none" {
		return manifest.ID{}
	}
	version, body, found := strings.Cut(text, ":")
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil || !found {
		d.Fatalf(t, "%s: want version:body, got %q", key, text)
	}
	id := idOf(n, body)
	tr.names[id] = text
	return id
}

func (tr *transcript) name(id manifest.ID) string {
	if name, known := tr.names[id]; known {
		return name
	}
	return id.String()
}

// members reads lines of instance, data centre and optionally a liveness; the
// address is the instance.
func members(text string) []membership.Record {
	var list []membership.Record
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		parts := strings.Fields(line)
		r := membership.Record{Instance: parts[0], Address: parts[0], DataCentre: parts[1], Liveness: membership.Alive}
		if len(parts) > 2 && parts[2] == "dead" {
			r.Liveness = membership.Dead
		}
		r.Leaving = len(parts) > 2 && parts[2] == "leaving"
		list = append(list, r)
	}
	return list
}

func (tr *transcript) render(effects []step.Effect) string {
	if len(effects) == 0 {
		return "nothing"
	}
	var b strings.Builder
	for _, e := range effects {
		b.WriteString(e.EffectName() + " " + tr.renderOne(e) + "\n")
	}
	return b.String()
}

func (tr *transcript) renderOne(e step.Effect) string {
	switch e := e.(type) {
	case ReadHead:
		return fmt.Sprintf("attempt=%d", e.Attempt)
	case FetchFromPeer:
		return fmt.Sprintf("%s have=%s", e.Address, tr.proto(e.Request.Have))
	case FetchObject:
		return tr.name(e.ID)
	case SendNotice:
		return fmt.Sprintf("%s to %v remaining=%d", tr.proto(e.Notice.Id), e.Addresses, e.Notice.Remaining)
	case AskFloor:
		return fmt.Sprintf("%s attempt=%d applying=%s", e.Address, e.Attempt, tr.proto(e.Request.Applying))
	case Applied:
		return tr.name(e.ID)
	case Refused:
		return fmt.Sprintf("%s %s", tr.name(e.ID), e.Code)
	case step.Log:
		return fmt.Sprintf("%s%s", e.Event, tr.fields(e))
	case step.Reply:
		return tr.reply(e.Message)
	}
	return fmt.Sprintf("%v", e)
}

func (tr *transcript) fields(l step.Log) string {
	var b strings.Builder
	for _, f := range l.Fields {
		value := f.Value
		for id, name := range tr.names {
			value = strings.ReplaceAll(value, id.String(), name)
			value = strings.ReplaceAll(value, id.Digest.Short(), "digest-of-"+strings.SplitN(name, ":", 2)[1])
		}
		fmt.Fprintf(&b, " %s=%q", f.Key, value)
	}
	return b.String()
}

func (tr *transcript) proto(id *peerv1.ConfigID) string { return tr.name(idFromProto(id)) }

func (tr *transcript) reply(m proto.Message) string {
	switch m := m.(type) {
	case *peerv1.FetchConfigResponse:
		return fmt.Sprintf("id=%s base=%s body=%q floor=%s retry-ms=%d",
			tr.proto(m.Id), tr.proto(m.Base), m.Body, tr.proto(m.Floor), m.RetryAfterMs)
	case *peerv1.RememberFloorResponse:
		return fmt.Sprintf("floor=%s applied=%s", tr.proto(m.Floor), tr.proto(m.Applied))
	}
	return "?"
}
