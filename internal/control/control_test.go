package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// TestTranscripts feeds the events of each file in testdata to a Core and
// compares the resulting effects.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		core := New(Config{
			Self:              Member{Instance: "a-1", DataCentre: "a", Address: "127.0.0.1:1", Service: "desk"},
			HeartbeatInterval: time.Second,
			UpstreamAddress:   "127.0.0.1:9",
		})
		now := time.Duration(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			ev := parseEvent(t, d, &now)
			return formatEffects(core.Step(step.Env{Now: now, Wall: time.UnixMilli(1000).Add(now)}, ev))
		})
	})
}

// parseEvent parses one event of a transcript; after=DURATION advances the clock
// first.
func parseEvent(t *testing.T, d *datadriven.TestData, now *time.Duration) step.Event {
	t.Helper()
	*now += parseArgument(t, d, "after", time.ParseDuration)
	number := func(name string) uint64 {
		return parseArgument(t, d, name, func(text string) (n uint64, err error) {
			_, err = fmt.Sscan(text, &n)
			return n, err
		})
	}
	text := func(name string) string {
		return parseArgument(t, d, name, func(text string) (string, error) { return text, nil })
	}
	switch d.Cmd {
	case "tick":
		return step.Tick{}
	case "config":
		from := FromStore
		if d.HasArg("from") {
			from = text("from")
		}
		m := &manifest.Manifest{
			Services: []manifest.Service{{Name: "desk"}},
			Routes:   []manifest.Route{{Name: "r", Service: text("service")}},
		}
		if d.HasArg("limited") {
			m.Customers = []manifest.Customer{{Name: "north", Keys: []manifest.Key{"k"}, RatePerSecond: 1, Burst: 1}}
		}
		return ConfigRead{Version: number("version"), From: from, Manifest: m}
	case "rejected":
		return ConfigRejected{Err: errors.New("no version"), From: "store"}
	case "peer":
		return PeerConfigVersion{Instance: text("from"), Version: number("version"), Stopping: d.HasArg("stopping")}
	case "greeted":
		instance := text("instance")
		return PeerHandshake{Member: Member{Instance: instance, DataCentre: text("data-centre"), Address: "at-" + instance, Service: "desk"}}
	case "reached":
		return PeerReachability{Instance: text("instance"), Reachable: !d.HasArg("down")}
	case "store-of":
		return PeerStoreAvailability{Instance: text("instance"), Unavailable: d.HasArg("lost")}
	case "fetch-failed":
		return FetchFailed{Instance: text("from")}
	case "members":
		era := store.Era(number("era"))
		return MembersRead{Rows: parseRows(d.Input, era), Complete: d.HasArg("whole"), Unnamed: d.HasArg("unnamed"), Position: store.Position{Era: era, Version: number("at")}}
	case "era":
		return StoreEra{Era: store.Era(number("is"))}
	case "peer-era":
		return PeerStoreEra{Instance: text("from"), Era: store.Era(number("is"))}
	case "written":
		if d.HasArg("failed") {
			return MemberWritten{Err: store.ErrOutcomeUnknown}
		}
		return MemberWritten{Departure: Departure{Upstream: text("departure"), StartTime: int64(number("born"))}}
	case "report":
		report := UpstreamReport{
			Upstream: text("id"), StartTime: int64(number("born")), Service: "desk", Address: "127.0.0.1:9",
			Slots: 4, State: UpstreamReady, Sequence: number("sequence"),
		}
		if d.HasArg("address") {
			report.Address = text("address")
		}
		if d.HasArg("service") {
			report.Service = text("service")
		}
		if d.HasArg("draining") {
			report.State = UpstreamDraining
		}
		return report
	case "leave":
		return UpstreamReport{Upstream: text("id"), StartTime: int64(number("born")), State: UpstreamDeregistered}
	case "service":
		return ServiceChanged{Service: text("is")}
	case "lost":
		return UpstreamUnreachable{ID: text("id")}
	case "reminded":
		return DrainRecordReceived{ID: text("id"), StartTime: int64(number("born"))}
	case "announced":
		return UpstreamLeaving{ID: text("id"), StartTime: int64(number("born"))}
	case "stalled":
		return UpstreamStalled{ID: text("id")}
	case "stop":
		return StopRequested{UpstreamRuns: d.HasArg("runs")}
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
		return nil
	}
}

// parseArgument parses the named argument; it returns the zero value if there is
// none.
func parseArgument[T any](t *testing.T, d *datadriven.TestData, name string, parse func(string) (T, error)) T {
	t.Helper()
	var value T
	if !d.HasArg(name) {
		return value
	}
	text := ""
	d.ScanArgs(t, name, &text)
	value, err := parse(text)
	if err != nil {
		t.Fatalf("%s=%s: %v", name, text, err)
	}
	return value
}

// parseRows parses lines "KEY VERSION VALUE" of rows read in an era; the value "-"
// marks a removed row, and "?" one that cannot be read.
func parseRows(input string, era store.Era) []store.Row {
	var all []store.Row
	for _, line := range strings.Split(input, "\n") {
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 3 {
			continue
		}
		row := store.Row{Key: parts[0], Value: []byte(parts[2]), Removed: parts[2] == "-"}
		row.Position.Era = era
		if _, err := fmt.Sscan(parts[1], &row.Position.Version); err != nil {
			panic(err)
		}
		if parts[2] == "?" {
			row.Value, row.Err = nil, errors.New("not base64")
		}
		all = append(all, row)
	}
	return all
}

// formatEffects returns one line for each effect.
func formatEffects(effects []step.Effect) string {
	var out strings.Builder
	for _, effect := range effects {
		fmt.Fprintf(&out, "%s %s\n", effect.EffectName(), formatDetail(effect))
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func formatDetail(effect step.Effect) string {
	switch e := effect.(type) {
	case step.Log:
		texts := []string{e.Event.String()}
		for _, f := range e.Fields {
			texts = append(texts, f.Key+"="+f.Value)
		}
		return strings.Join(texts, " ")
	case PublishTable:
		return fmt.Sprint(e.Version)
	case PublishMembers:
		var names []string
		for _, m := range e.Members {
			names = append(names, m.Instance+"@"+m.Address)
		}
		slices.Sort(names)
		if e.OwnEntryRead {
			names = append(names, "own-entry-read")
		}
		return strings.Join(names, " ")
	case SetUpstream:
		return fmt.Sprintf("%s takes=%t", e.Upstream.ID, e.Upstream.AcceptsRequests())
	case WriteMember:
		return e.Key + " " + string(e.Value)
	default:
		text, err := json.Marshal(effect)
		if err != nil {
			panic(err)
		}
		return string(text)
	}
}
