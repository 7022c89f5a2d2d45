package proxy

import (
	"testing"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// everything is a rule that names all kinds of failure.
var everything = &manifest.RetryRule{
	Attempts: 3,
	On:       []manifest.RetryOn{manifest.RetryNotRun, manifest.RetryUnknown, manifest.RetryTimeout, manifest.RetryStatus5xx},
}

// failures are all answers of the system itself, with and without a timeout.
func failures() []*failure {
	var all []*failure
	for _, info := range code.All() {
		if info.Outcome == code.NoOutcome {
			continue
		}
		all = append(all, &failure{code: info.Code}, &failure{code: info.Code, timedOut: true})
	}
	return all
}

// TestNonIdempotentIsNeverRepeatedUnlessNotRun: whatever the rule says.
func TestNonIdempotentIsNeverRepeatedUnlessNotRun(t *testing.T) {
	for _, f := range failures() {
		in := retryInput{Rule: everything, Sends: 1, MaxRedirects: 2, Left: time.Second, Failure: f}
		if ground := groundOf(in); ground != whyNot && !f.notRun() {
			t.Errorf("%s: sent again on the ground of %s", f.code, ground)
		}
	}
	for status := 100; status < 600; status++ {
		in := retryInput{Rule: everything, Sends: 1, Left: time.Second, Status: status}
		if ground := groundOf(in); ground != whyNot {
			t.Errorf("status %d: sent again on the ground of %s", status, ground)
		}
	}
}

// TestNothingIsRepeatedBeyondItsBounds: sends, deadline, crashes, the caller.
func TestNothingIsRepeatedBeyondItsBounds(t *testing.T) {
	bounds := map[string]func(*retryInput){
		"sends":    func(in *retryInput) { in.Sends, in.Redirects = 5, 2 },
		"deadline": func(in *retryInput) { in.Left = time.Millisecond },
		"crashes":  func(in *retryInput) { in.Crashes = 2 },
		"caller":   func(in *retryInput) { in.CallerGone = true },
	}
	again := 0
	for _, f := range append(failures(), nil) {
		in := retryInput{Rule: everything, Idempotent: true, Sends: 1, MaxRedirects: 2, Left: time.Second, Failure: f, Status: 503}
		if groundOf(in) != whyNot {
			again++
		}
		for name, bound := range bounds {
			over := in
			bound(&over)
			if ground := groundOf(over); ground != whyNot {
				t.Errorf("%s over: %v sent again on the ground of %s", name, f, ground)
			}
		}
	}
	if again == 0 {
		t.Error("nothing is ever sent again")
	}
}

// TestRefusalsThatHoldEverywhereAreNotRepeated: another upstream would say the
// same.
func TestRefusalsThatHoldEverywhereAreNotRepeated(t *testing.T) {
	for _, c := range []code.Code{
		code.CallQuarantined, code.CallBodyTooLarge, code.CallBadRequest, code.ClaimKeyReused,
		code.ClaimKeyInvalid, code.ClaimStillRunning, code.ClaimRunAnswerNotKept, code.ClaimHomeUnreachable,
	} {
		in := retryInput{Rule: everything, Idempotent: true, Sends: 1, MaxRedirects: 2, Left: time.Second, Failure: fail(c)}
		if ground := groundOf(in); ground != whyNot {
			t.Errorf("%s: sent again on the ground of %s", c, ground)
		}
	}
}

// TestTheTruthOfAllSendsIsTold: a later not-run does not hide an earlier run.
func TestTheTruthOfAllSendsIsTold(t *testing.T) {
	for _, f := range failures() {
		h := &history{}
		h.add("a1", nil, fail(code.CallUpstreamLost))
		h.add("a2", nil, f)
		if _, told, _ := h.final(f); told.outcome() != code.Unknown {
			t.Errorf("lost, then %s: told %s", f.code, told.outcome())
		}
		h = &history{}
		h.add("a1", &answer{status: 503}, nil)
		h.add("a2", nil, f)
		if a, told, _ := h.final(f); a == nil && told.outcome() != code.Unknown {
			t.Errorf("answered, then %s: told %s", f.code, told.outcome())
		}
	}
}
