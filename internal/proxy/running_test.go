package proxy

import (
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestAnswerShowsFaultOfUpstream covers which answers count against the upstream.
func TestAnswerShowsFaultOfUpstream(t *testing.T) {
	const mean = 100 * time.Millisecond
	for name, c := range map[string]struct {
		answer       *hopv1.Answer
		nestedFailed bool
		took         time.Duration
		want         bool
	}{
		"success":                            {&hopv1.Answer{Status: 200}, false, mean, false},
		"not found":                          {&hopv1.Answer{Status: 404}, false, mean, false},
		"refusal although a slot was free":   {&hopv1.Answer{Status: 503, NotRun: true}, false, time.Millisecond, true},
		"server error":                       {&hopv1.Answer{Status: 500}, false, mean, true},
		"server error after a nested one":    {&hopv1.Answer{Status: 500}, true, mean, false},
		"refusal after a nested one":         {&hopv1.Answer{Status: 503, NotRun: true}, true, mean, true},
		"timeout of a request with no time":  {&hopv1.Answer{Status: 504}, false, mean / 2, false},
		"timeout of a request that ran long": {&hopv1.Answer{Status: 504}, false, 4 * mean, true},
	} {
		running := (&runningRequests{}).add("id", false)
		running.nestedFailed.Store(c.nestedFailed)
		if got := answerFails(c.answer, running, c.took, mean); got != c.want {
			t.Errorf("%s: fault %t", name, got)
		}
	}
}

func TestParentIsKnownWhileItRuns(t *testing.T) {
	requests := &runningRequests{}
	parent := requests.add("p", true)
	if requests.get("p") != parent || requests.get("") != nil || requests.get("q") != nil {
		t.Error("the running request is not found, or another one is")
	}
	if nested := (&call{parent: parent}); !nested.isRetry() {
		t.Error("a nested call of a retried run does not count as a retry")
	}
	requests.remove("p", parent)
	if requests.get("p") != nil {
		t.Error("the request is found after its end")
	}
}
