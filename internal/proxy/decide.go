package proxy

import (
	"net/http"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/manifest"
)

// result is how one attempt ended.
type result uint8

// Results of an attempt.
const (
	// answered: the upstream's answer ends the request.
	answered result = iota
	// serverError: the upstream answered with a status of 500 or above.
	serverError
	// notSent: the request has not reached an upstream.
	notSent
	// rejected: an upstream refused to run the request.
	rejected
	// unknown: the request may have run, but there is no answer.
	unknown
	// timedOut: the upstream did not answer within the attempt's time limit.
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

// outcome returns what a log line tells of a request after an attempt with the result.
func (r result) outcome() asynclog.Outcome {
	if r == unknown || r == timedOut {
		return asynclog.Uncertain
	}
	return asynclog.Failed
}

// progress counts the attempts of a request so far.
type progress struct {
	// deliveries is the number of attempts that reached, or may have reached,
	// an upstream.
	deliveries int
	// offers is the number of attempts that ended before the request reached an
	// upstream. An offer is an attempt that the executing daemon may still
	// refuse.
	offers int
	// crashes is the number of upstreams that became unreachable while they ran
	// the request.
	crashes int
}

// maxCrashes is the number of upstreams that may become unreachable while they
// run one request. After that it is not retried, as it may crash them.
const maxCrashes = 2

// maxOffers is the number of offers of a request after which it is refused.
const maxOffers = 4

// nextStep is what follows an attempt.
type nextStep uint8

// Next steps.
const (
	// finish: the caller gets the outcome of this attempt.
	finish nextStep = iota
	// tryElsewhere: another upstream is tried without using the retry budget,
	// because the request has not reached an upstream.
	tryElsewhere
	// retryWithBudget: another upstream is tried if the retry budget allows it.
	retryWithBudget
)

// decide returns the step that follows an attempt with result r; done includes
// that attempt. The retry rule is the route's and may be nil, which allows one
// delivery.
func decide(r result, done progress, rule *manifest.RetryRule) nextStep {
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
	if done.deliveries >= attempts || done.crashes >= maxCrashes {
		return finish
	}
	on := map[result]manifest.RetryOn{
		rejected:    manifest.RetryNotRun,
		unknown:     manifest.RetryUnknown,
		timedOut:    manifest.RetryTimeout,
		serverError: manifest.RetryStatus5xx,
	}
	if rule.RetriesOn(on[r]) {
		return retryWithBudget
	}
	return finish
}

// maxServerError is the largest status of the class of server errors.
const maxServerError = 599

// classifyAnswer returns the result of an attempt that ended with an upstream's
// answer; notRun means that the upstream refused to run the request.
func classifyAnswer(status uint32, notRun bool) result {
	switch {
	case notRun:
		return rejected
	case status >= http.StatusInternalServerError && status <= maxServerError:
		return serverError
	default:
		return answered
	}
}
