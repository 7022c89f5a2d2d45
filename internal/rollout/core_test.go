package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// TestTranscripts feeds the events of each file in testdata to the Core of daemon a-1
// of service desk, and compares the resulting effects.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		core := New(Config{Instance: "a-1", DataCentre: "a", Service: "desk"})
		now := time.Duration(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("after") {
				after, err := time.ParseDuration(text(t, d, "after"))
				if err != nil {
					t.Fatal(err)
				}
				now += after
			}
			var out strings.Builder
			for range max(number(t, d, "times"), 1) {
				for _, ev := range parseEvents(t, d, now) {
					formatEffects(&out, core.Step(step.Env{Now: now}, ev))
				}
				if d.HasArg("every") {
					every, err := time.ParseDuration(text(t, d, "every"))
					if err != nil {
						t.Fatal(err)
					}
					now += every
				}
			}
			if out.Len() == 0 {
				return "nothing\n"
			}
			return out.String()
		})
	})
}

func text(t *testing.T, d *datadriven.TestData, name string) string {
	value := ""
	if d.HasArg(name) {
		d.ScanArgs(t, name, &value)
	}
	return value
}

func number(t *testing.T, d *datadriven.TestData, name string) int {
	value := 0
	if d.HasArg(name) {
		d.ScanArgs(t, name, &value)
	}
	return value
}

// parseEvents parses the events of one directive.
func parseEvents(t *testing.T, d *datadriven.TestData, now time.Duration) []step.Event {
	t.Helper()
	position := store.Position{Era: store.Era(number(t, d, "era")), Version: uint64(number(t, d, "at"))}
	request := Request{Service: "desk", To: text(t, d, "to"), Period: 12 * time.Second, Position: position}
	if d.HasArg("service") {
		request.Service = text(t, d, "service")
	}
	switch d.Cmd {
	case "tick":
		return []step.Event{step.Tick{}}
	case "no-requests":
		return []step.Event{RequestsRead{}}
	case "request":
		return []step.Event{RequestsRead{Requests: []Request{request}}}
	case "rejected":
		return []step.Event{RequestsRead{Rejected: []RejectedRequest{{Key: "rollout/desk", Err: errors.New("no version")}}}}
	case "configured":
		return []step.Event{ConfigServices{Names: map[string]bool{"desk": true}}}
	case "rows":
		ev := RowsRead{Statuses: map[string]StatusRow{}, Phases: map[string]PhaseRow{}}
		if d.HasArg("malformed") {
			ev.Phases["desk"] = PhaseRow{Version: uint64(number(t, d, "row")), Err: errors.New("decode phase: unexpected end")}
		}
		if d.HasArg("phase") {
			ev.Phases["desk"] = PhaseRow{Version: uint64(number(t, d, "row")), Saved: Saved{
				Version: position.Version, To: request.To, From: []string{"v1"}, Phase: text(t, d, "phase"),
			}}
		}
		return []step.Event{ev}
	case "peer":
		// The members are a-1, a-2 (old), a-3 and b-1 (new).
		instance := text(t, d, "instance")
		return []step.Event{
			PeerReachability{Instance: instance, Reachable: true},
			PeerState{Instance: instance, Service: "desk", Version: text(t, d, "version"), StoreUnavailable: d.HasArg("no-store")},
		}
	case "members":
		ev := MembersChanged{Complete: !d.HasArg("incomplete")}
		for _, instance := range strings.Fields(d.Input) {
			ev.Members = append(ev.Members, Member{Instance: instance, DataCentre: instance[:1], Service: "desk"})
		}
		if d.HasArg("other") {
			instance := text(t, d, "other")
			ev.Others = []Member{{Instance: instance, DataCentre: instance[:1], Service: "desk"}}
		}
		return []step.Event{ev}
	case "resumed":
		// The pause is the time given by after.
		after, err := time.ParseDuration(text(t, d, "after"))
		if err != nil {
			t.Fatal(err)
		}
		return []step.Event{step.Resumed{PausedFrom: now - after}}
	case "lost":
		return []step.Event{PeerReachability{Instance: text(t, d, "instance")}}
	case "upstream":
		return []step.Event{UpstreamChanged{Service: "desk", Version: text(t, d, "version")}}
	case "store-lost":
		return []step.Event{StoreAvailability{Unavailable: true}}
	case "store-back":
		return []step.Event{StoreAvailability{}}
	case "heard":
		phase, _ := ParsePhase(text(t, d, "phase"))
		return []step.Event{ProgressReceived{Instance: "b-1", Progress: []Progress{{Request: request, From: []string{"v1"}, Phase: phase, Reason: "told", Stored: d.HasArg("stored")}}}}
	case "report":
		phase, _ := ParsePhase(text(t, d, "phase"))
		counts := Counts{}
		failures := number(t, d, "failures")
		for i := range number(t, d, "answers") {
			counts.Record(i < failures, 200*time.Millisecond, true)
		}
		var unreachable []string
		if d.HasArg("unreachable") {
			unreachable = []string{text(t, d, "unreachable")}
		}
		return []step.Event{ReportReceived{Instance: text(t, d, "instance"), Report: Report{
			Service: request.Service, Position: position, Phase: phase, Version: text(t, d, "version"), Drained: d.HasArg("drained"), TakesWork: true, Slots: 4,
			Routes: map[string]Counts{"r": counts}, Unreachable: unreachable,
		}}}
	case "written":
		phase, _ := ParsePhase(text(t, d, "phase"))
		ev := WriteDone{Service: "desk", Position: position, Phase: phase, Version: uint64(number(t, d, "row"))}
		switch {
		case d.HasArg("unknown"):
			ev.Err = store.ErrOutcomeUnknown
		case d.HasArg("replaced"):
			newer := position.Version + 1
			ev.Err, ev.Current.Request = store.ErrConflict, &newer
		case d.HasArg("conflict"):
			ev.Err = store.ErrConflict
			ev.Current.Phase = &PhaseRow{Version: ev.Version, Saved: Saved{Version: position.Version, To: request.To, From: []string{"v1"}, Phase: text(t, d, "conflict")}}
		}
		return []step.Event{ev}
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
		return nil
	}
}

// formatEffects writes one line for each effect. Lines about the evidence are left out.
func formatEffects(out *strings.Builder, effects []step.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case step.Log:
			var fields []string
			for _, f := range e.Fields {
				fields = append(fields, f.Key+"="+f.Value)
			}
			if e.Event.String() != "rollout-evidence" {
				fmt.Fprintf(out, "log %s %s\n", e.Event, strings.Join(fields, " "))
			}
		case Publish:
			for i, v := range e.Views {
				if e.NotifyPeers || v.Unresolved || v.Isolated || v.NewClosed {
					fmt.Fprintf(out, "publish %s to=%s from=%v denied=%v gated=%t unresolved=%t isolated=%t new-closed=%t%s coordinator=%s\n",
						v.Phase, v.To, v.From, v.Denied, v.Gated, v.Unresolved, v.Isolated, v.NewClosed, confirmed(v), e.Summaries[i].Coordinator)
				}
			}
		case SendReport:
			fmt.Fprintf(out, "send-report %v drained=%t unreachable=%v\n", e.To, e.Report.Drained, e.Report.Unreachable)
		default:
			encoded, err := json.Marshal(effect)
			if err != nil {
				panic(err)
			}
			fmt.Fprintf(out, "%s %s\n", effect.EffectName(), encoded)
		}
	}
}

// confirmed returns the field of a view that is set only rarely.
func confirmed(v View) string {
	if v.Confirmed {
		return " confirmed=true"
	}
	return ""
}

// TestMergeDoesNotDependOnOrder merges the knowledge of several daemons in all orders,
// as messages arrive.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	request := Request{Service: "desk", To: "v2", Period: time.Second, Position: store.Position{Version: 5}}
	later := request
	later.Position.Era = 1
	all := []Progress{
		{Request: request, Phase: Trial, From: []string{"v1"}, Age: time.Second},
		{Request: request, Phase: Full, Reason: "b"},
		{Request: request, Phase: Full, Reason: "a", From: []string{"v0"}},
		{Request: later, Phase: StepOne, Denied: []string{"v3"}},
		{Request: request, Phase: Reverted, Reason: "a", Stored: true},
		{Request: later, Phase: Reverted, Reason: "b"},
	}
	want := ""
	permute(all, 0, func(order []Progress) {
		merged := order[0]
		for _, next := range order[1:] {
			merged = Merge(merged, next)
		}
		got := fmt.Sprintf("%+v", merged)
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
}

func permute(all []Progress, fixed int, visit func([]Progress)) {
	if fixed == len(all) {
		visit(all)
		return
	}
	for i := fixed; i < len(all); i++ {
		all[fixed], all[i] = all[i], all[fixed]
		permute(all, fixed+1, visit)
		all[fixed], all[i] = all[i], all[fixed]
	}
}

// TestVersionsAreBounded covers a peer whose report names many versions, in any order: the
// state that this daemon keeps and passes on must not grow with it.
func TestVersionsAreBounded(t *testing.T) {
	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint("v", 100-i))
	}
	request := Request{Service: "desk", To: "v2", Period: time.Second, Position: store.Position{Version: 5}}
	later := request
	later.Position.Version = 7
	core := New(Config{Instance: "a-1", DataCentre: "a", Service: "desk"})
	for _, received := range []Progress{
		{Request: request, Phase: Trial, From: many, Denied: many},
		{Request: request, Phase: StepOne, From: many, Denied: many},
		{Request: later, Phase: Trial, From: many, Denied: many},
	} {
		core.Step(step.Env{}, ProgressReceived{Instance: "a-2", Progress: []Progress{received}})
		s := core.services["desk"]
		for name, set := range map[string][]string{"from": s.From, "denied": s.Denied} {
			if len(set) > maxVersions || !slices.IsSorted(set) {
				t.Errorf("%s of position %d holds %v", name, received.Position.Version, set)
			}
		}
	}
}

// TestViewClosesVersions covers which versions the daemon beside an upstream gives
// requests in each phase. An upstream of a version that no request or status allows
// must get none.
func TestViewClosesVersions(t *testing.T) {
	const exposed = 5
	for phase, want := range map[Phase]string{
		Trial:     "v1 v2-exposed",
		StepOne:   "v1 v2 v2-exposed",
		StepTwo:   "v1 v2 v2-exposed",
		Full:      "v2 v2-exposed",
		Reverted:  "v1",
		Completed: "v2 v2-exposed",
	} {
		v := View{Gated: true, Progress: Progress{Phase: phase, From: []string{"v1"}, Denied: []string{"v3"},
			Request: Request{To: "v2", Position: store.Position{Version: exposed}}}}
		var got []string
		for _, version := range []string{"v1", "v2", "v3"} {
			if v.Admits(version, 0) {
				got = append(got, version)
			}
			if version == "v2" && v.Admits(version, exposed) {
				got = append(got, version+"-exposed")
			}
			if v.Admits(version, exposed+1) != v.Admits(version, 0) {
				t.Errorf("%s, %s: exposure of another rollout counts", phase, version)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: admits %v, want %s", phase, got, want)
		}
	}
}

// TestExposureIsAShareOfTheAnswers covers a daemon that takes exposure whenever it can:
// at no moment has it sent more than its share. The rarest route gets more than its
// part.
func TestExposureIsAShareOfTheAnswers(t *testing.T) {
	const share, requests = 0.1, 20000
	e := NewExposure(share, Request{})
	taken := map[string]int{}
	total := 0
	for i := range requests {
		route := "common"
		if i%50 == 0 {
			route = "rare"
		}
		if e.Take(route, float64(i*7919%1000)/1000) {
			taken[route]++
			total++
			if i%3 == 0 {
				e.Return()
				taken[route]--
				total--
			}
		}
		e.Answered(route)
		if float64(total) > share*float64(i+1) {
			t.Fatalf("%d of %d requests went to the new version", total, i+1)
		}
	}
	if total < 0.95*share*requests {
		t.Errorf("only %d of %d requests went to the new version", total, requests)
	}
	if got := float64(taken["rare"]) / float64(total); got < 0.05 {
		t.Errorf("%.3f of the exposure went to a route with 0.02 of the requests", got)
	}
}
