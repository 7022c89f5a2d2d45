package daemon

import (
	"reflect"
	"testing"

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
