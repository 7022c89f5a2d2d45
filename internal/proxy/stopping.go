package proxy

import (
	"context"
	"errors"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
)

// StopPlan says which requests are accepted during a planned stop.
type StopPlan struct {
	// KnownAt is when callers know that the daemon stops. Until then, each of their requests
	// is accepted: its caller could not send it elsewhere.
	KnownAt time.Time
	// EndsAt is when requests that are still in flight are cut off. Of peers' requests, and of
	// callers' after KnownAt, only those whose deadline is before it are accepted.
	EndsAt time.Time
}

// accepts reports whether a caller's request that arrives at now is accepted. Without a plan,
// the daemon does not stop.
func (s *StopPlan) accepts(now, deadline time.Time) bool {
	return s == nil || now.Before(s.KnownAt) || s.acceptsFromPeer(deadline)
}

// acceptsFromPeer reports whether a peer's request is accepted. Unlike a caller, a peer sends it
// elsewhere at once, and the stop of this daemon must not break it off: the peer may be in the
// middle of a stop of its own.
func (s *StopPlan) acceptsFromPeer(deadline time.Time) bool {
	return s == nil || !deadline.After(s.EndsAt)
}

// acceptsNested reports whether a nested request that arrives at now is accepted. Its caller, the
// upstream beside this daemon, cannot send it elsewhere, but its parent is cut off at EndsAt as
// well: one that would end later only occupies another upstream. needs is the time that it is
// expected to take, 0 if that is unknown.
func (s *StopPlan) acceptsNested(now, deadline time.Time, needs time.Duration) bool {
	if needs == 0 {
		return s.accepts(now, deadline)
	}
	return s.allowsRun(now, deadline, needs)
}

// boundGoal returns the goal of an attempt. One that waits at another daemon must leave that in
// time to end before EndsAt, unless its deadline is before that.
func (s *StopPlan) boundGoal(goal, deadline time.Time, needs time.Duration) time.Time {
	if s == nil || !deadline.After(s.EndsAt) {
		return goal
	}
	if latest := s.EndsAt.Add(-needs); latest.Before(goal) {
		return latest
	}
	return goal
}

// allowsRun reports whether a request that was accepted is begun at now, after it may have waited.
// It needs the given time, unless its deadline is earlier. One that would be cut off is refused
// instead, while it can still run elsewhere.
func (s *StopPlan) allowsRun(now, deadline time.Time, needs time.Duration) bool {
	return s == nil || !deadline.After(s.EndsAt) || !now.Add(needs).After(s.EndsAt)
}

// BeginStop makes the answers to callers' requests close their connections, and refuses
// requests according to the plan.
func (p *Proxy) BeginStop(plan StopPlan) {
	p.stopPlan.Store(&plan)
	p.stopping.Store(true)
	p.quotas.beginStop()
	if p.quotas.limited() {
		// Other daemons become the owners of buckets.
		p.deps.BroadcastState()
	}
}

// stopAccepts reports whether a planned stop lets a caller's request in, now that it has arrived
// as far as it has.
func (p *Proxy) stopAccepts(c *call) bool {
	plan := p.stopPlan.Load()
	if plan != nil && c.nested {
		return plan.acceptsNested(time.Now(), c.deadline, p.expectedDuration(c))
	}
	return plan.accepts(time.Now(), c.deadline)
}

// durationMargin is the multiple of the longest recent duration of a route's requests that one
// more is expected to take at most.
const durationMargin = 1.5

// expectedDuration returns the time that a call is expected to take at most, with all its
// attempts, or 0 if that is unknown.
func (p *Proxy) expectedDuration(c *call) time.Duration {
	return time.Duration(durationMargin * float64(p.routes.maxDuration(c.route.Name, p.now())))
}

// stopAllowsRetry reports whether a planned stop leaves the time for a further attempt of the
// call. One that would be cut off is not begun.
func (p *Proxy) stopAllowsRetry(c *call) bool {
	plan := p.stopPlan.Load()
	return plan == nil || plan.allowsRun(time.Now(), c.deadline, p.expectedDuration(c))
}

// attemptGoal returns the goal of the next attempt of the call.
func (p *Proxy) attemptGoal(c *call) time.Time {
	plan := p.stopPlan.Load()
	if plan == nil {
		return c.goal
	}
	return plan.boundGoal(c.goal, c.deadline, p.expectedDuration(c))
}

// stopAcceptsFromPeer is stopAccepts for the request of a peer that ends at deadline.
func (p *Proxy) stopAcceptsFromPeer(deadline time.Time) bool {
	return p.stopPlan.Load().acceptsFromPeer(deadline)
}

// stopAllowsRun reports whether a planned stop leaves the time for the run of a request that ends at
// deadline, at the upstream beside this daemon.
func (p *Proxy) stopAllowsRun(request *hopv1.Request, deadline time.Time) bool {
	plan := p.stopPlan.Load()
	return plan == nil || plan.allowsRun(time.Now(), deadline, p.admissionController.Needs(request.Route))
}

// CloseEntry refuses new requests of callers. Requests in flight continue, and nested
// ones that they need are still served.
func (p *Proxy) CloseEntry() { p.entryClosed.Store(true) }

// CutOff ends all requests in flight, each with an answer.
func (p *Proxy) CutOff() { p.cutOff() }

// isCutOff reports whether CutOff was called.
func (p *Proxy) isCutOff() bool { return p.cut.Err() != nil }

// errCutOff is the cause of the end of a context that CutOff has ended.
var errCutOff = errors.New("a planned stop reached its time limit")

// untilCutOff returns a context that also ends with CutOff. The caller must call cancel.
func (p *Proxy) untilCutOff(ctx context.Context) (bounded context.Context, cancel func()) {
	bounded, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.cut, func() { end(errCutOff) })
	return bounded, func() {
		stop()
		end(nil)
	}
}

// cutOffFailure returns the failure of a call that CutOff has ended.
func cutOffFailure(mayHaveRun bool) *failure {
	if mayHaveRun {
		return newFailure(code.CallStopped)
	}
	return newFailure(code.CallDraining)
}
