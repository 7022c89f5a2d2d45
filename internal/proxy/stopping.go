package proxy

import (
	"context"

	"godwitmount/internal/code"
)

// BeginStop makes the answers to callers' requests close their connections.
func (p *Proxy) BeginStop() {
	p.stopping.Store(true)
	p.quotas.beginStop()
	if p.quotas.limited() {
		// Other daemons become the owners of buckets.
		p.deps.BroadcastState()
	}
}

// CloseEntry refuses new requests of callers. Requests in flight continue, and nested
// ones that they need are still served.
func (p *Proxy) CloseEntry() { p.entryClosed.Store(true) }

// CutOff ends all requests in flight, each with an answer.
func (p *Proxy) CutOff() { p.cutOff() }

// isCutOff reports whether CutOff was called.
func (p *Proxy) isCutOff() bool { return p.cut.Err() != nil }

// untilCutOff returns a context that also ends with CutOff. The caller must call cancel.
func (p *Proxy) untilCutOff(ctx context.Context) (bounded context.Context, cancel func()) {
	bounded, end := context.WithCancel(ctx)
	stop := context.AfterFunc(p.cut, end)
	return bounded, func() {
		stop()
		end()
	}
}

// cutOffFailure returns the failure of a call that CutOff has ended.
func cutOffFailure(mayHaveRun bool) *failure {
	if mayHaveRun {
		return newFailure(code.CallStopped)
	}
	return newFailure(code.CallDraining)
}
