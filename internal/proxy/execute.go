package proxy

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/admission"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/routing"
	"godwitmount/internal/upstream"
)

// ExecuteFor runs a request of a peer, and tells how long it was here.
func (p *Proxy) ExecuteFor(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	arrived := p.now()
	p.noteLine(microseconds(request.LineDelayUs))
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

// Execute runs a request at the upstream beside the daemon, if that can be
// done. The frame is the upstream's answer, or a failure.
func (p *Proxy) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	p.running.Add(1)
	defer p.running.Add(-1)
	arrived := p.now()
	deadline := arrived + milliseconds(request.RemainingMs)
	u := p.upstream.Load()
	if !u.Takes() || u.Service != request.Service {
		return p.refuse(request, code.CallDraining, 0)
	}
	if p.quarantined(request) {
		return p.refuse(request, code.CallQuarantined, 0)
	}
	if p.lineFull(request.Route) {
		return p.refuse(request, code.CallShed, fullLine)
	}
	slot, refusal := p.gate.Admit(ctx, admission.Ask{
		Kind:     request.Route,
		Nested:   request.Nested,
		Priority: int(request.Priority),
		Goal:     arrived + milliseconds(request.GoalMs),
		Deadline: deadline,
		Patient:  request.Patient,
		Visiting: request.Visiting,
	})
	if refusal != nil {
		return p.refuse(request, refusalCode(refusal.Reason, p.now() >= deadline), refusal.RetryAfter)
	}
	defer slot.Release()
	// The upstream may have changed while the request waited.
	u = p.upstream.Load()
	if !u.Takes() || u.Service != request.Service {
		return p.refuse(request, code.CallDraining, 0)
	}
	return p.run(ctx, request, u, arrived, deadline)
}

// fullLine is the time on the way from which a daemon takes no more large
// requests: small ones share the line and wait behind their answers, and those
// that running requests wait for have the least time.
const fullLine = 150 * time.Millisecond

// lineFull tells whether a request of a route would add a large answer to a line
// that others wait for already.
func (p *Proxy) lineFull(route string) bool {
	return p.lineDelay() > fullLine && p.size(route) >= routing.LargeBytes
}

// refusalCode says why a request got no slot. One that could not start within
// its goal is shed unless its deadline has passed.
func refusalCode(reason admission.Reason, expired bool) code.Code {
	switch {
	case reason == admission.Closed:
		return code.CallDraining
	case reason == admission.Cancelled:
		return code.CallCancelled
	case expired:
		return code.CallDeadlineNotRun
	default:
		return code.CallShed
	}
}

// run sends an admitted request to the upstream.
func (p *Proxy) run(ctx context.Context, request *hopv1.Request, u *control.Upstream, arrived, deadline time.Duration) *hopv1.Frame {
	started := p.now()
	left := deadline - started
	if request.AttemptMs > 0 {
		left = min(left, milliseconds(request.AttemptMs))
	}
	if !request.Idempotent {
		// A request that must not run twice is not broken off when its caller
		// goes: it may have been done already.
		ctx = context.WithoutCancel(ctx)
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	p.atUpstream.Store(request.Id, true)
	defer p.atUpstream.Delete(request.Id)
	answer, err := p.client.Do(bounded, upstream.Call{Request: request, Extra: []*hopv1.Header{
		{Name: p.cfg.Headers.RequestID, Value: request.Id},
		{Name: p.cfg.Headers.Deadline, Value: upstream.Milliseconds(left)},
		{Name: p.cfg.Headers.Upstream, Value: u.ID},
		{Name: p.cfg.Headers.CallerService, Value: request.CallerService},
	}})
	took := p.now() - started
	p.metrics.ran(took, started-arrived)
	if err != nil {
		return p.failRun(bounded, request, u, err, took)
	}
	p.deps.Log.Call(event.CallExecuted, answer.Status >= 500, zap.String("id", request.Id),
		zap.String("route", request.Route), zap.Uint64("status", uint64(answer.Status)),
		zap.Bool("not_run", answer.NotRun), zap.Duration("waited", started-arrived), zap.Duration("took", took))
	p.expired.Store(0)
	p.noteSize(request.Route, len(answer.Body)+len(request.Body))
	answer.State = p.State()
	return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: answer}}
}

// failRun tells what is known of a request without a whole answer.
func (p *Proxy) failRun(ctx context.Context, request *hopv1.Request, u *control.Upstream, err error, took time.Duration) *hopv1.Frame {
	result := code.CallAnswerBroken
	notRun := false
	switch {
	case errors.Is(err, upstream.ErrUnreachable):
		result, notRun = code.CallConnectRefused, true
		if ctx.Err() == nil {
			p.deps.Lost(u.ID)
		}
	case ctx.Err() == nil && p.client.Crashed(ctx):
		result = code.CallUpstreamLost
		p.deps.Lost(u.ID)
		p.suspect(request, u)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = code.CallDeadlineUnknown
		p.noteExpired(u)
	case ctx.Err() != nil:
		result = code.CallCancelled
	}
	p.deps.Log.Call(event.CallExecuted, true, zap.String("id", request.Id), zap.String("route", request.Route),
		zap.String("result", result.String()), zap.Error(err), zap.Duration("took", took))
	return failureFrame(result, notRun, 0, p.State())
}

// stallExpired is how many runs in a row must run out of time before the
// upstream counts as stalled.
const stallExpired = 4

// noteExpired counts a run that ran out of time.
func (p *Proxy) noteExpired(u *control.Upstream) {
	if p.expired.Add(1) >= stallExpired {
		p.expired.Store(0)
		p.deps.Stalled(u.ID)
	}
}

// refuse answers a request that is not run here.
func (p *Proxy) refuse(request *hopv1.Request, result code.Code, retry time.Duration) *hopv1.Frame {
	state := p.State()
	p.metrics.refused(result)
	p.deps.Log.Call(event.CallExecuted, true, zap.String("id", request.Id), zap.String("route", request.Route),
		zap.String("result", result.String()), zap.Uint64("running", uint64(state.Running)),
		zap.Uint64("waiting", uint64(state.Waiting)), zap.Duration("retry_after", retry))
	return failureFrame(result, true, retry, state)
}

func failureFrame(result code.Code, notRun bool, retry time.Duration, state *hopv1.State) *hopv1.Frame {
	return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{
		Code:    uint32(result),
		NotRun:  notRun,
		RetryMs: uint32(retry.Milliseconds()),
		State:   state,
	}}}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
