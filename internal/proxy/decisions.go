package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/routing"
)

// decision is one line to be logged; which fields count depends on the event.
type decision struct {
	event    event.Number
	warn     bool
	at       time.Time
	call     string
	route    string
	upstream string
	why      string
	code     code.Code
	status   int
	sends    int
	length   time.Duration
}

// decisionLog writes decision lines off the call path.
type decisionLog struct {
	ring    *ring[decision]
	dropped atomic.Uint64
	log     *zap.Logger
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// flushInterval is how often waiting lines are written.
const flushInterval = 20 * time.Millisecond

func newDecisionLog(size int, log *zap.Logger) *decisionLog {
	return &decisionLog{
		ring: newRing[decision](size),
		log:  log,
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
}

func (l *decisionLog) put(d decision) {
	d.at = time.Now()
	if !l.ring.put(d) {
		l.dropped.Add(1)
	}
}

// run writes lines until close.
func (l *decisionLog) run() {
	defer close(l.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.flush()
		case <-l.stop:
			l.flush()
			return
		}
	}
}

func (l *decisionLog) close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

func (l *decisionLog) flush() {
	for {
		d, ok := l.ring.take()
		if !ok {
			break
		}
		l.write(d)
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		event.CallLogDropped.Warn(l.log, zap.Uint64("lines", dropped))
	}
}

func (l *decisionLog) write(d decision) {
	fields := []zap.Field{zap.Time("at", d.at), zap.String("call", d.call)}
	fields = append(fields, textField("route", d.route)...)
	fields = append(fields, textField("upstream", d.upstream)...)
	fields = append(fields, textField("why", d.why)...)
	if d.code != code.OK {
		fields = append(fields, zap.Uint32("code", uint32(d.code)), zap.String("result", d.code.String()))
		fields = append(fields, textField("outcome", string(d.code.Info().Outcome))...)
	}
	if d.status != 0 {
		fields = append(fields, zap.Int("status", d.status))
	}
	if d.sends != 0 {
		fields = append(fields, zap.Int("sends", d.sends))
	}
	if d.length != 0 {
		fields = append(fields, zap.Duration("length", d.length))
	}
	if d.warn {
		d.event.Warn(l.log, fields...)
		return
	}
	d.event.Info(l.log, fields...)
}

func textField(key, value string) []zap.Field {
	if value == "" {
		return nil
	}
	return []zap.Field{zap.String(key, value)}
}

func (l *decisionLog) routed(c *call, attempt string, d routing.Decision) {
	l.put(decision{event: event.CallRouted, call: attempt, route: c.route.Name, upstream: d.Chosen.Instance, why: d.Reason.String()})
}

func (l *decisionLog) retried(c *call, attempt string, ground why) {
	l.put(decision{event: event.CallRetried, call: attempt, route: c.route.Name, why: string(ground)})
}

func (l *decisionLog) answered(c *call, sends int, result code.Code, status int) {
	l.put(decision{event: event.CallAnswered, call: c.id, route: c.routeName(), sends: sends, code: result, status: status})
}

func (l *decisionLog) aborted(c *call, err error) {
	l.put(decision{event: event.CallAnswerAborted, warn: true, call: c.id, route: c.routeName(), why: err.Error()})
}

func (l *decisionLog) admitted(x *execution, f *failure) {
	d := decision{event: event.CallAdmitted, call: x.attempt, route: x.route}
	if f != nil {
		d.code = f.code
	}
	l.put(d)
}

func (l *decisionLog) fenced(attempt string, notRun bool) {
	l.put(decision{event: event.CallFenced, call: attempt, why: fenceResult(notRun)})
}

func (l *decisionLog) ejected(service string, c *routing.Candidate, length time.Duration) {
	l.put(decision{event: event.UpstreamEjected, warn: true, route: service, upstream: c.Instance, length: length})
}

func (l *decisionLog) returned(c *routing.Candidate) {
	l.put(decision{event: event.UpstreamReturned, upstream: c.Instance})
}
