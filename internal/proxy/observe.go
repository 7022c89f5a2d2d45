package proxy

import (
	"errors"
	"io"
	"syscall"

	"godwitmount/internal/code"
	"godwitmount/internal/routing"
)

// observeFailure draws conclusions about the upstream from a failure.
func (p *Proxy) observeFailure(c *call, chosen *routing.Candidate, f *failure) {
	switch f.code {
	case code.CallDraining, code.CallNoUpstream:
		chosen.Avoid(p.now())
	case code.CallConnectRefused, code.CallPeerLost, code.CallUpstreamLost, code.CallAnswerBroken, code.CallDeadlineUnknown:
		p.countFailure(c, chosen)
	}
}

func (p *Proxy) countFailure(c *call, chosen *routing.Candidate) {
	length := p.balancer.Failed(c.snapshot, c.route.Service, chosen, p.now(), p.deps.Rand())
	if length > 0 {
		p.metrics.ejected(c.route.Service)
		p.decisions.ejected(c.route.Service, chosen, length)
	}
}

// observeAnswer notes that the upstream answers and the load it told.
func (p *Proxy) observeAnswer(chosen *routing.Candidate, a *answer) {
	now := p.now()
	load := a.load
	if chosen.Instance == p.cfg.Instance {
		load = int64(p.otherLoad(a.body != nil))
	}
	if load >= 0 {
		chosen.ReportLoad(load, now)
	}
	if p.balancer.Succeeded(chosen, now) {
		p.decisions.returned(chosen)
	}
}

// isReadError tells an answer that broke off from a caller that went away.
func isReadError(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}
