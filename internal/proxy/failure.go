package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/pipeline"
)

// failure says why a request got no answer from an upstream.
type failure struct {
	code code.Code
	// notRun promises that the request has not run and will not.
	notRun bool
	// retryAfter is the time after which a slot is expected to be free; 0 means
	// unknown.
	retryAfter time.Duration
}

// newFailure returns a failure with notRun set if the code's outcome is NotRun.
func newFailure(c code.Code) *failure {
	return &failure{code: c, notRun: c.Info().Outcome == code.NotRun}
}

// outcome returns what a log line tells of a request that ends with the failure.
func (f *failure) outcome() asynclog.Outcome {
	if f.notRun {
		return asynclog.Failed
	}
	return asynclog.Uncertain
}

// outcomeOf returns what a log line tells of a request that an upstream answered with the
// status.
func outcomeOf(status uint32) asynclog.Outcome {
	if status >= http.StatusInternalServerError {
		return asynclog.Failed
	}
	return asynclog.Served
}

// write sends the failure to the caller. For codes that ask for a retry, it sets
// Retry-After, in seconds with three decimals, and closes the connection unless requests
// behind this one are served on it. Ctx is that of the request. The error is that of writeWhole.
func (f *failure) write(ctx context.Context, w http.ResponseWriter, retryAfter time.Duration) error {
	info := f.code.Info()
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if info.RetryAfter {
		// Callers retry on a new connection. Without this, the old ones would
		// accumulate.
		if pipeline.CloseAfter(ctx) {
			header.Set("Connection", "close")
		}
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	text := info.Name + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	return writeWhole(w, info.Status, []byte(text))
}

const (
	// minRetryDelay is the shortest retry delay while the goal can be met.
	minRetryDelay = 30 * time.Millisecond
	// maxRemainingShare is the longest retry delay as a share of the time left
	// to the deadline.
	maxRemainingShare = 1.0 / 3
	// maxGoalShare is the longest retry delay as a share of the time left to
	// the goal, so that the retry can still meet the goal.
	maxGoalShare = 0.4
	// minLateShare is the shortest retry delay past the goal, as a share of the
	// longest one.
	minLateShare = 0.5
)

// retryAfter returns the delay after which a refused caller should retry, at
// least 1 ms. expected is the time until a slot is expected to be free, with 0
// for unknown; goal and remaining are the times left to the goal and to the
// deadline; draw is a random number in [0,1].
//
// While a retry can meet the goal, the delay is short, and a slot is expected to
// be free by its end unless that is too late for the goal or the deadline.
// Otherwise the delay is at least half of the longest one, so that other requests
// are served first. The random part keeps callers from retrying simultaneously.
func retryAfter(expected, goal, remaining time.Duration, draw float64) time.Duration {
	longest := time.Duration(float64(remaining) * maxRemainingShare)
	if soon := time.Duration(float64(goal) * maxGoalShare); soon > minRetryDelay {
		least := min(max(expected, minRetryDelay), soon)
		return max(min(least+time.Duration(draw*float64(soon-least)), longest), time.Millisecond)
	}
	delay := float64(longest) * (minLateShare + draw*(1-minLateShare))
	return max(time.Duration(delay), time.Millisecond)
}
