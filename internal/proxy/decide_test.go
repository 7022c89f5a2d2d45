package proxy

import (
	"testing"
	"time"

	"godwitmount/internal/manifest"
)

func TestDecide(t *testing.T) {
	repeatable := &manifest.RetryRule{Attempts: 3, On: []manifest.RetryOn{manifest.RetryNotRun, manifest.RetryUnknown, manifest.RetryStatus5xx}}
	once := &manifest.RetryRule{Attempts: 2, On: []manifest.RetryOn{manifest.RetryNotRun}}
	slow := &manifest.RetryRule{Attempts: 2, On: []manifest.RetryOn{manifest.RetryTimeout}}
	for name, c := range map[string]struct {
		result result
		done   progress
		rule   *manifest.RetryRule
		want   next
	}{
		"an answer ends it":                            {answered, progress{arrivals: 1}, repeatable, finish},
		"a refusing daemon leads to the next":          {notSent, progress{offers: 1}, once, tryElsewhere},
		"also without a rule":                          {notSent, progress{offers: 1}, nil, tryElsewhere},
		"but not for ever":                             {notSent, progress{offers: maxOffers}, once, finish},
		"a rejecting upstream leads to a repeat":       {rejected, progress{arrivals: 1}, once, repeat},
		"not past the attempts":                        {rejected, progress{arrivals: 2}, once, finish},
		"not without a rule":                           {rejected, progress{arrivals: 1}, nil, finish},
		"what may have run is not repeated":            {unknown, progress{arrivals: 1}, once, finish},
		"unless it may run twice":                      {unknown, progress{arrivals: 1}, repeatable, repeat},
		"an error of the upstream is no reason either": {serverError, progress{arrivals: 1}, once, finish},
		"unless it may run twice, again":               {serverError, progress{arrivals: 1}, repeatable, repeat},
		"a slow attempt is no unknown one":             {timedOut, progress{arrivals: 1}, repeatable, finish},
		"a slow attempt is repeated if the rule says":  {timedOut, progress{arrivals: 1}, slow, repeat},
		"what crashed two upstreams gets no third":     {unknown, progress{arrivals: 2, crashes: 2}, repeatable, finish},
	} {
		if got := decide(c.result, c.done, c.rule); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		expected, goal, left time.Duration
		draw                 float64
		least, most          time.Duration
	}{
		"soon while the goal can be met":       {0, 300 * ms, 2 * time.Second, 0, minRetry, minRetry},
		"spread up to a part of the goal":      {0, 300 * ms, 2 * time.Second, 1, 120 * ms, 120 * ms},
		"not before a slot is expected":        {80 * ms, 300 * ms, 2 * time.Second, 0, 80 * ms, 80 * ms},
		"late when the goal has passed":        {0, -ms, 900 * ms, 0, 150 * ms, 150 * ms},
		"never longer than the caller can":     {0, 0, 900 * ms, 1, 300 * ms, 300 * ms},
		"always more than nothing":             {0, 0, 0, 0.5, ms, ms},
		"within what is left before the goal,": {0, 5 * time.Second, 300 * ms, 1, 100 * ms, 100 * ms},
	} {
		got := retryAfter(c.expected, c.goal, c.left, c.draw).Round(ms)
		if got < c.least || got > c.most {
			t.Errorf("%s: %s, want %s to %s", name, got, c.least, c.most)
		}
	}
}

// TestReturnsAreRecognised covers callers that come back after a refusal.
func TestReturnsAreRecognised(t *testing.T) {
	s := newRefusals()
	if first := s.first(1, time.Second); first != time.Second {
		t.Errorf("new request came first at %s", first)
	}
	s.note(1, time.Second, time.Second)
	if first := s.first(1, 2*time.Second); first != time.Second {
		t.Errorf("request that comes back came first at %s", first)
	}
	if first := s.first(1, 10*time.Second); first != 10*time.Second {
		t.Errorf("forgotten request came first at %s", first)
	}
}
