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
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/hop"
	"godwitmount/internal/routing"
)

// serve takes one request of a caller.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	p.entering.Add(1)
	defer p.entering.Add(-1)
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, f := p.newCall(w, r)
	if f != nil {
		p.answerFailure(w, c, f, nil)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	flight := &flight{proxy: p, call: c}
	answer, f := flight.fly(ctx)
	if f != nil {
		p.answerFailure(w, c, f, flight)
		return
	}
	p.answerUpstream(w, c, answer, flight)
}

// flight is the way of one request through its attempts.
type flight struct {
	proxy *Proxy
	call  *call
	progress
	tried []string
	// kept is the answer to give when no better one comes.
	kept *hopv1.Answer
	// ran is the failure of an attempt that may have run, and last the last
	// failure of any.
	ran  *failure
	last *failure
	// retryAfter is the soonest time at which a daemon expected to take the
	// request.
	retryAfter time.Duration
	where      string
}

// fly sends the request until it has an answer or must not be sent again.
func (f *flight) fly(ctx context.Context) (*hopv1.Answer, *failure) {
	f.proxy.earn(f.call)
	for {
		frame, r := f.attempt(ctx)
		if ctx.Err() != nil && r != answered {
			return nil, f.timedOut(ctx)
		}
		step := decide(r, f.progress, f.call.route.Rule)
		if step == repeat && !f.proxy.spend(f.call) {
			step = finish
		}
		if step == finish || frame == nil {
			return f.finish(frame)
		}
		f.keep(frame)
		f.proxy.deps.Log.Call(event.CallRetried, true, zap.String("id", f.call.id), zap.String("at", f.where),
			zap.Int("arrivals", f.arrivals), zap.Int("offers", f.offers), zap.Stringer("result", r))
	}
}

// keep remembers what the caller gets if nothing better comes.
func (f *flight) keep(frame *hopv1.Frame) {
	if answer := frame.GetAnswer(); answer != nil && !answer.NotRun {
		f.kept = answer
		return
	}
	f.last = f.failureOf(frame)
	if !f.last.notRun {
		f.ran = f.last
	}
}

// finish tells the caller's outcome. An answer of an upstream goes before a
// failure; one that may have run is never called not run.
func (f *flight) finish(frame *hopv1.Frame) (*hopv1.Answer, *failure) {
	if answer := frame.GetAnswer(); answer != nil {
		if f.kept != nil && answer.Status >= http.StatusInternalServerError {
			return f.kept, nil
		}
		if !answer.NotRun || f.ran == nil {
			return answer, nil
		}
	}
	if f.kept != nil {
		return f.kept, nil
	}
	if f.ran != nil {
		return nil, f.ran
	}
	if frame == nil && f.last != nil {
		return nil, f.last
	}
	return nil, f.failureOf(frame)
}

func (f *flight) failureOf(frame *hopv1.Frame) *failure {
	if frame.GetAnswer() != nil {
		return fail(code.CallUpstreamRefused)
	}
	failed := frame.GetFailure()
	if failed == nil {
		return fail(code.CallNoUpstream)
	}
	return &failure{code: code.Code(failed.Code), notRun: failed.NotRun, retryAfter: f.retryAfter}
}

// timedOut is the failure of a request whose time is up or whose caller left.
func (f *flight) timedOut(ctx context.Context) *failure {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fail(code.CallCancelled)
	}
	if f.arrivals > 0 {
		return fail(code.CallDeadlineUnknown)
	}
	return fail(code.CallDeadlineNotRun)
}

// attempt chooses an upstream and sends it the request. The frame is nil when
// there is no upstream left.
func (f *flight) attempt(ctx context.Context) (*hopv1.Frame, result) {
	p, c := f.proxy, f.call
	candidates := p.candidates(c.service)
	chosen := routing.Choose(candidates, routing.Ask{
		Bytes: p.size(c.route.Name),
		Tried: f.tried,
		Draw:  rand.Float64,
	})
	if chosen < 0 {
		return nil, notSent
	}
	candidate := &candidates[chosen]
	f.where = candidate.Instance
	f.tried = append(f.tried, candidate.Instance)
	p.deps.Log.Call(event.CallRouted, false, zap.String("id", c.id), zap.String("to", candidate.Instance),
		zap.Float64("load", candidate.Load), zap.Duration("hold", candidate.Hold), zap.Bool("near", candidate.Near),
		zap.Int("candidates", len(candidates)))
	c.request.RemainingMs = wireTime(time.Until(c.deadline))
	c.request.GoalMs = wireTime(time.Until(c.goal))
	c.request.Patient = c.request.GoalMs == 0
	c.request.Visiting = !candidate.Near && routing.HasNear(candidates)
	if candidate.Self {
		return f.observe(p.Execute(ctx, c.request))
	}
	return f.observe(f.sendTo(ctx, candidate.Instance))
}

func wireTime(left time.Duration) uint32 { return uint32(max(left.Milliseconds(), 0)) }

// sendTo sends the request to a peer; a lost connection becomes a failure.
func (f *flight) sendTo(ctx context.Context, instance string) *hopv1.Frame {
	peers := f.proxy.deps.Peers
	p := peers.get(instance)
	if p == nil {
		return failureFrame(code.CallConnectRefused, true, 0, nil)
	}
	frame, err := p.send(ctx, f.call.request)
	switch {
	case err == nil:
		return frame
	case errors.Is(err, hop.ErrNotSent):
		p.avoid(peers.now())
		return failureFrame(code.CallConnectRefused, true, 0, nil)
	case errors.Is(err, hop.ErrLost):
		p.avoid(peers.now())
		return failureFrame(code.CallPeerLost, false, 0, nil)
	default:
		return failureFrame(code.CallDeadlineUnknown, false, 0, nil)
	}
}

// observe counts an attempt's outcome.
func (f *flight) observe(frame *hopv1.Frame) (*hopv1.Frame, result) {
	if answer := frame.GetAnswer(); answer != nil {
		f.arrivals++
		return frame, resultOf(answer.Status, answer.NotRun)
	}
	failed := frame.GetFailure()
	if failed == nil {
		return failureFrame(code.CallAnswerBroken, false, 0, nil), unknown
	}
	if retry := milliseconds(failed.RetryMs); retry > 0 && (f.retryAfter == 0 || retry < f.retryAfter) {
		f.retryAfter = retry
	}
	if failed.NotRun {
		f.offers++
		return frame, notSent
	}
	f.arrivals++
	switch code.Code(failed.Code) {
	case code.CallUpstreamLost:
		f.crashes++
	case code.CallDeadlineUnknown:
		return frame, timedOut
	}
	return frame, unknown
}

// candidates lists the upstreams of a service, the own one included.
func (p *Proxy) candidates(service string) []routing.Candidate {
	all := make([]routing.Candidate, 0, 16)
	if u := p.upstream.Load(); u.Service == service {
		load := p.gate.Load()
		all = append(all, routing.Candidate{
			Instance: p.cfg.Instance,
			Self:     true,
			Near:     true,
			Takes:    load.Open,
			Load:     float64(load.Running + load.Waiting),
			Slots:    p.toldSlots(load.Slots),
			Hold:     load.Hold,
		})
	}
	all = p.deps.Peers.candidates(all, service)
	routing.Estimate(all)
	return all
}

// answerFailure tells the caller what became of its request.
func (p *Proxy) answerFailure(w http.ResponseWriter, c *call, failed *failure, f *flight) {
	left := time.Until(c.deadline)
	if c.deadline.IsZero() {
		left = time.Second
	}
	pause := retryAfter(failed.retryAfter, time.Until(c.goal), left, rand.Float64())
	if failed.notRun && failed.code.Info().Retry {
		p.refused.note(c.key, c.first, p.now())
	}
	p.metrics.answered(c, failed.code.String())
	fields := []zap.Field{zap.String("id", c.id), zap.String("result", failed.code.String()),
		zap.Bool("not_run", failed.notRun), zap.Duration("took", time.Since(c.started)),
		zap.Uint64("config", c.version), zap.Duration("retry_after", pause)}
	p.deps.Log.Call(event.CallAnswered, true, append(fields, f.fields()...)...)
	w.Header().Set(p.cfg.Headers.RequestID, c.id)
	failed.write(w, pause)
}

// fields describe the flight for the log; a nil flight has none.
func (f *flight) fields() []zap.Field {
	if f == nil {
		return nil
	}
	return []zap.Field{zap.String("route", f.call.route.Name), zap.Duration("age", f.call.age), zap.Bool("nested", f.call.nested), zap.Duration("goal", f.call.goal.Sub(f.call.started)), zap.String("at", f.where),
		zap.Int("arrivals", f.arrivals), zap.Int("offers", f.offers), zap.Strings("tried", f.tried)}
}

// answerUpstream passes an upstream's answer on.
func (p *Proxy) answerUpstream(w http.ResponseWriter, c *call, answer *hopv1.Answer, f *flight) {
	header := w.Header()
	for _, h := range answer.Headers {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	// The library would add a type of its own guess.
	if _, set := header["Content-Type"]; !set {
		header["Content-Type"] = nil
	}
	if c.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	p.metrics.answered(c, strconv.Itoa(int(answer.Status)))
	p.deps.Log.Call(event.CallAnswered, answer.Status >= http.StatusInternalServerError,
		slices.Concat([]zap.Field{zap.String("id", c.id), zap.Uint32("status", answer.Status),
			zap.Duration("took", time.Since(c.started)), zap.Uint64("config", c.version)}, f.fields())...)
	p.noteSize(c.route.Name, len(answer.Body)+len(c.request.Body))
	w.WriteHeader(int(answer.Status))
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write(answer.Body)
}
