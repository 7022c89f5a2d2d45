package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/upstream"
)

const (
	// defaultMaxBody is the largest request body in bytes when the
	// configuration gives no limit.
	defaultMaxBody = 8 << 20
	// defaultGoal is the part of the deadline that answers have when a route
	// gives no goal.
	defaultGoalShare = 0.5
)

// call is one request of a caller on its way.
type call struct {
	id      string
	started time.Time
	// deadline is when the caller or the route gives up; goal is until when
	// the answer has its full value.
	deadline time.Time
	goal     time.Time
	// key recognises the request when its caller sends it again; first is when
	// it came first, and age how long ago that was.
	key     uint64
	first   time.Duration
	age     time.Duration
	route   *manifest.CompiledRoute
	version uint64
	service string
	method  string
	// idempotent requests may run more than once.
	idempotent bool
	nested     bool
	request    *hopv1.Request
}

// newCall reads a request whole. The failure is nil when it can be sent.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request) (*call, *failure) {
	c := &call{id: r.Header.Get(p.cfg.Headers.RequestID), started: time.Now(), method: r.Method}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	if p.closed.Load() {
		return c, fail(code.CallDraining)
	}
	table := p.table.Load()
	if table == nil {
		return c, fail(code.CallNotReady)
	}
	c.version = table.Version
	path := r.URL.Path
	route, ok := table.Match(manifest.Request{Method: r.Method, Host: r.Host, Path: path, Header: r.Header})
	if !ok {
		return c, fail(code.CallNoRoute)
	}
	c.route = route
	c.idempotent = route.IsIdempotent(r.Method)
	c.service = pickTarget(route)
	c.nested = p.fromUpstream(c.id)
	p.setTimes(c, r)
	body, f := readBody(w, r, c, table.Manifest().Limits.MaxBodyBytes)
	if f != nil {
		return c, f
	}
	c.request = &hopv1.Request{
		Id:            c.id,
		Method:        r.Method,
		Target:        r.RequestURI,
		Host:          r.Host,
		Headers:       p.forwarded(r.Header),
		Body:          body,
		Service:       c.service,
		CallerService: p.callerService(),
		Priority:      uint32(route.Priority),
		Idempotent:    c.idempotent,
		Nested:        c.nested,
		Route:         route.Name,
		AttemptMs:     attemptTime(route.Rule),
	}
	if p.quarantined(c.request) {
		return c, fail(code.CallQuarantined)
	}
	return c, nil
}

// setTimes works out until when the request makes sense.
func (p *Proxy) setTimes(c *call, r *http.Request) {
	bound := c.route.Deadline.Std()
	if ms, err := strconv.ParseFloat(r.Header.Get(p.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		bound = min(bound, time.Duration(ms*float64(time.Millisecond)))
	}
	c.key = refusedKey(r)
	c.first = p.refused.first(c.key, p.now())
	c.age = p.now() - c.first
	goal := c.route.Goal.Std()
	if goal <= 0 {
		goal = time.Duration(float64(bound) * defaultGoalShare)
	}
	c.deadline = c.started.Add(bound)
	c.goal = c.started.Add(min(goal-c.age, bound))
}

// attemptTime is the time of one attempt in milliseconds, or 0.
func attemptTime(rule *manifest.RetryRule) uint32 {
	if rule == nil {
		return 0
	}
	return uint32(rule.PerTryTimeout.Std().Milliseconds())
}

// fromUpstream tells whether a request that runs at the upstream beside the
// daemon sent this one and waits for it.
func (p *Proxy) fromUpstream(id string) bool {
	parent := p.cfg.ParentID(id)
	if parent == "" {
		return false
	}
	_, runs := p.atUpstream.Load(parent)
	return runs
}

// forwarded returns the caller's headers but for those that the data path sets
// itself.
func (p *Proxy) forwarded(header http.Header) []*hopv1.Header {
	all := upstream.EndToEnd(header)
	kept := all[:0]
	for _, h := range all {
		switch h.Name {
		case p.cfg.Headers.RequestID, p.cfg.Headers.Deadline, p.cfg.Headers.Upstream, p.cfg.Headers.CallerService:
			continue
		}
		kept = append(kept, h)
	}
	return kept
}

func readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) ([]byte, *failure) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if err := http.NewResponseController(w).SetReadDeadline(c.deadline); err != nil {
		return nil, fail(code.CallBadRequest)
	}
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fail(code.CallBodyTooLarge)
	case err != nil:
		return nil, fail(code.CallBadRequest)
	}
	return body, nil
}
