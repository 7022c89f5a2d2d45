package proxy

import (
	"net/http"

	"godwitmount/internal/manifest"
)

// result is how one attempt ended.
type result uint8

// The results of an attempt.
const (
	// answered: the upstream gave an answer that ends the request.
	answered result = iota
	// serverError: the upstream gave an answer that says it failed.
	serverError
	// notSent: the request has not reached an upstream.
	notSent
	// rejected: an upstream has refused to run the request.
	rejected
	// unknown: the request may have run and has no answer.
	unknown
	// timedOut: the upstream has not answered within the time of one attempt.
	timedOut
)

// String returns the result's name in logs.
func (r result) String() string {
	names := [...]string{"answered", "server-error", "not-sent", "rejected", "unknown", "timed-out"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// progress is what has been done for a request so far.
type progress struct {
	// arrivals are sends that have, or may have, reached an upstream.
	arrivals int
	// offers are daemons that were asked and have not run the request.
	offers int
	// crashes are upstreams that were lost while they ran the request.
	crashes int
}

// maxCrashes is how many upstreams one request may lose: it may be what
// crashes them.
const maxCrashes = 2

// maxOffers is how many daemons are asked before a request is refused.
const maxOffers = 4

// next is what follows an attempt.
type next uint8

// The next steps.
const (
	// finish: the caller gets this attempt's outcome.
	finish next = iota
	// tryElsewhere: another upstream is asked; nothing has run.
	tryElsewhere
	// repeat: another upstream is asked, within the retry budget.
	repeat
)

// decide says what follows an attempt of a request that may be repeated or
// not, under the route's retry rule.
func decide(r result, done progress, rule *manifest.RetryRule) next {
	attempts := 1
	if rule != nil {
		attempts = rule.Attempts
	}
	switch r {
	case answered:
		return finish
	case notSent:
		if done.offers >= maxOffers {
			return finish
		}
		return tryElsewhere
	}
	if done.arrivals >= attempts || done.crashes >= maxCrashes {
		return finish
	}
	on := map[result]manifest.RetryOn{
		rejected:    manifest.RetryNotRun,
		unknown:     manifest.RetryUnknown,
		timedOut:    manifest.RetryTimeout,
		serverError: manifest.RetryStatus5xx,
	}
	if rule.Covers(on[r]) {
		return repeat
	}
	return finish
}

// resultOf tells what an upstream's answer means.
func resultOf(status uint32, notRun bool) result {
	switch {
	case notRun:
		return rejected
	case status >= http.StatusInternalServerError:
		return serverError
	default:
		return answered
	}
}
