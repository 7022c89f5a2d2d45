package proxy

import (
	"context"
	"errors"

	"godwitmount/internal/code"
	"godwitmount/internal/routing"
)

// fateOfSend finds out what became of a send to a peer that brought no answer.
func (p *Proxy) fateOfSend(ctx context.Context, c *call, chosen *routing.Candidate, attempt string, sent *sendError) *failure {
	if f := c.bodyFailure(sent); f != nil && sent.neverSent {
		return f
	}
	if sent.neverSent {
		return p.neverSent(ctx, c, chosen)
	}
	if c.callerGone() {
		return fail(code.CallCancelled)
	}
	if p.fencePeer(c, chosen, attempt) {
		if f := c.bodyFailure(sent); f != nil {
			return f
		}
		return p.fencedFailure(ctx, c)
	}
	if ctx.Err() != nil {
		return &failure{code: code.CallDeadlineUnknown, timedOut: true}
	}
	return fail(code.CallPeerLost)
}

// neverSent is the failure of a send of which no byte left.
func (p *Proxy) neverSent(ctx context.Context, c *call, chosen *routing.Candidate) *failure {
	if c.callerGone() {
		return fail(code.CallCancelled)
	}
	if ctx.Err() != nil {
		return &failure{code: code.CallDeadlineNotRun, timedOut: true}
	}
	p.deps.Report(PeerUnreachable{Instance: chosen.Instance, Address: chosen.Address})
	return fail(code.CallConnectRefused)
}

// fencedFailure is the failure of an attempt that will never start.
func (p *Proxy) fencedFailure(ctx context.Context, c *call) *failure {
	if ctx.Err() != nil {
		return &failure{code: code.CallDeadlineNotRun, timedOut: true}
	}
	return fail(code.CallFenced)
}

// bodyFailure is the failure of a send that the caller's own body broke.
func (c *call) bodyFailure(sent *sendError) *failure {
	if errors.Is(sent.err, errBodyTooLarge) {
		return fail(code.CallBodyTooLarge)
	}
	return nil
}

// fencePeer asks the executing daemon never to start the attempt; true is the
// proof that it has not run. The question has its own bound, since the
// attempt's time may be up.
func (p *Proxy) fencePeer(c *call, chosen *routing.Candidate, attempt string) bool {
	if p.deps.FencePeer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), p.cfg.FenceBound)
	defer cancel()
	notRun, err := p.deps.FencePeer(ctx, chosen.Address, attempt)
	if err != nil {
		p.metrics.fenceAsked("error")
		return false
	}
	p.metrics.fenceAsked(fenceResult(notRun))
	p.decisions.fenced(attempt, notRun)
	return notRun
}

func fenceResult(notRun bool) string {
	if notRun {
		return "not-run"
	}
	return "started"
}
