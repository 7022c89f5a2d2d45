package proxy

import (
	"slices"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// history is what happened to a call so far.
type history struct {
	sends     int
	redirects int
	// crashes counts sends that ended with a lost upstream.
	crashes int
	tried   []string
	// last is the failure of the last send, or nil if it was answered.
	last *failure
	// answer is the last answer of an upstream, and unknown the last failure
	// of a send that may have run; either forbids to tell not-run.
	answer  *answer
	unknown *failure
}

func (h *history) add(instance string, a *answer, f *failure) {
	h.sends++
	h.tried = append(h.tried, instance)
	h.last = f
	if f == nil {
		h.answer = a
		return
	}
	if lostUpstream(f.code) {
		h.crashes++
	}
	if !f.notRun() {
		h.unknown = f
	}
}

// final is what the caller is told after the last send: f, or with nil the
// answer. When an earlier send ran or may have run, a not-run of a later one
// is not the truth about the request.
func (h *history) final(f *failure) (*answer, *failure, int) {
	if f == nil || (f.notRun() && h.answer != nil) {
		return h.answer, nil, h.sends
	}
	if f.notRun() && h.unknown != nil {
		return nil, h.unknown, h.sends
	}
	if f.notRun() && h.last != nil && f.code == code.CallNoUpstream {
		return nil, h.last, h.sends
	}
	return nil, f, h.sends
}

func lostUpstream(c code.Code) bool {
	return c == code.CallUpstreamLost || c == code.CallAnswerBroken
}

// why names the ground of another send, for logs and metrics.
type why string

// The grounds of another send.
const (
	whyNot      why = ""
	whyRedirect why = "redirect"
	whyNotRun   why = "not-run"
	whyUnknown  why = "unknown"
	whyTimeout  why = "per-try-timeout"
	why5xx      why = "upstream-5xx"
)

// verdict tells whether to send again, and if not, the failure to answer with
// (nil for an upstream's answer).
type verdict struct {
	again   bool
	why     why
	failure *failure
}

// leastTimeLeft is the time before the deadline within which no further send
// is made.
const leastTimeLeft = 2 * time.Millisecond

// maxCrashes is how many upstreams one call may be lost with: the system does
// not carry it to another one.
const maxCrashes = 2

// decide gathers what the rule needs to know of a call and its last send.
func (p *Proxy) decide(c *call, h *history, a *answer, f *failure) verdict {
	in := retryInput{
		Rule:         c.route.Rule,
		Idempotent:   c.idempotent,
		Sends:        h.sends,
		Redirects:    h.redirects,
		MaxRedirects: p.cfg.Redirects,
		Crashes:      h.crashes,
		Left:         time.Until(c.deadline),
		CallerGone:   c.callerGone(),
		Failure:      f,
	}
	if a != nil {
		in.Status = a.status
		in.Streaming = a.body != nil
	}
	ground := groundOf(in)
	if ground == whyNot {
		return verdict{failure: f}
	}
	if f.overload() && !p.otherHasRoom(c, h) {
		return verdict{failure: f}
	}
	if ground == whyRedirect {
		h.redirects++
		return verdict{again: true, why: ground}
	}
	if !p.budgetOf(c.route.Rule).Spend() {
		p.metrics.budgetSpent()
		return verdict{failure: withoutBudget(f)}
	}
	return verdict{again: true, why: ground}
}

// overload tells that the upstream had no room for the request in time.
func (f *failure) overload() bool {
	if f == nil || f.timedOut {
		return false
	}
	return f.code == code.CallShed || f.code == code.CallDeadlineNotRun
}

// withoutBudget is the final failure when a retry was allowed but the budget
// is spent; a request that may have run keeps its own code.
func withoutBudget(f *failure) *failure {
	if f == nil || !f.notRun() {
		return f
	}
	return &failure{code: code.CallRetryBudget, retryAfter: f.retryAfter, after: f.code}
}

// otherHasRoom tells whether an upstream that was not tried seems to have a
// free slot; a service that sheds as a whole is not pushed further.
func (p *Proxy) otherHasRoom(c *call, h *history) bool {
	decision := p.choose(c, h)
	return decision.Chosen != nil && !decision.Saturated
}

// retryInput is all that the decision to send again depends on.
type retryInput struct {
	Rule         *manifest.RetryRule
	Idempotent   bool
	Sends        int
	Redirects    int
	MaxRedirects int
	Crashes      int
	Left         time.Duration
	CallerGone   bool
	// Failure is nil when an upstream answered, with Status.
	Failure *failure
	Status  int
	// Streaming tells that the answer is too long to be held.
	Streaming bool
}

// groundOf tells on what ground the call may be sent again, or whyNot. A
// request that may have run is sent again only when it is idempotent.
func groundOf(in retryInput) why {
	if in.CallerGone || in.Left < leastTimeLeft || in.Crashes >= maxCrashes {
		return whyNot
	}
	if in.Failure == nil {
		return groundOfStatus(in)
	}
	if in.Failure.notRun() {
		return groundOfNotRun(in)
	}
	return groundOfUnknown(in)
}

func groundOfStatus(in retryInput) why {
	retryable := in.Status == 502 || in.Status == 503 || in.Status == 504
	if retryable && !in.Streaming && in.Idempotent && in.allows(manifest.RetryStatus5xx) {
		return why5xx
	}
	return whyNot
}

func groundOfNotRun(in retryInput) why {
	switch in.Failure.code {
	case code.CallConnectRefused, code.CallDraining, code.CallNoUpstream:
		if in.Redirects < in.MaxRedirects {
			return whyRedirect
		}
	case code.CallShed, code.CallFenced, code.CallUpstreamRefused:
	case code.CallDeadlineNotRun:
		if in.allows(manifest.RetryTimeout) {
			return whyTimeout
		}
	default:
		return whyNot
	}
	if in.allows(manifest.RetryNotRun) {
		return whyNotRun
	}
	return whyNot
}

func groundOfUnknown(in retryInput) why {
	if !in.Idempotent || in.Failure.code.Info().Status == 409 {
		return whyNot
	}
	if in.Failure.timedOut && in.allows(manifest.RetryTimeout) {
		return whyTimeout
	}
	if in.Failure.code != code.CallCancelled && in.allows(manifest.RetryUnknown) {
		return whyUnknown
	}
	return whyNot
}

// allows tells whether the rule names the kind and has a send left. Redirects
// are not counted as sends of the rule.
func (in retryInput) allows(kind manifest.RetryOn) bool {
	if in.Rule == nil || in.Sends-in.Redirects >= in.Rule.Attempts {
		return false
	}
	return slices.Contains(in.Rule.On, kind)
}
