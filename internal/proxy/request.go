package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"godwitmount/internal/claim"
	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
)

// call is one caller's request at the entry daemon.
type call struct {
	id         string
	snapshot   *routing.Snapshot
	route      *manifest.CompiledRoute
	idempotent bool
	request    *http.Request
	body       *requestBody
	started    time.Time
	deadline   time.Time
	// key is the Idempotency-Key, or empty.
	key         string
	keyHash     claim.Hash
	fingerprint claim.Hash
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// newCall reads a caller's request; a failure is the answer to it.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, started time.Time) (*call, *failure) {
	c := &call{id: p.nextID(), request: r, started: started}
	if f := p.checkRequest(r); f != nil {
		return c, f
	}
	c.snapshot = p.deps.Snapshot()
	if c.snapshot == nil {
		return c, fail(code.CallNotReady)
	}
	route, ok := c.snapshot.Table.Match(manifest.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header})
	if !ok {
		return c, fail(code.CallNoRoute)
	}
	c.route = route
	c.idempotent = isIdempotent(route, r.Method)
	deadline, f := p.deadlineOf(r.Header, route, started)
	if f != nil {
		return c, f
	}
	c.deadline = deadline
	if f := c.readKey(r.Header); f != nil {
		return c, f
	}
	return c, p.readCallBody(w, c)
}

// checkRequest refuses what the data path does not carry.
func (p *Proxy) checkRequest(r *http.Request) *failure {
	if headerBytes(r.Header) > p.cfg.MaxHeaderBytes {
		return fail(code.CallHeadersTooLarge)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || asksUpgrade(r.Header) {
		return fail(code.CallBadRequest)
	}
	return nil
}

func isIdempotent(route *manifest.CompiledRoute, method string) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// deadlineOf is the caller's deadline, else the route's, else the default.
func (p *Proxy) deadlineOf(header http.Header, route *manifest.CompiledRoute, started time.Time) (time.Time, *failure) {
	allowed, f := readDeadline(header)
	if f != nil {
		return time.Time{}, f
	}
	if allowed == 0 {
		allowed = route.Deadline.Std()
	}
	if allowed == 0 {
		allowed = p.cfg.DefaultDeadline
	}
	return started.Add(min(allowed, p.cfg.MaxDeadline)), nil
}

// readDeadline reads the deadline header; 0 when there is none.
func readDeadline(header http.Header) (time.Duration, *failure) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, fail(code.CallBadRequest)
	}
	if ms == 0 {
		return 0, fail(code.CallDeadlineNotRun)
	}
	const most = int64(365 * 24 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, most)) * time.Millisecond, nil
}

func (c *call) readKey(header http.Header) *failure {
	values := header[HeaderIdempotencyKey]
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || !validKey(values[0]) {
		return fail(code.ClaimKeyInvalid)
	}
	c.key = values[0]
	c.keyHash = hashKey(c.route.Name, c.key)
	return nil
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// readCallBody holds the body's start and computes the fingerprint.
func (p *Proxy) readCallBody(w http.ResponseWriter, c *call) *failure {
	limit := p.cfg.BufferedBody
	maxBytes := p.cfg.MaxBody
	if c.route.Target.MaxBody > 0 {
		maxBytes = c.route.Target.MaxBody
	}
	if c.key != "" {
		limit = p.cfg.KeyedBody
		maxBytes = min(maxBytes, int64(limit))
	}
	body, err := readBodyInTime(w, c, int(min(int64(limit), maxBytes)), maxBytes)
	if err != nil {
		return failureOfBody(err)
	}
	if !body.whole() && (c.key != "" || int64(len(body.held)) > maxBytes) {
		return fail(code.CallBodyTooLarge)
	}
	c.body = body
	c.fingerprint = fingerprint(c.route.Name, c.request.Method, c.request.URL, body.held)
	return nil
}

// readBodyInTime does not wait beyond the deadline for a caller that sends its
// body slowly. After a failure the connection's deadline stays in the past, or
// the server would wait for the rest of the body before it answers.
func readBodyInTime(w http.ResponseWriter, c *call, limit int, maxBytes int64) (*requestBody, error) {
	if c.request.ContentLength == 0 {
		return readBody(c.request, limit, maxBytes)
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(c.deadline)
	body, err := readBody(c.request, limit, maxBytes)
	if err == nil && body.whole() {
		_ = connection.SetReadDeadline(time.Time{})
	}
	return body, err
}

func failureOfBody(err error) *failure {
	if errors.Is(err, errBodyTooLarge) {
		return fail(code.CallBodyTooLarge)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fail(code.CallDeadlineNotRun)
	}
	return fail(code.CallBadRequest)
}

func hashKey(route, key string) claim.Hash {
	h := sha256.New()
	writeField(h, route)
	writeField(h, key)
	return claim.Hash(h.Sum(nil))
}

// fingerprint is the same for repeats of a request; only the held start of a
// long body counts.
func fingerprint(route, method string, u *url.URL, body []byte) claim.Hash {
	h := sha256.New()
	writeField(h, route)
	writeField(h, method)
	writeField(h, u.EscapedPath())
	writeField(h, u.RawQuery)
	_, _ = h.Write(body)
	return claim.Hash(h.Sum(nil))
}

// writeField writes a field and an end mark that no field contains.
func writeField(w io.Writer, field string) {
	_, _ = io.WriteString(w, field)
	_, _ = w.Write([]byte{0})
}

// remaining is the time left until a deadline, in whole milliseconds.
func remaining(deadline time.Time) int64 {
	return int64(time.Until(deadline) / time.Millisecond)
}

// callerGone tells whether the caller went away.
func (c *call) callerGone() bool {
	return errors.Is(c.request.Context().Err(), context.Canceled)
}
