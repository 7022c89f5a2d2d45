package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"godwitmount/internal/admission"
	"godwitmount/internal/claim"
	"godwitmount/internal/code"
	"godwitmount/internal/membership"
)

// execution is one attempt at the daemon beside the upstream.
type execution struct {
	attempt string
	service string
	route   string
	request *http.Request
	body    attemptBody
	// header is what the upstream gets, without the deadline.
	header      http.Header
	deadline    time.Time
	key         string
	keyHash     claim.Hash
	fingerprint claim.Hash
	// fenced tells that another daemon may fence the attempt.
	fenced bool
	// claim is set once granted, with its holder.
	claim  *claim.Request
	holder string
}

// ownExecution is an attempt of this daemon's own callers.
func (p *Proxy) ownExecution(c *call, attempt string, body attemptBody) *execution {
	return &execution{
		attempt:     attempt,
		service:     c.route.Service,
		route:       c.route.Name,
		request:     c.request,
		body:        body,
		header:      forwardable(c.request.Header),
		deadline:    c.deadline,
		key:         c.key,
		keyHash:     c.keyHash,
		fingerprint: c.fingerprint,
	}
}

// execute admits an attempt and runs it on the local upstream. Exactly one of
// the answer and the failure is set; a failure that says not-run is proved.
func (p *Proxy) execute(ctx context.Context, x *execution) (*answer, *failure) {
	p.executing.Add(1)
	a, f := p.admitAndRun(ctx, x)
	p.decisions.admitted(x, f)
	if f != nil {
		p.executing.Add(-1)
		return nil, f
	}
	finishWith(a, func() { p.executing.Add(-1) })
	return a, nil
}

func (p *Proxy) admitAndRun(ctx context.Context, x *execution) (*answer, *failure) {
	upstream := p.upstream.Load()
	if f := p.takesWork(upstream, x); f != nil {
		return nil, f
	}
	if f := p.quarantined(x.fingerprint); f != nil {
		return nil, f
	}
	slot, err := p.admit(ctx, x, upstream)
	if err != nil {
		return nil, failureOfRefusal(err)
	}
	if x.key != "" {
		return p.runClaimed(ctx, x, upstream, slot)
	}
	return p.startAndRun(ctx, x, upstream, slot)
}

// takesWork refuses an attempt that the local upstream is not there for.
func (p *Proxy) takesWork(u *Upstream, x *execution) *failure {
	if p.draining.Load() || u.State == membership.UpstreamDraining {
		return fail(code.CallDraining)
	}
	if u.State != membership.UpstreamReady || u.Service != x.service {
		return fail(code.CallNoUpstream)
	}
	return nil
}

func (p *Proxy) quarantined(fingerprint claim.Hash) *failure {
	if p.deps.Quarantine == nil {
		return nil
	}
	refused, retryAfter := p.deps.Quarantine.Refused(fingerprint)
	if !refused {
		return nil
	}
	return &failure{code: code.CallQuarantined, retryAfter: retryAfter}
}

func (p *Proxy) admit(ctx context.Context, x *execution, u *Upstream) (admission.Slot, error) {
	p.sizeGate(u)
	return p.gate.Admit(ctx, x.deadline)
}

// sizeGate sets the gate's size when the upstream or the configuration
// changed.
func (p *Proxy) sizeGate(u *Upstream) {
	snapshot := p.deps.Snapshot()
	if size := p.gateSize.Load(); size != nil && size.snapshot == snapshot && size.upstream == u {
		return
	}
	cfg := admission.Config{Slots: max(u.Slots, 1), QueueLimit: p.cfg.QueuePerSlot * max(u.Slots, 1)}
	if snapshot != nil {
		for _, service := range snapshot.Table.Manifest().Services {
			if service.Name == u.Service && service.QueueLimit > 0 {
				cfg.QueueLimit = service.QueueLimit
			}
		}
	}
	p.gate.Resize(cfg)
	p.gateSize.Store(&gateSize{snapshot: snapshot, upstream: u})
}

// startAndRun starts an admitted attempt unless it was fenced meanwhile.
func (p *Proxy) startAndRun(ctx context.Context, x *execution, u *Upstream, slot admission.Slot) (*answer, *failure) {
	if f := x.holdBody(p.cfg.BufferedBody); f != nil {
		slot.Release()
		return nil, f
	}
	if x.fenced && !p.deps.Fences.Start(x.attempt) {
		slot.Release()
		return nil, fail(code.CallFenced)
	}
	p.quarantineStarted(x.fingerprint)
	began := time.Now()
	a, f := p.sendUpstream(ctx, x, u)
	if f != nil {
		p.quarantineEnded(x.fingerprint, f.code == code.CallUpstreamLost)
		slot.Release()
		return nil, f
	}
	a.upstreamTime = time.Since(began)
	a.ended = func(a *answer, err error) {
		p.quarantineEnded(x.fingerprint, p.brokenByUpstream(ctx, u, err))
		a.upstreamTime = time.Since(began)
		slot.Release()
	}
	return a, nil
}

// holdBody reads a short body before the attempt starts, so that it leaves in
// one piece and an entry daemon that goes away is noticed.
func (x *execution) holdBody(limit int) *failure {
	body := x.body.body
	if body.whole() || body.length < 0 || body.length > int64(limit) {
		return nil
	}
	held, _, err := readUpTo(body.rest, body.length, limit)
	if err != nil {
		return fail(code.CallBadRequest)
	}
	x.body = attemptBody{body: &requestBody{held: held, length: body.length}}
	return nil
}

// brokenByUpstream tells whether an answer ended early although nobody here
// gave it up.
func (p *Proxy) brokenByUpstream(ctx context.Context, u *Upstream, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	if !isReadError(err) {
		return false
	}
	p.deps.Report(LocalUpstreamLost{Address: u.Address})
	return true
}

func (p *Proxy) quarantineStarted(fingerprint claim.Hash) {
	if p.deps.Quarantine != nil {
		p.deps.Quarantine.Started(fingerprint)
	}
}

func (p *Proxy) quarantineEnded(fingerprint claim.Hash, crashed bool) {
	if p.deps.Quarantine == nil {
		return
	}
	if crashed {
		p.metrics.crashed()
		p.deps.Quarantine.Crashed(fingerprint)
		return
	}
	p.deps.Quarantine.Finished(fingerprint)
}

// sendUpstream sends the attempt to the local upstream.
func (p *Proxy) sendUpstream(ctx context.Context, x *execution, u *Upstream) (*answer, *failure) {
	left := remaining(x.deadline)
	if left <= 0 {
		return nil, fail(code.CallDeadlineNotRun)
	}
	x.header[HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	req := outgoing(x.request, u.Address, x.header, x.body)
	resp, sendErr := p.loopback.send(ctx, req, x.body)
	if sendErr != nil {
		return nil, p.fateAtUpstream(ctx, u, sendErr)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderUpstreamRefused) != "" {
		_ = resp.Body.Close()
		return nil, fail(code.CallUpstreamRefused)
	}
	a, err := answerOf(resp, x.request.Method)
	if err != nil {
		return nil, fail(code.CallAnswerBroken)
	}
	a.header = forwardable(resp.Header)
	return a, nil
}

// fateAtUpstream is the failure of a send to the local upstream that brought
// no answer.
func (p *Proxy) fateAtUpstream(ctx context.Context, u *Upstream, sent *sendError) *failure {
	if f := failureOfSentBody(sent); f != nil {
		return f
	}
	if sent.neverSent {
		if ctx.Err() != nil {
			return &failure{code: code.CallDeadlineNotRun, timedOut: true}
		}
		p.deps.Report(LocalUpstreamLost{Address: u.Address})
		return fail(code.CallConnectRefused)
	}
	if ctx.Err() != nil {
		return failureOfContext(ctx)
	}
	p.deps.Report(LocalUpstreamLost{Address: u.Address})
	return fail(code.CallUpstreamLost)
}
