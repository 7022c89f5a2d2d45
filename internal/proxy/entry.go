package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/pipeline"
	"godwitmount/internal/routing"
)

// serve handles one request of a caller.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	p.entryRequests.Add(1)
	defer p.entryRequests.Add(-1)
	c, f := p.newCall(w, r)
	if f != nil {
		p.returnToken(c.token)
		p.writeFailure(w, r, c, f, nil)
		return
	}
	uncut, end := p.untilCutOff(r.Context())
	defer end()
	ctx, cancel := context.WithDeadline(uncut, c.deadline)
	defer cancel()
	if c.parent != nil {
		defer context.AfterFunc(c.parent.abandoned, cancel)()
	}
	forwarder := &forwarder{proxy: p, call: c}
	answer, f := forwarder.forward(ctx)
	if f != nil && f.notRun || answer.GetNotRun() {
		p.returnToken(c.token)
	} else {
		p.routes.recordDuration(c.route.Name, p.now(), time.Since(c.started))
	}
	if f != nil {
		p.writeFailure(w, r, c, f, forwarder)
		return
	}
	p.writeAnswer(w, r, c, answer, forwarder)
}

// closeIfStopping makes the answer to a request the last one of its connection if the daemon
// stops and no other request waits there.
func (p *Proxy) closeIfStopping(w http.ResponseWriter, r *http.Request) {
	if p.stopping.Load() && pipeline.CloseAfter(r.Context()) {
		w.Header().Set("Connection", "close")
	}
}

// forwarder sends one call to upstreams, in one or more attempts.
type forwarder struct {
	proxy *Proxy
	call  *call
	progress
	// tried lists the instances of all attempts.
	tried []string
	// fallback is the last server error of an upstream. It is the answer for the
	// caller unless a later attempt has a better one.
	fallback *hopv1.Answer
	// uncertain is the last failure of an attempt in which the request may have
	// run; lastFailure is that of any attempt.
	uncertain   *failure
	lastFailure *failure
	// lostBy is why the last attempt that is CallPeerLost got no reply; nil if there is none.
	lostBy error
	// mayHaveRun is set once an upstream has run the request, or may have.
	mayHaveRun bool
	// retryAfter is the shortest time after which a refusing daemon expects to
	// accept the request; 0 means unknown.
	retryAfter time.Duration
	// lastInstance is the instance of the last attempt.
	lastInstance string
	// transferLate is set once the request was not transferred in time. Other upstreams
	// would keep it past its goal as well.
	transferLate bool
	// retryTaken is set while the next retry is already counted in the budget; retryCounted is
	// when the last one was.
	retryTaken   bool
	retryCounted time.Duration
	// rollout is what the attempts have to do with a rollout of the service.
	rollout rolloutAttempt
}

// forward makes attempts until the call has an answer or must not be sent again.
// If ctx ends first, it returns a failure, even if there is a fallback.
func (f *forwarder) forward(ctx context.Context) (*hopv1.Answer, *failure) {
	f.proxy.recordRequest(f.call)
	if ctx.Err() != nil {
		return nil, f.contextFailure(ctx)
	}
	frame, r := f.attempts(ctx)
	if f.retryTaken {
		f.proxy.returnRetry(f.call, f.retryCounted)
	}
	switch {
	case r == answered:
		return f.finish(frame)
	case f.proxy.isCutOff():
		return nil, cutOffFailure(f.mayHaveRun)
	case ctx.Err() != nil:
		return nil, f.contextFailure(ctx)
	default:
		return f.finish(frame)
	}
}

// attempts makes attempts until one is answered, ctx ends or the call must not be sent again.
// It returns the outcome of the last attempt; the frame is nil if there was no upstream left
// to try.
func (f *forwarder) attempts(ctx context.Context) (*hopv1.Frame, result) {
	for {
		frame, r := f.attempt(ctx)
		if ctx.Err() != nil {
			return frame, r
		}
		step := decide(r, f.progress, f.call.route.Rule)
		if step != finish && !f.proxy.stopAllowsRetry(f.call) {
			step = finish
		}
		if step == retryWithBudget && !f.takeRetry() {
			step = finish
		}
		if step == finish || frame == nil || f.transferLate {
			return frame, r
		}
		f.remember(frame)
		f.proxy.deps.Log.Request(event.CallRetried, r.outcome(), zap.String("id", f.call.id), zap.String("at", f.lastInstance),
			zap.Int("arrivals", f.deliveries), zap.Int("offers", f.offers), zap.Stringer("result", r),
			zap.NamedError("lost_by", f.lostBy))
	}
}

// remember keeps an attempt's outcome in case no later attempt has a better one.
func (f *forwarder) remember(frame *hopv1.Frame) {
	if answer := frame.GetAnswer(); answer != nil && !answer.NotRun {
		f.fallback = answer
		return
	}
	f.lastFailure = f.failureOf(frame)
	if !f.lastFailure.notRun {
		f.uncertain = f.lastFailure
	}
}

// finish returns the outcome for the caller; frame is that of the last attempt,
// or nil if there was no upstream left to try. An upstream's answer takes
// precedence over a failure. A request that may have run is never reported as
// not run.
func (f *forwarder) finish(frame *hopv1.Frame) (*hopv1.Answer, *failure) {
	if answer := frame.GetAnswer(); answer != nil {
		if f.fallback != nil && (answer.NotRun || answer.Status >= http.StatusInternalServerError) {
			return f.fallback, nil
		}
		if !answer.NotRun || f.uncertain == nil {
			return answer, nil
		}
	}
	if f.fallback != nil {
		return f.fallback, nil
	}
	if f.uncertain != nil {
		return nil, f.uncertain
	}
	if frame == nil && f.lastFailure != nil {
		return nil, f.lastFailure
	}
	return nil, f.failureOf(frame)
}

// failureOf returns the failure for an attempt's frame. An answer counts as an
// upstream's refusal; a nil frame means that there was no upstream to try.
func (f *forwarder) failureOf(frame *hopv1.Frame) *failure {
	if frame.GetAnswer() != nil {
		return newFailure(code.CallUpstreamRefused)
	}
	failed := frame.GetFailure()
	if failed == nil {
		return newFailure(code.CallNoUpstream)
	}
	return &failure{code: failureCode(failed), notRun: failed.NotRun, retryAfter: f.retryAfter}
}

// failureCode returns the code of a failure. If this release does not know it, or its
// status would contradict whether the request has run, it returns a general one.
func failureCode(failed *hopv1.Failure) code.Code {
	c := code.Code(failed.Code)
	switch outcome := c.Info().Outcome; {
	case failed.NotRun && outcome != code.NotRun:
		return code.CallConnectRefused
	case !failed.NotRun && outcome != code.Unknown:
		return code.CallPeerLost
	}
	return c
}

// contextFailure returns the failure of a call whose deadline has passed or
// whose caller has cancelled.
func (f *forwarder) contextFailure(ctx context.Context) *failure {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if f.mayHaveRun {
			return newFailure(code.CallCancelled)
		}
		return newFailure(code.CallCancelledNotRun)
	}
	if f.mayHaveRun {
		return newFailure(code.CallDeadlineUnknown)
	}
	return newFailure(code.CallDeadlineNotRun)
}

// attempt chooses an upstream and sends the request to it. If there is no
// upstream left to try, the frame is nil and the result notSent.
func (f *forwarder) attempt(ctx context.Context) (*hopv1.Frame, result) {
	p, c := f.proxy, f.call
	candidates := f.limitToRollout(p.candidates(c.service))
	chosen := routing.Choose(candidates, f.placementRequest())
	if chosen < 0 {
		f.settleRollout(notSent)
		return nil, notSent
	}
	candidate := &candidates[chosen]
	f.chooseVersion(candidate.Version)
	f.lastInstance = candidate.Instance
	f.tried = append(f.tried, candidate.Instance)
	p.deps.Log.Request(event.CallRouted, asynclog.Served, zap.String("id", c.id), zap.String("to", candidate.Instance),
		zap.Float64("load", candidate.Load), zap.Duration("hold", candidate.ServiceTime), zap.Bool("near", candidate.Local),
		zap.Int("candidates", len(candidates)))
	c.request.RemainingMs = wireMilliseconds(time.Until(c.deadline))
	c.request.GoalMs = wireMilliseconds(time.Until(p.attemptGoal(c)))
	c.request.Patient = c.request.GoalMs == 0
	c.request.Retry = f.deliveries > 0 || c.isRetry()
	c.request.Visiting = !candidate.Local && routing.HasLocal(candidates)
	frame, r := f.executeAt(ctx, candidate)
	f.settleRollout(r)
	return frame, r
}

// executeAt has the request executed at the candidate, and elsewhere as well if that falls
// silent.
func (f *forwarder) executeAt(ctx context.Context, candidate *routing.Candidate) (*hopv1.Frame, result) {
	if candidate.Self {
		return f.recordOutcome(f.proxy.Execute(ctx, f.call.request))
	}
	frame, h := f.sendTo(ctx, candidate.Instance)
	if h != nil {
		return f.join(h, frame)
	}
	return f.recordOutcome(frame)
}

// placementRequest returns the parameters of the next choice of an upstream.
func (f *forwarder) placementRequest() routing.PlacementRequest {
	route := f.call.route.Name
	return routing.PlacementRequest{
		Bytes: f.proxy.routes.size(route),
		Work:  f.proxy.routes.work(route),
		Goal:  time.Until(f.call.goal),
		Tried: f.tried,
		Rand:  rand.Float64,
	}
}

// hasPlacement reports whether a further attempt would be made at an upstream by what is known
// now.
func (f *forwarder) hasPlacement() bool {
	candidates := f.allowedByRollout(f.proxy.candidates(f.call.service))
	return routing.Choose(candidates, f.placementRequest()) >= 0
}

func (f *forwarder) hasTried(instance string) bool { return slices.Contains(f.tried, instance) }

// takeRetry reports whether the budget allows a retry, and counts it there unless a hedge
// has left one.
func (f *forwarder) takeRetry() bool {
	if f.retryTaken {
		f.retryTaken = false
		return true
	}
	f.retryCounted = f.proxy.now()
	return f.proxy.takeRetry(f.call, f.retryCounted)
}

// wireMilliseconds returns the remaining time in the hop protocol's unit, whole
// milliseconds, rounded down; 0 if no time remains.
func wireMilliseconds(remaining time.Duration) uint32 {
	return uint32(max(remaining.Milliseconds(), 0))
}

// recordOutcome counts an attempt's outcome and classifies it. A frame that is
// neither an answer nor a failure is replaced by a failure: the request may have run.
func (f *forwarder) recordOutcome(frame *hopv1.Frame) (*hopv1.Frame, result) {
	if answer := frame.GetAnswer(); answer != nil {
		f.deliveries++
		f.mayHaveRun = f.mayHaveRun || !answer.NotRun
		return frame, classifyAnswer(answer.Status, answer.NotRun)
	}
	failed := frame.GetFailure()
	if failed == nil {
		f.deliveries++
		f.mayHaveRun = true
		return failureFrame(code.CallAnswerBroken, false, 0, nil), unknown
	}
	if retry := milliseconds(failed.RetryMs); retry > 0 && (f.retryAfter == 0 || retry < f.retryAfter) {
		f.retryAfter = retry
	}
	if failed.NotRun {
		f.offers++
		return frame, notSent
	}
	f.deliveries++
	f.mayHaveRun = true
	switch code.Code(failed.Code) {
	case code.CallUpstreamLost:
		f.crashes++
	case code.CallDeadlineUnknown:
		return frame, timedOut
	}
	return frame, unknown
}

// recordNestedFailure tells the request for which a nested one was sent that this
// one failed.
func (c *call) recordNestedFailure() {
	if c.parent != nil {
		c.parent.nestedFailed.Store(true)
	}
}

// writeFailure answers the caller with a failure and records it. The forwarder
// is nil if no attempt was made.
func (p *Proxy) writeFailure(w http.ResponseWriter, r *http.Request, c *call, failed *failure, f *forwarder) {
	c.recordNestedFailure()
	delay := retryAfter(failed.retryAfter, time.Until(c.goal), c.timeToRetry(), rand.Float64())
	if failed.notRun && failed.code.Info().RetryAfter {
		p.recentRefusals.record(c.key, c.firstSeen, p.now())
	}
	p.metrics.recordAnswer(c, failed.code.String())
	p.metrics.customers.record(c.customer, failed.code.String())
	fields := []zap.Field{zap.String("id", c.id), c.customerField(), zap.String("result", failed.code.String()),
		zap.Bool("not_run", failed.notRun), zap.Duration("took", time.Since(c.started)),
		zap.Uint64("config", c.version), zap.Duration("retry_after", delay)}
	p.deps.Log.Request(event.CallAnswered, failed.outcome(), append(fields, f.fields()...)...)
	w.Header().Set(p.cfg.Headers.RequestID, c.id)
	c.limitUnreadBody(w, r)
	p.closeIfStopping(w, r)
	p.recordDelivery(c.id, failed.write(r.Context(), w, delay))
}

// fields returns the log fields of the call and its attempts; a nil forwarder
// has none.
func (f *forwarder) fields() []zap.Field {
	if f == nil {
		return nil
	}
	return []zap.Field{zap.String("route", f.call.route.Name), zap.Duration("age", f.call.age), zap.Bool("nested", f.call.nested), zap.Duration("goal", f.call.goal.Sub(f.call.started)), zap.String("at", f.lastInstance),
		zap.Int("arrivals", f.deliveries), zap.Int("offers", f.offers), zap.Strings("tried", f.tried), zap.NamedError("lost_by", f.lostBy)}
}

// writeAnswer sends an upstream's answer to the caller.
func (p *Proxy) writeAnswer(w http.ResponseWriter, r *http.Request, c *call, answer *hopv1.Answer, f *forwarder) {
	header := w.Header()
	for _, h := range answer.Headers {
		header[h.Name] = append(header[h.Name], string(h.Value))
	}
	// A nil value keeps net/http from adding a detected Content-Type.
	if _, set := header["Content-Type"]; !set {
		header["Content-Type"] = nil
	}
	if c.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	if answer.Status >= http.StatusInternalServerError || answer.NotRun {
		c.recordNestedFailure()
	}
	p.metrics.recordAnswer(c, strconv.Itoa(int(answer.Status)))
	p.metrics.customers.record(c.customer, statusResult(answer.Status))
	p.deps.Log.Request(event.CallAnswered, outcomeOf(answer.Status),
		slices.Concat([]zap.Field{zap.String("id", c.id), c.customerField(), zap.Uint32("status", answer.Status),
			zap.Duration("took", time.Since(c.started)), zap.Uint64("config", c.version)}, f.fields())...)
	p.routes.recordSize(c.route.Name, len(answer.Body)+len(c.request.Body))
	p.routes.recordWork(c.route.Name, microseconds(answer.RanUs), microseconds(answer.State.GetServiceTimeUs()))
	p.closeIfStopping(w, r)
	p.recordDelivery(c.id, writeWhole(w, int(answer.Status), answer.Body))
}
