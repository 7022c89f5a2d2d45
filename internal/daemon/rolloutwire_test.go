package daemon

import (
	"reflect"
	"testing"
	"time"

	"godwitmount/internal/rollout"
	"godwitmount/internal/store"
)

// TestReportSurvivesTheWire covers a field of a report that is not sent: the coordinator
// would not know which rollout the report concerns, or wait for it.
func TestReportSurvivesTheWire(t *testing.T) {
	counts := rollout.Counts{Answers: 3, Failures: 1}
	counts.Times[4] = 2
	sent := rollout.Report{
		Service: "desk", Position: store.Position{Era: 1, Version: 5}, Phase: rollout.Full, Version: "v1", TakesWork: true, Slots: 4,
		Drained: true, Unreachable: []string{"a-2"}, Routes: map[string]rollout.Counts{"r": counts},
	}
	if got := decodeReport(encodeReport(sent)); !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}

// TestProgressSurvivesTheWire covers a field of a rollout that is not sent: a daemon would open
// an upstream that must stay closed, or keep one closed.
func TestProgressSurvivesTheWire(t *testing.T) {
	sent := rollout.Progress{
		Request: rollout.Request{Service: "desk", To: "v2", Period: 4100 * time.Millisecond, Position: store.Position{Era: 1, Version: 5}},
		From:    []string{"v1"}, Denied: []string{"v0"}, Phase: rollout.Reverted, Reason: "failures", Stored: true, Age: time.Second,
	}
	if got := decodeProgress(encodeProgress(sent)); !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}
