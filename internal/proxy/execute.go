package proxy

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/admission"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/upstream"
)

// ExecuteFor runs a peer's request like Execute. It records the network
// round-trip time that the peer measured, and sets in the frame how long the
// request was at this daemon. It refuses a request that might be cut off when the process
// ends, and any once the daemon drains: the peer has an old state.
func (p *Proxy) ExecuteFor(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	arrived := p.now()
	p.recordRTT(microseconds(request.LineDelayUs))
	if p.deps.Peers.Draining() || !p.stopAcceptsFromPeer(time.Now().Add(milliseconds(request.RemainingMs))) {
		return p.refuse(request, code.CallDraining, 0)
	}
	ctx, cancel := p.untilCutOff(ctx)
	defer cancel()
	frame := p.Execute(ctx, request)
	spent := uint32((p.now() - arrived).Microseconds())
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Answer:
		body.Answer.SpentUs = spent
	case *hopv1.Frame_Failure:
		body.Failure.SpentUs = spent
	}
	return frame
}

// Execute runs a request at the upstream beside this daemon, or refuses it. The
// frame holds the upstream's answer or a failure.
func (p *Proxy) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	p.executingRequests.Add(1)
	defer p.executingRequests.Add(-1)
	arrived := p.now()
	deadline := arrived + milliseconds(request.RemainingMs)
	u := p.upstream.Load()
	if refusal := p.obstacle(u, request); refusal != code.OK {
		return p.refuse(request, refusal, 0)
	}
	if p.isQuarantined(request) {
		return p.refuse(request, code.CallQuarantined, 0)
	}
	if excess := p.linkBusyFor(request); excess > 0 {
		return p.refuse(request, code.CallShed, excess)
	}
	slot, refusal := p.admissionController.Admit(ctx, admission.Request{
		Kind:             request.Route,
		Nested:           request.Nested,
		CustomerPriority: int(request.CustomerPriority),
		Priority:         int(request.Priority),
		Goal:             arrived + milliseconds(request.GoalMs),
		Deadline:         deadline,
		PastGoal:         request.Patient,
		Spillover:        request.Visiting,
	})
	if refusal != nil {
		return p.refuse(request, p.refusalCode(refusal.Reason, p.now() >= deadline), refusal.RetryAfter)
	}
	upstreamFailed := true
	defer func() { slot.Release(upstreamFailed) }()
	// The upstream may have changed while the request waited, or the slot be one of those that
	// become free as the requests in flight are cut off.
	u = p.upstream.Load()
	if refusal := p.obstacle(u, request); refusal != code.OK {
		return p.refuse(request, refusal, 0)
	}
	if !p.stopAllowsRun(request, p.epoch.Add(deadline)) {
		return p.refuse(request, code.CallDraining, 0)
	}
	var frame *hopv1.Frame
	began := p.now()
	frame, upstreamFailed = p.run(ctx, request, u, arrived, deadline)
	p.recordOutcome(upstreamFailed)
	p.recordRolloutOutcome(u, request, frame, upstreamFailed, p.now()-began)
	return frame
}

// obstacle returns why the upstream u must not begin the request now, or code.OK.
func (p *Proxy) obstacle(u *control.Upstream, request *hopv1.Request) code.Code {
	if p.isCutOff() || !u.AcceptsRequests() || u.Service != request.Service {
		return code.CallDraining
	}
	return p.rollouts.refusal(u, request, p.deps.BootClock)
}

// refusalCode returns the result code for a request that got no slot. A request
// that could not start within its goal is shed unless its deadline has passed.
func (p *Proxy) refusalCode(reason admission.Reason, deadlinePassed bool) code.Code {
	switch {
	case reason == admission.Closed, p.isCutOff():
		return code.CallDraining
	case deadlinePassed:
		return code.CallDeadlineNotRun
	case reason == admission.Cancelled:
		return code.CallCancelled
	default:
		return code.CallShed
	}
}

// run sends an admitted request to the upstream and returns its answer or a
// failure, and whether the outcome is a fault of the upstream. The times arrived and
// deadline are since epoch.
func (p *Proxy) run(ctx context.Context, request *hopv1.Request, u *control.Upstream, arrived, deadline time.Duration) (frame *hopv1.Frame, failed bool) {
	started := p.now()
	timeout := deadline - started
	if timeout <= 0 {
		// The process may have been paused since the request got its slot.
		return p.refuse(request, code.CallDeadlineNotRun, 0), false
	}
	if request.AttemptMs > 0 {
		timeout = min(timeout, milliseconds(request.AttemptMs))
	}
	if !request.Idempotent {
		// A request that must not run twice continues when its caller cancels:
		// it may already have taken effect.
		var end func()
		ctx, end = p.untilCutOff(context.WithoutCancel(ctx))
		defer end()
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	running := p.running.add(request.Id, request.Retry)
	defer p.running.remove(request.Id, running)
	mean := p.admissionController.Load().ServiceTime
	extra := []*hopv1.Header{
		{Name: p.cfg.Headers.RequestID, Value: []byte(request.Id)},
		{Name: p.cfg.Headers.Deadline, Value: []byte(upstream.FormatMilliseconds(timeout))},
		{Name: p.cfg.Headers.Upstream, Value: []byte(u.ID)},
		{Name: p.cfg.Headers.CallerService, Value: []byte(request.CallerService)},
	}
	if request.Customer != "" {
		extra = append(extra, &hopv1.Header{Name: p.cfg.Headers.Customer, Value: []byte(request.Customer)})
	}
	answer, err := p.client.Do(bounded, upstream.Call{Request: request, ExtraHeaders: extra})
	took := p.now() - started
	p.metrics.recordRun(took, started-arrived)
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			running.abandon()
		}
		if took > longRuns*mean {
			p.client.CloseUnusedSince(p.epoch.Add(started))
		}
		failed = bounded.Err() == nil || errors.Is(bounded.Err(), context.DeadlineExceeded) && took > longRuns*mean
		return p.runFailure(bounded, request, u, err, took), failed
	}
	p.deps.Log.Request(event.CallExecuted, outcomeOf(answer.Status), zap.String("id", request.Id),
		zap.String("route", request.Route), customerField(request.Customer), zap.Uint64("status", uint64(answer.Status)),
		zap.Bool("not_run", answer.NotRun), zap.Duration("waited", started-arrived), zap.Duration("took", took))
	p.consecutiveTimeouts.Store(0)
	p.recordNotice(u, answer)
	p.routes.recordSize(request.Route, len(answer.Body)+len(request.Body))
	answer.RanUs = uint32(took.Microseconds())
	answer.State = p.State()
	return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: answer}}, answerFails(answer, running, took, mean)
}

// runFailure returns the failure of a run that ended with err and without a
// complete answer. It reports an upstream that is unreachable or stalled, and
// records the request as a crash suspect if the upstream became unreachable
// during the run.
func (p *Proxy) runFailure(ctx context.Context, request *hopv1.Request, u *control.Upstream, err error, took time.Duration) *hopv1.Frame {
	failed := code.CallAnswerBroken
	notRun := false
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		failed, notRun = p.refusalCode(admission.Cancelled, errors.Is(ctx.Err(), context.DeadlineExceeded)), true
	case errors.Is(err, upstream.ErrUnreachable):
		failed, notRun = code.CallConnectRefused, true
		if ctx.Err() == nil {
			p.deps.ReportUnreachable(u.ID)
		}
	case p.isCutOff():
		failed = code.CallStopped
	case ctx.Err() == nil && p.client.Unreachable(ctx):
		failed = code.CallUpstreamLost
		p.deps.ReportUnreachable(u.ID)
		p.recordSuspect(request, u)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failed = code.CallDeadlineUnknown
		p.recordTimeout(u)
	case ctx.Err() != nil:
		failed = code.CallCancelled
	}
	outcome := asynclog.Uncertain
	if notRun {
		outcome = asynclog.Failed
	}
	p.deps.Log.Request(event.CallExecuted, outcome, zap.String("id", request.Id), zap.String("route", request.Route), customerField(request.Customer),
		zap.String("result", failed.String()), zap.Error(err), zap.NamedError("ended_by", context.Cause(ctx)), zap.Duration("took", took))
	return failureFrame(failed, notRun, 0, p.State())
}

// stallTimeouts is the number of consecutive runs that must time out before the
// upstream counts as stalled.
const stallTimeouts = 4

// recordTimeout counts a run that timed out.
func (p *Proxy) recordTimeout(u *control.Upstream) {
	if p.consecutiveTimeouts.Add(1) >= stallTimeouts {
		p.consecutiveTimeouts.Store(0)
		p.deps.ReportStalled(u.ID)
	}
}

// refuse returns the failure of a request that this daemon does not run, and
// records it. A retry delay of 0 means unknown.
func (p *Proxy) refuse(request *hopv1.Request, refusal code.Code, retry time.Duration) *hopv1.Frame {
	state := p.State()
	p.metrics.recordRefusal(refusal)
	p.deps.Log.Request(event.CallExecuted, asynclog.Failed, zap.String("id", request.Id), zap.String("route", request.Route), customerField(request.Customer),
		zap.String("result", refusal.String()), zap.Uint64("running", uint64(state.Running)),
		zap.Uint64("waiting", uint64(state.Waiting)), zap.Duration("retry_after", retry))
	return failureFrame(refusal, true, retry, state)
}

// failureFrame returns a frame with a failure. notRun promises that the request
// has not run and will not; a retry delay of 0 means unknown.
func failureFrame(failed code.Code, notRun bool, retry time.Duration, state *hopv1.State) *hopv1.Frame {
	return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{
		Code:    uint32(failed),
		NotRun:  notRun,
		RetryMs: uint32(retry.Milliseconds()),
		State:   state,
	}}}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
