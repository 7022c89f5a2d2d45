package proxy

import (
	"context"
	"time"

	"godwitmount/internal/admission"
	"godwitmount/internal/claim"
	"godwitmount/internal/code"
)

// runClaimed runs an admitted attempt under its Idempotency-Key. A repeat of a
// request that is still running gives its slot back while it waits.
func (p *Proxy) runClaimed(ctx context.Context, x *execution, u *Upstream, slot admission.Slot) (*answer, *failure) {
	if p.deps.Claims == nil {
		slot.Release()
		return nil, fail(code.ClaimHomeUnreachable)
	}
	if !p.beginClaim(u) {
		slot.Release()
		return nil, fail(code.ClaimOverloaded)
	}
	decision := p.acquire(ctx, x, 0)
	p.claiming.Add(-1)
	if decision.Outcome == claim.Granted {
		return p.runGranted(ctx, x, u, slot)
	}
	slot.Release()
	if decision.Outcome != claim.Running {
		return p.answerOfClaim(decision)
	}
	decision = p.acquire(ctx, x, p.waitForFirst(x))
	if decision.Outcome != claim.Granted {
		return p.answerOfClaim(decision)
	}
	slot, err := p.admit(ctx, x, u)
	if err != nil {
		p.releaseClaim(ctx, x)
		return nil, failureOfRefusal(err)
	}
	return p.runGranted(ctx, x, u, slot)
}

// claimShare is the inverse share of the slots that may wait for claims at
// once: while the platform is slow, requests without a key keep the rest.
const claimShare = 2

// beginClaim counts a slot that waits for a claim, or reports false when too
// many do.
func (p *Proxy) beginClaim(u *Upstream) bool {
	if p.claiming.Add(1) <= int64(max(u.Slots/claimShare, 1)) {
		return true
	}
	p.claiming.Add(-1)
	return false
}

// waitForFirst is how long a repeat waits within its own deadline.
func (p *Proxy) waitForFirst(x *execution) time.Duration {
	const share = 2
	return min(p.cfg.ClaimWait, time.Until(x.deadline)/share)
}

func (p *Proxy) acquire(ctx context.Context, x *execution, wait time.Duration) claim.Decision {
	req := claim.Request{
		Key:         x.keyHash,
		Fingerprint: x.fingerprint,
		Attempt:     x.attempt,
		Executor:    p.cfg.Instance,
		Wait:        wait,
	}
	decision := p.deps.Claims.Acquire(ctx, req)
	p.metrics.claimDecided(decision.Outcome)
	if decision.Outcome == claim.Granted {
		x.claim, x.holder = &req, decision.Holder
	}
	return decision
}

// answerOfClaim answers without running the request.
func (p *Proxy) answerOfClaim(d claim.Decision) (*answer, *failure) {
	switch {
	case d.Outcome == claim.Done && d.Answer != nil:
		return answerOfKept(d.Answer), nil
	case d.Outcome == claim.Done:
		return nil, fail(code.ClaimRunAnswerNotKept)
	case d.Outcome == claim.Running:
		return nil, &failure{code: code.ClaimStillRunning, retryAfter: d.RetryAfter}
	case d.Outcome == claim.Mismatch:
		return nil, fail(code.ClaimKeyReused)
	case d.Code.Info().Outcome == code.NoOutcome:
		return nil, &failure{code: code.ClaimHomeUnreachable, retryAfter: d.RetryAfter}
	default:
		return nil, &failure{code: d.Code, retryAfter: d.RetryAfter}
	}
}

// runGranted runs the attempt and reports to the claim holder: released when
// it is proved not to have run, else finished, with the answer if it is short.
// The attempt runs on within its deadline when its caller goes away, so that
// the caller gets the answer when it comes back with the key.
func (p *Proxy) runGranted(ctx context.Context, x *execution, u *Upstream, slot admission.Slot) (*answer, *failure) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	a, f := p.startAndRun(ctx, x, u, slot)
	if f != nil {
		cancel()
		p.endClaim(ctx, x, f)
		return nil, f
	}
	before := a.ended
	a.ended = func(a *answer, err error) {
		before(a, err)
		cancel()
		p.deps.Claims.Finish(*x.claim, x.holder, keptIfWhole(a, err))
	}
	return a, nil
}

// keptIfWhole is the answer to keep, or nil when it was streamed or broken.
func keptIfWhole(a *answer, err error) *claim.Answer {
	if err != nil || int64(len(a.held)) != max(a.length, 0) {
		return nil
	}
	return a.kept()
}

func (p *Proxy) endClaim(ctx context.Context, x *execution, f *failure) {
	if f.notRun() {
		p.releaseClaim(ctx, x)
		return
	}
	p.deps.Claims.Finish(*x.claim, x.holder, nil)
}

// releaseBound is how long the release of a claim may hold up the answer.
const releaseBound = 250 * time.Millisecond

// releaseClaim gives the key back before the caller is told not-run, so that
// coming back works. It is done even when the caller is gone.
func (p *Proxy) releaseClaim(ctx context.Context, x *execution) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseBound)
	defer cancel()
	released := p.deps.Claims.Release(bounded, *x.claim, x.holder)
	p.metrics.claimReleased(released)
}
