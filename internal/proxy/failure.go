package proxy

import (
	"net/http"
	"strconv"
	"time"

	"godwitmount/internal/code"
)

// failure is why a request has no answer of an upstream.
type failure struct {
	code code.Code
	// notRun promises that the request has not run and will not.
	notRun bool
	// retryAfter is when a slot is expected to be free; 0 is unknown.
	retryAfter time.Duration
}

// fail returns a failure with what its code says of the request.
func fail(c code.Code) *failure {
	return &failure{code: c, notRun: c.Info().Outcome == code.NotRun}
}

// write answers the caller.
func (f *failure) write(w http.ResponseWriter, retryAfter time.Duration) {
	info := f.code.Info()
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if info.Retry {
		// Callers come back on a new connection; the old ones would pile up.
		header.Set("Connection", "close")
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	text := info.Name + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(info.Status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write([]byte(text))
}

const (
	// minRetry is the shortest pause asked of a caller.
	minRetry = 30 * time.Millisecond
	// retryShare is the part of the time left that a caller waits at most.
	retryShare = 1.0 / 3
	// goalShare is the part of the time to its goal that a caller waits, so
	// that it can still be answered within it.
	goalShare = 0.4
	// lateSpread is the least part of the longest pause asked of a caller
	// whose goal has passed.
	lateSpread = 0.5
)

// retryAfter is when a refused caller is asked to come back. While it can be
// answered within its goal, that is soon after a slot is expected to be free;
// later it is as late as the caller can wait, when others have been served.
// Callers are spread at random, so that they do not come back together.
func retryAfter(expected, goal, left time.Duration, draw float64) time.Duration {
	longest := time.Duration(float64(left) * retryShare)
	if soon := time.Duration(float64(goal) * goalShare); soon > minRetry {
		least := min(max(expected, minRetry), soon)
		return max(min(least+time.Duration(draw*float64(soon-least)), longest), time.Millisecond)
	}
	pause := float64(longest) * (lateSpread + draw*(1-lateSpread))
	return max(time.Duration(pause), time.Millisecond)
}
