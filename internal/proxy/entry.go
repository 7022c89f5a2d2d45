package proxy

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/routing"
)

// CallerHandler takes the requests of callers.
func (p *Proxy) CallerHandler() http.Handler {
	return http.HandlerFunc(p.serveCaller)
}

func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.entering.Add(1)
	defer p.entering.Add(-1)
	started := time.Now()
	c, f := p.newCall(w, r, started)
	if p.closed.Load() {
		f = fail(code.CallDraining)
	}
	if f == nil {
		f = p.quarantined(c.fingerprint)
	}
	if f != nil {
		p.answerFailure(w, c, f, 0)
		return
	}
	a, f, sends := p.attempts(r.Context(), c)
	if f != nil {
		p.answerFailure(w, c, f, sends)
		return
	}
	p.answerUpstream(w, c, a, sends)
}

// answerFailure tells the caller what became of its request.
func (p *Proxy) answerFailure(w http.ResponseWriter, c *call, f *failure, sends int) {
	p.metrics.answered(c.routeName(), f.outcome(), f.code)
	p.decisions.answered(c, sends, f.code, 0)
	if c.body != nil && !c.body.whole() {
		// The server would wait for the rest of the body before it answers.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
	f.write(w, c.id, p.deps.Rand())
}

// answerUpstream passes an upstream's answer on, or breaks the connection.
func (p *Proxy) answerUpstream(w http.ResponseWriter, c *call, a *answer, sends int) {
	upstreamTime := a.upstreamTime
	err := a.write(w)
	if err != nil {
		p.metrics.aborted(c.routeName())
		p.decisions.aborted(c, err)
		panic(http.ErrAbortHandler)
	}
	p.metrics.answered(c.routeName(), code.NoOutcome, code.OK)
	p.metrics.addedLatency(time.Since(c.started) - upstreamTime)
	p.decisions.answered(c, sends, code.OK, a.status)
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// attempts sends the call until it has an answer or must not be sent again.
// Exactly one of the answer and the failure is set.
func (p *Proxy) attempts(ctx context.Context, c *call) (*answer, *failure, int) {
	history := &history{}
	throttle := p.throttleOf(c.route.Service)
	if throttle.Refuses(p.now(), p.deps.Rand()) {
		p.metrics.throttled(c.route.Service)
		return nil, fail(code.CallShed), 0
	}
	if c.route.Rule != nil {
		p.budgetOf(c.route.Rule).Earn(c.route.Rule.BudgetPercent)
	}
	for {
		decision := p.choose(c, history)
		if decision.Chosen == nil {
			return history.final(fail(code.CallNoUpstream))
		}
		body, ok := c.body.attempt(int64(history.sends))
		if !ok {
			return history.final(history.last)
		}
		attempt := c.id + "." + strconv.Itoa(history.sends)
		p.decisions.routed(c, attempt, decision)
		a, f := p.attempt(ctx, c, decision, attempt, body)
		history.add(decision.Chosen.Instance, a, f)
		if history.sends == 1 && !f.overload() {
			throttle.Accepted(p.now())
		}
		verdict := p.decide(c, history, a, f)
		if !verdict.again {
			return history.final(verdict.failure)
		}
		p.metrics.retried(verdict.why)
		p.decisions.retried(c, attempt, verdict.why)
	}
}

func (p *Proxy) choose(c *call, h *history) routing.Decision {
	ask := routing.Ask{
		Local:  p.cfg.DataCentre,
		Tried:  h.tried,
		Now:    p.now(),
		Random: p.deps.Rand(),
	}
	if c.key != "" && p.deps.Claims != nil {
		ask.KeyHome = p.deps.Claims.HomeOf(c.keyHash)
	}
	return p.balancer.Choose(c.snapshot, c.route.Service, ask)
}

// attempt sends the call to the chosen upstream once and notes how it went.
func (p *Proxy) attempt(ctx context.Context, c *call, d routing.Decision, attempt string, body attemptBody) (*answer, *failure) {
	chosen := d.Chosen
	chosen.Begin()
	bounded, bound := p.boundAttempt(ctx, c)
	a, f := p.dispatch(bounded, c, chosen, attempt, body)
	if f == nil {
		f = p.holdAnswer(bounded, c, a)
	}
	if f != nil {
		bound.end()
		p.observeFailure(c, chosen, f)
		chosen.End()
		return nil, f
	}
	if a.body != nil {
		bound.lift()
	}
	p.observeAnswer(chosen, a)
	finishWith(a, func() {
		bound.end()
		chosen.End()
	})
	return a, nil
}

// dispatch skips the hop between daemons when the own upstream is chosen.
func (p *Proxy) dispatch(ctx context.Context, c *call, chosen *routing.Candidate, attempt string, body attemptBody) (*answer, *failure) {
	if chosen.Instance == p.cfg.Instance {
		return p.execute(ctx, p.ownExecution(c, attempt, body))
	}
	return p.sendPeer(ctx, c, chosen, attempt, body)
}

// holdAnswer reads a short answer whole before it is passed on.
func (p *Proxy) holdAnswer(ctx context.Context, c *call, a *answer) *failure {
	err := a.hold(p.cfg.BufferedAnswer)
	if err == nil {
		return nil
	}
	if c.callerGone() {
		return fail(code.CallCancelled)
	}
	if ctx.Err() != nil {
		return &failure{code: code.CallDeadlineUnknown, timedOut: true}
	}
	return fail(code.CallAnswerBroken)
}

// finishWith runs the cleanup when the body has ended, at once if it has.
func finishWith(a *answer, cleanup func()) {
	if a.body == nil {
		cleanup()
		return
	}
	before := a.ended
	a.ended = func(a *answer, err error) {
		before(a, err)
		cleanup()
	}
}

// attemptBound ends an attempt that has no answer in time. The body of a long
// answer is bounded by the caller's deadline only.
type attemptBound struct {
	timer    *time.Timer
	cancel   context.CancelCauseFunc
	deadline time.Time
}

// lift leaves only the caller's deadline as the bound.
func (b attemptBound) lift() { b.timer.Reset(time.Until(b.deadline)) }

// end releases what the bound holds; it ends the attempt too.
func (b attemptBound) end() {
	b.timer.Stop()
	b.cancel(nil)
}

// boundAttempt leaves time for a fence before the caller's deadline, and
// applies the rule's bound for one attempt.
func (p *Proxy) boundAttempt(ctx context.Context, c *call) (context.Context, attemptBound) {
	allowed := time.Until(p.lastMoment(c))
	if rule := c.route.Rule; rule != nil && rule.PerTryTimeout > 0 {
		allowed = min(allowed, rule.PerTryTimeout.Std())
	}
	bounded, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(allowed, func() { cancel(context.DeadlineExceeded) })
	return bounded, attemptBound{timer, cancel, c.deadline}
}

// lastMoment is when an attempt must have an answer, so that there is time for
// a fence before the caller's deadline.
func (p *Proxy) lastMoment(c *call) time.Time {
	const reserveShare = 10
	reserve := min(p.cfg.FenceBound, time.Until(c.deadline)/reserveShare)
	return c.deadline.Add(-reserve)
}

// sendPeer sends the call to the executing daemon beside the upstream.
func (p *Proxy) sendPeer(ctx context.Context, c *call, chosen *routing.Candidate, attempt string, body attemptBody) (*answer, *failure) {
	left := remaining(p.lastMoment(c))
	if left <= 0 {
		return nil, fail(code.CallDeadlineNotRun)
	}
	req := p.peerRequest(c, chosen, attempt, body, left)
	resp, sendErr := p.peers.send(ctx, req, body)
	if sendErr != nil {
		return nil, p.fateOfSend(ctx, c, chosen, attempt, sendErr)
	}
	if f := failureOf(resp.Header); f != nil {
		load := headerInt(resp.Header, HeaderLoad)
		_ = resp.Body.Close()
		if load >= 0 {
			chosen.ReportLoad(load, p.now())
		}
		return nil, f
	}
	a, err := answerOf(resp, c.request.Method)
	if err != nil {
		return nil, fail(code.CallAnswerBroken)
	}
	a.load = headerInt(resp.Header, HeaderLoad)
	a.upstreamTime = time.Duration(headerInt(resp.Header, HeaderUpstreamTime)) * time.Microsecond
	a.header = forwardable(resp.Header)
	return a, nil
}

func (p *Proxy) peerRequest(c *call, chosen *routing.Candidate, attempt string, body attemptBody, left int64) *http.Request {
	header := forwardable(c.request.Header)
	header[HeaderAttempt] = []string{attempt}
	header[HeaderTarget] = []string{chosen.Instance}
	header[HeaderService] = []string{c.route.Service}
	header[HeaderRoute] = []string{c.route.Name}
	header[HeaderFingerprint] = []string{hex.EncodeToString(c.fingerprint[:])}
	header[HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	return outgoing(c.request, chosen.Address, header, body)
}

// outgoing builds a request to an address that keeps method, path and host.
func outgoing(r *http.Request, address string, header http.Header, body attemptBody) *http.Request {
	u := &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = []string{""} // or the transport would add its own
	}
	return &http.Request{
		Method:        r.Method,
		URL:           u,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Host:          r.Host,
		ContentLength: body.length(),
	}
}

// headerInt reads a number of the header, or -1.
func headerInt(header http.Header, name string) int64 {
	values := header[name]
	if len(values) == 0 {
		return -1
	}
	number, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || number < 0 {
		return -1
	}
	return number
}
