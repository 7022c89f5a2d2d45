package rollout

import (
	"testing"
	"time"

	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// TestReportGoesToTheRolloutOfItsService covers two rollout requests that were written in
// one transaction and share a position. A report that is recorded for the other service is
// missing from the evidence of its own and may close its upstream for failures that belong
// to the other.
func TestReportGoesToTheRolloutOfItsService(t *testing.T) {
	position := store.Position{Version: 5}
	for range 50 {
		core := New(Config{Instance: "a-1", DataCentre: "a", Service: "desk"})
		core.Step(step.Env{}, RequestsRead{Requests: []Request{
			{Service: "back", To: "v2", Period: 12 * time.Second, Position: position},
			{Service: "desk", To: "v2", Period: 12 * time.Second, Position: position},
			{Service: "shop", To: "v2", Period: 12 * time.Second, Position: position},
		}})
		core.Step(step.Env{}, ReportReceived{Instance: "a-2", Report: Report{Service: "desk", Position: position, Version: "v1"}})
		for name, s := range core.services {
			if got, want := len(s.history) > 0, name == "desk"; got != want {
				t.Fatalf("service %s has the report: %t, want %t", name, got, want)
			}
		}
	}
}
