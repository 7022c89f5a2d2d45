package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/freshness"
	"godwitmount/internal/manifest"
	"godwitmount/internal/pipeline"
	"godwitmount/internal/quota"
	"godwitmount/internal/upstream"
)

const (
	// defaultMaxBodyBytes is the largest request body when the configuration
	// sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// maxCallerTimeoutMs bounds the time limit that a caller names, in milliseconds.
	maxCallerTimeoutMs = 3600 * 1000
	// defaultGoalShare is the latency goal, as a share of the time to the
	// deadline, when the route sets no goal.
	defaultGoalShare = 0.5
	// unreadBodyTime is how long the answer to a request that is not served waits for the rest
	// of its body.
	unreadBodyTime = 200 * time.Millisecond
	// noRouteRetryTime is the time in which the caller of a request without a route, and
	// so without a deadline, is expected to send it again.
	noRouteRetryTime = time.Second
)

// call is one request of a caller while the entry daemon handles it.
type call struct {
	id      string
	started time.Time
	// deadline is when the shorter of the caller's and the route's time limits
	// ends. goal is the latency goal: an answer by then has its full value.
	deadline time.Time
	goal     time.Time
	// callerDeadline is when the caller's own time limit ends; zero if it named none.
	callerDeadline time.Time
	// key identifies the request when its caller sends it again. firstSeen is
	// when it was first received, since the proxy's epoch, and age how long ago
	// that was when this call was received.
	key       uint64
	firstSeen time.Duration
	age       time.Duration
	route     *manifest.CompiledRoute
	// version is the version of the configuration that the route is from.
	version uint64
	service string
	method  string
	// idempotent requests may run more than once.
	idempotent bool
	// nested marks a request that the upstream beside this daemon sent while it
	// ran another one, parent, which waits for it. Otherwise parent is nil.
	nested bool
	parent *runningRequest
	// customer is nil for nested requests, on public routes without a known key, and
	// where the configuration has no customers.
	customer *manifest.Customer
	// token is the right to run the request, if the customer has a limit.
	token   quota.Token
	request *hopv1.Request
	// bodyRead is set once the body has been read to its end.
	bodyRead bool
}

// isRetry reports whether the call was made by a run that is a retry.
func (c *call) isRetry() bool { return c.parent != nil && c.parent.retry }

// newCall reads a request with its body and finds its route. The failure is nil
// if the call can be forwarded; the call is always set, but incomplete on
// failure.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request) (*call, *failure) {
	c := &call{id: r.Header.Get(p.cfg.Headers.RequestID), started: time.Now(), method: r.Method}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	if !utf8.ValidString(c.id) {
		// It would have to be changed on its way to another daemon.
		return c, newFailure(code.CallBadRequest)
	}
	c.parent = p.running.get(p.cfg.ParentID(c.id))
	c.nested = c.parent != nil
	// A request that runs here needs its nested ones to end.
	if p.entryClosed.Load() && !c.nested {
		return c, newFailure(code.CallDraining)
	}
	table, verdict, f := p.findRoute(c, manifest.Request{Method: r.Method, Host: r.Host, Path: manifest.PathOf(r.RequestURI, r.URL), Header: r.Header})
	if f != nil {
		return c, f
	}
	p.setTimes(c, r)
	if !p.stopAccepts(c) {
		return c, newFailure(code.CallDraining)
	}
	if f = p.identifyCustomer(c, r.Header, table, verdict); f != nil {
		return c, f
	}
	// Before the body is read: a customer that sends too much must not fill the memory.
	if c.token, f = p.takeToken(r.Context(), c); f != nil {
		return c, f
	}
	route := c.route
	c.idempotent = route.IsIdempotent(r.Method)
	c.service = pickTarget(route)
	body, f := p.readBody(w, r, c, maxBodyBytes(table))
	if f != nil {
		return c, f
	}
	if !p.stopAccepts(c) {
		// The body took so long that the request would now be cut off.
		return c, newFailure(code.CallDraining)
	}
	c.request = &hopv1.Request{
		Id:            c.id,
		Method:        r.Method,
		Target:        []byte(r.RequestURI),
		Host:          r.Host,
		Headers:       p.forwardedHeaders(r.Header, table.HasCustomers()),
		Body:          body,
		Service:       c.service,
		CallerService: p.callerService(),
		Priority:      uint32(route.Priority),
		Idempotent:    c.idempotent,
		Nested:        c.nested,
		Route:         route.Name,
		AttemptMs:     attemptMilliseconds(route.Rule),
	}
	if c.customer != nil {
		c.request.Customer = c.customer.Name
		c.request.CustomerPriority = uint32(c.customer.Priority)
	}
	if p.isQuarantined(c.request) {
		return c, newFailure(code.CallQuarantined)
	}
	return c, nil
}

// findRoute sets the call's route, by the configuration in force. It returns that
// configuration, which is nil if there is none, and whether it is known to be recent.
func (p *Proxy) findRoute(c *call, request manifest.Request) (*Table, freshness.Verdict, *failure) {
	verdict := p.deps.Freshness.Verdict()
	table := p.table.Load()
	if table == nil {
		return nil, verdict, newFailure(code.CallNotReady)
	}
	c.version = table.Version
	route, ok := table.Match(request)
	if !ok {
		return table, verdict, newFailure(code.CallNoRoute)
	}
	c.route = route
	return table, verdict, nil
}

// setTimes sets the call's deadline and goal. The deadline is the earlier of the
// caller's and the route's. The goal counts from when the request was first
// received, so a retry by the caller does not extend it.
func (p *Proxy) setTimes(c *call, r *http.Request) {
	timeout := c.route.Deadline.Std()
	if ms, err := strconv.ParseFloat(r.Header.Get(p.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		// The comparison comes before the conversion, which a large number overflows.
		callerTimeout := time.Duration(min(ms, maxCallerTimeoutMs) * float64(time.Millisecond))
		c.callerDeadline = c.started.Add(callerTimeout)
		timeout = min(timeout, callerTimeout)
	}
	c.key = requestKey(r)
	c.firstSeen = p.recentRefusals.firstSeen(c.key, p.now())
	c.age = p.now() - c.firstSeen
	c.deadline = c.started.Add(timeout)
	c.goal = c.started.Add(min(goalOf(c.route, timeout)-c.age, timeout))
}

// goalOf returns the time until the goal of a new request on the route, given the time to
// its deadline.
func goalOf(route *manifest.CompiledRoute, timeout time.Duration) time.Duration {
	if goal := route.Goal.Std(); goal > 0 {
		return goal
	}
	return time.Duration(float64(timeout) * defaultGoalShare)
}

// timeToRetry returns the time left in which the caller could send the request again.
func (c *call) timeToRetry() time.Duration {
	if c.deadline.IsZero() {
		return noRouteRetryTime
	}
	if left := time.Until(c.deadline); left > 0 {
		return left
	}
	if c.callerDeadline.IsZero() {
		return c.route.Deadline.Std()
	}
	return max(time.Until(c.callerDeadline), 0)
}

// attemptMilliseconds returns the time limit of one attempt, or 0 for none.
func attemptMilliseconds(rule *manifest.RetryRule) uint32 {
	if rule == nil {
		return 0
	}
	return uint32(rule.PerTryTimeout.Std().Milliseconds())
}

// forwardedHeaders returns the caller's end-to-end headers without those that
// the data path sets itself, and without Accept-Encoding: an answer must be the
// upstream's own bytes. In a mesh with customers, the customer's key and name are
// also left out.
func (p *Proxy) forwardedHeaders(header http.Header, customers bool) []*hopv1.Header {
	all := upstream.EndToEnd(header)
	kept := all[:0]
	for _, h := range all {
		switch h.Name {
		case p.cfg.Headers.RequestID, p.cfg.Headers.Deadline, p.cfg.Headers.Upstream, p.cfg.Headers.CallerService, "Accept-Encoding":
			continue
		case p.cfg.Headers.CustomerKey, p.cfg.Headers.Customer:
			if customers {
				continue
			}
		}
		kept = append(kept, h)
	}
	return kept
}

// maxBodyBytes returns the largest size of a request's body.
func maxBodyBytes(table *Table) int64 {
	if limit := table.Manifest().Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// countingReader passes the number of bytes of each read to count.
type countingReader struct {
	io.Reader
	count func(bytes int)
}

// Read implements io.Reader.
func (r countingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	r.count(n)
	return n, err
}

// readBody reads the request's body, which must be complete by the call's
// deadline. Bodies count as received on the machine's network link as they arrive,
// except those of nested requests: they come from the upstream on the same machine.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) ([]byte, *failure) {
	if !hasBody(r) {
		return nil, nil
	}
	outlastsBody, err := setBodyDeadline(w, r, c.deadline)
	if err != nil {
		return nil, newFailure(code.CallBadRequest)
	}
	var limited io.Reader = http.MaxBytesReader(w, r.Body, limit)
	if !c.nested {
		limited = countingReader{limited, p.deps.Peers.recordReceived}
	}
	body, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, newFailure(code.CallBodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newFailure(code.CallDeadlineNotRun)
	case err != nil:
		return nil, newFailure(code.CallBadRequest)
	}
	c.bodyRead = true
	if outlastsBody {
		// If this fails, the connection has ended.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	if !time.Now().Before(c.deadline) {
		// If the deadline outlasts the body, it may have passed since, and no later request
		// may be served on the connection. The answer to this one ends it.
		return nil, newFailure(code.CallDeadlineNotRun)
	}
	return body, nil
}

// setBodyDeadline sets the time by which the request's body must have arrived, and reports
// whether that deadline outlasts the body. Package net/http watches the connection from the end
// of the body on; if a deadline passes then, it takes that for the caller's leaving and cancels
// the context of the connection, from which those of all later requests on it derive.
func setBodyDeadline(w http.ResponseWriter, r *http.Request, t time.Time) (outlastsBody bool, err error) {
	if pipeline.SetBodyDeadline(r.Context(), t) {
		return false, nil
	}
	return true, http.NewResponseController(w).SetReadDeadline(t)
}

// hasBody reports whether the request has a body, which may not have arrived yet.
func hasBody(r *http.Request) bool { return r.Body != nil && r.ContentLength != 0 }

// limitUnreadBody bounds the time for which the answer to a call waits for the rest of the
// request's body: package net/http reads that first, to keep the connection. Without the
// rest, or if the limit would outlast the body, the connection is closed after the answer.
func (c *call) limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if c.bodyRead || !hasBody(r) {
		return
	}
	end := time.Now().Add(unreadBodyTime)
	if !c.deadline.IsZero() && c.deadline.Before(end) {
		end = c.deadline
	}
	// If this fails, the connection has ended.
	if outlastsBody, _ := setBodyDeadline(w, r, end); outlastsBody {
		w.Header().Set("Connection", "close")
	}
}
