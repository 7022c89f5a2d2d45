package proxy

import (
	"testing"
	"time"

	"godwitmount/internal/manifest"
)

func TestDecide(t *testing.T) {
	repeatable := &manifest.RetryRule{Attempts: 3, On: []manifest.RetryOn{manifest.RetryNotRun, manifest.RetryUnknown, manifest.RetryStatus5xx}}
	onlyNotRun := &manifest.RetryRule{Attempts: 2, On: []manifest.RetryOn{manifest.RetryNotRun}}
	onTimeout := &manifest.RetryRule{Attempts: 2, On: []manifest.RetryOn{manifest.RetryTimeout}}
	for name, c := range map[string]struct {
		result result
		done   progress
		rule   *manifest.RetryRule
		want   nextStep
	}{
		"an answer ends the request":                       {answered, progress{deliveries: 1}, repeatable, finish},
		"a refusing daemon leads to another one":           {notSent, progress{offers: 1}, onlyNotRun, tryElsewhere},
		"another daemon is tried even without a rule":      {notSent, progress{offers: 1}, nil, tryElsewhere},
		"the number of offers is bounded":                  {notSent, progress{offers: maxOffers}, onlyNotRun, finish},
		"a rejection by an upstream is retried":            {rejected, progress{deliveries: 1}, onlyNotRun, retryWithBudget},
		"a rejection is not retried past the attempts":     {rejected, progress{deliveries: 2}, onlyNotRun, finish},
		"a rejection is not retried without a rule":        {rejected, progress{deliveries: 1}, nil, finish},
		"an unknown result is not retried":                 {unknown, progress{deliveries: 1}, onlyNotRun, finish},
		"an unknown result is retried if the rule says so": {unknown, progress{deliveries: 1}, repeatable, retryWithBudget},
		"a server error is not retried":                    {serverError, progress{deliveries: 1}, onlyNotRun, finish},
		"a server error is retried if the rule says so":    {serverError, progress{deliveries: 1}, repeatable, retryWithBudget},
		"a timeout does not count as an unknown result":    {timedOut, progress{deliveries: 1}, repeatable, finish},
		"a timeout is retried if the rule says so":         {timedOut, progress{deliveries: 1}, onTimeout, retryWithBudget},
		"no retry after the request crashed two upstreams": {unknown, progress{deliveries: 2, crashes: 2}, repeatable, finish},
	} {
		if got := decide(c.result, c.done, c.rule); got != c.want {
			t.Errorf("%s: step %d, want %d", name, got, c.want)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		expected, goal, remaining time.Duration
		draw                      float64
		least, most               time.Duration
	}{
		"shortest while the goal can be met":      {0, 300 * ms, 2 * time.Second, 0, minRetryDelay, minRetryDelay},
		"at most a share of the time to goal":     {0, 300 * ms, 2 * time.Second, 1, 120 * ms, 120 * ms},
		"not before a slot is expected":           {80 * ms, 300 * ms, 2 * time.Second, 0, 80 * ms, 80 * ms},
		"longer when the goal has passed":         {0, -ms, 900 * ms, 0, 150 * ms, 150 * ms},
		"at most a share of the time left":        {0, 0, 900 * ms, 1, 300 * ms, 300 * ms},
		"never zero":                              {0, 0, 0, 0.5, ms, ms},
		"deadline limits a delay before the goal": {0, 5 * time.Second, 300 * ms, 1, 100 * ms, 100 * ms},
	} {
		got := retryAfter(c.expected, c.goal, c.remaining, c.draw).Round(ms)
		if got < c.least || got > c.most {
			t.Errorf("%s: %s, want %s to %s", name, got, c.least, c.most)
		}
	}
}

// TestRetriesOfRefusedRequestsAreRecognised covers callers that retry after a
// refusal.
func TestRetriesOfRefusedRequestsAreRecognised(t *testing.T) {
	s := newRefusals()
	if firstSeen := s.firstSeen(1, time.Second); firstSeen != time.Second {
		t.Errorf("new request: first seen at %s", firstSeen)
	}
	s.record(1, time.Second, time.Second)
	if firstSeen := s.firstSeen(1, 2*time.Second); firstSeen != time.Second {
		t.Errorf("retry: first seen at %s", firstSeen)
	}
	s.record(2, 2*time.Second, 2*time.Second)
	if firstSeen := s.firstSeen(2, time.Minute); firstSeen != time.Minute {
		t.Errorf("after a quiet minute: first seen at %s", firstSeen)
	}
	if firstSeen := s.firstSeen(1, 2*time.Minute); firstSeen != 2*time.Minute {
		t.Errorf("retry after the record expired: first seen at %s", firstSeen)
	}
}

func TestOnlyServerErrorsAreServerErrors(t *testing.T) {
	for status, want := range map[uint32]result{200: answered, 499: answered, 500: serverError, 599: serverError, 600: answered, 999: answered} {
		if got := classifyAnswer(status, false); got != want {
			t.Errorf("status %d: %s, want %s", status, got, want)
		}
	}
}
