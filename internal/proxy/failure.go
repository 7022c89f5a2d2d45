package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"godwitmount/internal/admission"
	"godwitmount/internal/code"
)

// failure is an answer of the system itself.
type failure struct {
	code code.Code
	// retryAfter is when coming back makes sense; 0 takes the default if the
	// code asks for one.
	retryAfter time.Duration
	// after is the failure that led to this one, or OK.
	after code.Code
	// timedOut tells that one attempt ran out of its own time.
	timedOut bool
}

func fail(c code.Code) *failure { return &failure{code: c} }

// notRun tells whether the request is proved not to have run.
func (f *failure) notRun() bool { return f.code.Info().Outcome == code.NotRun }

// outcome is what the caller is told.
func (f *failure) outcome() code.Outcome { return f.code.Info().Outcome }

// The least and the spread of a default Retry-After, in seconds; the spread
// keeps callers that were refused together from coming back together.
const (
	retryAfterLeast  = 1
	retryAfterSpread = 3
)

// retryAfterSeconds is the Retry-After header's value.
func (f *failure) retryAfterSeconds(random uint64) int {
	if f.retryAfter > 0 {
		return int((f.retryAfter + time.Second - 1) / time.Second)
	}
	return retryAfterLeast + int(random%retryAfterSpread)
}

// failureBody is the JSON body of an answer of the system itself.
type failureBody struct {
	Code    code.Code    `json:"code"`
	Name    string       `json:"name"`
	Text    string       `json:"text"`
	Outcome code.Outcome `json:"outcome"`
	After   string       `json:"after,omitempty"`
	Call    string       `json:"call,omitempty"`
}

// write answers with the failure.
func (f *failure) write(w http.ResponseWriter, call string, random uint64) {
	info := f.code.Info()
	body := failureBody{Code: f.code, Name: info.Name, Text: info.Text, Outcome: info.Outcome, Call: call}
	if f.after != code.OK {
		body.After = f.after.String()
	}
	encoded, _ := json.Marshal(body) // a flat struct of strings always encodes
	header := w.Header()
	header.Set(HeaderOutcome, string(info.Outcome))
	header.Set(HeaderCode, strconv.Itoa(int(f.code)))
	if info.Retry {
		header.Set("Retry-After", strconv.Itoa(f.retryAfterSeconds(random)))
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(info.Status)
	_, _ = w.Write(encoded) // the caller may be gone, which changes nothing
}

// failureOf reads the failure off the answer of an executing daemon, or nil
// when the answer is the upstream's.
func failureOf(header http.Header) *failure {
	text := header.Get(HeaderCode)
	if text == "" {
		return nil
	}
	number, err := strconv.ParseUint(text, 10, 32)
	f := fail(code.Code(number))
	if err != nil || f.outcome() == code.NoOutcome {
		return fail(code.CallPeerLost)
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		f.retryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

// failureOfRefusal maps a refusal of admission.
func failureOfRefusal(err error) *failure {
	var refusal admission.Refusal
	if !errors.As(err, &refusal) {
		return fail(code.CallShed)
	}
	switch refusal {
	case admission.TooLate:
		return fail(code.CallDeadlineNotRun)
	case admission.Draining:
		return fail(code.CallDraining)
	case admission.Cancelled:
		return fail(code.CallDeadlineNotRun)
	default:
		return fail(code.CallShed)
	}
}

// failureOfContext is the failure when a context ended while the request may
// have been running.
func failureOfContext(ctx context.Context) *failure {
	if isTimeout(context.Cause(ctx)) {
		return &failure{code: code.CallDeadlineUnknown, timedOut: true}
	}
	return fail(code.CallCancelled)
}
