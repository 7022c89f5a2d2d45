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
	minRetry = 50 * time.Millisecond
	// retryShare is the part of the time left that a caller waits at most.
	retryShare = 1.0 / 3
	// retrySpread is how much longer than needed callers are asked to wait at
	// random, so that they do not come back together.
	retrySpread = 150 * time.Millisecond
)

// retryAfter is when a refused caller is asked to come back: when a slot is
// expected to be free, spread at random, within what the caller can wait.
func retryAfter(expected, left time.Duration, draw float64) time.Duration {
	pause := max(expected, minRetry) + time.Duration(draw*float64(retrySpread))
	return max(min(pause, time.Duration(float64(left)*retryShare)), time.Millisecond)
}
