package proxy

import (
	"context"
	"runtime/debug"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
)

// hedge is a second series of attempts of a request that may run twice, beside its first
// attempt, whose peer has fallen silent. Most silent peers are only slow: their run is not
// given up before another upstream has answered.
type hedge struct {
	// forwarder makes the attempts, with a copy of the call.
	forwarder *forwarder
	// began is the call's progress at the beginning, with the first attempt.
	began progress
	// cancel ends the attempts.
	cancel context.CancelFunc
	// answered is closed when an upstream has answered, done when the attempts have ended
	// with frame and result.
	answered, done chan struct{}
	frame          *hopv1.Frame
	result         result
}

// Values of the label outcome of hedged requests.
const (
	// hedgeAnswered requests were answered by another upstream than the first one.
	hedgeAnswered = "answered-elsewhere"
	// hedgeNeedless ones were answered by the first upstream after all.
	hedgeNeedless = "answered-first"
	// hedgeFailed ones were answered by neither.
	hedgeFailed = "failed"
	// notHedged ones only waited for the silent peer.
	notHedged = "waited"
)

// newHedgeCounter returns the counter of requests in flight at a peer that fell silent.
func newHedgeCounter() *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "godwitmount_hedged_requests_total", Help: "Requests in flight at a peer that fell silent, by what became of them.",
	}, []string{"outcome"})
	for _, outcome := range []string{hedgeAnswered, hedgeNeedless, hedgeFailed, notHedged} {
		counter.WithLabelValues(outcome)
	}
	return counter
}

// mayHedge returns "" if the request is to be sent elsewhere while the peer that may run it
// is silent, or why not. It takes the retry from the budget.
func (f *forwarder) mayHedge(began progress) (refusal string) {
	switch {
	case decide(unknown, began, f.call.route.Rule) != retryWithBudget:
		return "no further attempt"
	case !f.proxy.stopAllowsRetry(f.call):
		return "planned stop"
	case !f.hasPlacement():
		return "no other upstream"
	case !f.takeRetry():
		return "retry budget"
	default:
		return ""
	}
}

// startHedge sends the request to another upstream while the peer that may run it is silent.
// It returns nil if the retry rule or the budget do not allow it, or no other upstream is
// available: then the peer's answer is awaited. Giving the request up would be no better for
// the caller.
func (f *forwarder) startHedge(ctx context.Context) *hedge {
	p, began := f.proxy, f.progress
	began.deliveries++
	refusal := f.mayHedge(began)
	p.deps.Log.Request(event.CallHedged, asynclog.Uncertain, zap.String("id", f.call.id), zap.String("silent", f.lastInstance),
		zap.Bool("hedged", refusal == ""), zap.String("refused_by", refusal))
	if refusal != "" {
		p.metrics.hedges.WithLabelValues(notHedged).Inc()
		return nil
	}
	call := *f.call
	call.request = proto.CloneOf(f.call.request)
	bounded, cancel := context.WithCancel(ctx)
	h := &hedge{
		forwarder: &forwarder{
			proxy: p, call: &call, progress: began, tried: slices.Clone(f.tried), mayHaveRun: true,
			rollout: rolloutAttempt{triedNew: f.rollout.triedNew},
		},
		began: began, cancel: cancel, answered: make(chan struct{}), done: make(chan struct{}),
	}
	go h.run(bounded)
	return h
}

// run makes the attempts. If that panics, the request may have run: one request must not end
// the process and with it all others.
func (h *hedge) run(ctx context.Context) {
	defer close(h.done)
	defer func() {
		if cause := recover(); cause != nil {
			h.forwarder.proxy.deps.Log.Warn(event.RequestPanicked, zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			h.frame, h.result = failureFrame(code.CallAnswerBroken, false, 0, nil), unknown
		}
	}()
	h.frame, h.result = h.forwarder.attempts(ctx)
	if h.result == answered {
		close(h.answered)
	}
}

// join returns the outcome of the first attempt and of the hedge beside it, given the reply
// to the first. An upstream's answer ends the other one, also a failure that the route does not
// retry; otherwise it waits for both.
func (f *forwarder) join(h *hedge, reply *hopv1.Frame) (*hopv1.Frame, result) {
	defer h.cancel()
	frame, r := f.recordOutcome(reply)
	if r == answered || r == serverError && !f.call.route.Rule.RetriesOn(manifest.RetryStatus5xx) {
		f.recordHedge(hedgeNeedless)
		f.retryTaken = h.endedUnsent()
		return frame, r
	}
	<-h.done
	f.absorb(h)
	if h.result != answered {
		f.recordHedge(hedgeFailed)
		return frame, r
	}
	f.recordHedge(hedgeAnswered)
	f.remember(frame)
	f.lastInstance = h.forwarder.lastInstance
	return h.frame, h.result
}

// endedUnsent reports whether the attempts have ended and none has reached an upstream.
func (h *hedge) endedUnsent() bool {
	select {
	case <-h.done:
		return h.forwarder.deliveries == h.began.deliveries
	default:
		return false
	}
}

func (f *forwarder) recordHedge(outcome string) {
	f.proxy.metrics.hedges.WithLabelValues(outcome).Inc()
}

// absorb adds what a hedge that has ended knows of the call. A retry that reached no upstream
// is left for the next one.
func (f *forwarder) absorb(h *hedge) {
	other := h.forwarder
	f.retryTaken = h.endedUnsent()
	f.deliveries += other.deliveries - h.began.deliveries
	f.offers += other.offers - h.began.offers
	f.crashes += other.crashes - h.began.crashes
	f.tried = other.tried
	f.rollout.triedNew = f.rollout.triedNew || other.rollout.triedNew
	f.mayHaveRun = f.mayHaveRun || other.deliveries > h.began.deliveries
	f.transferLate = f.transferLate || other.transferLate
	if f.retryAfter == 0 || other.retryAfter > 0 && other.retryAfter < f.retryAfter {
		f.retryAfter = other.retryAfter
	}
	if other.fallback != nil {
		f.fallback = other.fallback
	}
	if other.uncertain != nil {
		f.uncertain = other.uncertain
	}
	if h.frame != nil && h.result != answered {
		f.remember(h.frame)
	}
}
