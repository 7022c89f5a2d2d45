package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

const (
	// maxAnswer is the largest body of an answer in bytes.
	maxAnswer = 64 << 20
	// strayAnswers is how many answers to other requests are passed over
	// before a connection is given up.
	strayAnswers = 3
	// smallBody is the largest body in bytes that is written before the answer
	// is read.
	smallBody = 4 << 10
	// lateBody is how long the rest of a body may take once the answer is in.
	lateBody = 200 * time.Millisecond
)

// Errors of a request without a whole answer.
var (
	// ErrUnreachable means that the upstream took no connection; the request
	// has not run.
	ErrUnreachable = errors.New("upstream takes no connection")
	// ErrBroken means that the connection ended, or carried something else
	// than the answer; the request may have run.
	ErrBroken = errors.New("upstream gave no whole answer")
)

// Headers are the names of the headers that requests and answers carry.
type Headers struct {
	// RequestID comes back on the answer to a request.
	RequestID string
	// Signature is on each answer of the upstream's own making.
	Signature string
	// NotRun marks a refusal of a request that was not run.
	NotRun string
}

// Client sends requests to one upstream.
type Client struct {
	headers Headers
	pool    pool
}

// NewClient returns a client without an address.
func NewClient(headers Headers) *Client { return &Client{headers: headers} }

// SetAddress names the upstream's address, host:port.
func (c *Client) SetAddress(address string) { c.pool.setAddress(address) }

// Reset drops all idle connections, as after a restart of the upstream.
func (c *Client) Reset() { c.pool.reset() }

// Crashed tells whether the upstream takes no connection right now, as after a
// crash.
func (c *Client) Crashed(ctx context.Context) bool {
	connection, err := dial(ctx, c.pool.current())
	if err != nil {
		return ctx.Err() == nil
	}
	c.pool.put(connection, c.pool.current())
	return false
}

// Call is one request to the upstream.
type Call struct {
	*hopv1.Request
	// Extra are headers that are set besides those of the request.
	Extra []*hopv1.Header
}

// Do sends a request and reads its answer. The connection is closed when ctx
// ends, which makes most upstreams drop the request.
func (c *Client) Do(ctx context.Context, call Call) (*hopv1.Answer, error) {
	connection, err := c.pool.get(ctx, call.Idempotent)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	address := c.pool.current()
	stop := context.AfterFunc(ctx, connection.abort)
	answer, reusable, err := c.exchange(connection, call)
	if !stop() && ctx.Err() != nil && err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
	if err != nil || !reusable {
		connection.abort()
	} else {
		c.pool.put(connection, address)
	}
	return answer, err
}

func (p *pool) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// exchange writes the request and reads its answer; reusable tells whether the
// connection is clean afterwards.
func (c *Client) exchange(connection *conn, call Call) (answer *hopv1.Answer, reusable bool, err error) {
	request := c.request(call)
	written := make(chan error, 1)
	if len(call.Body) <= smallBody {
		written <- write(connection, request)
	} else {
		go func() { written <- write(connection, request) }()
	}
	answer, reusable, err = c.read(connection, request, call.Id)
	if err != nil {
		return nil, false, err
	}
	select {
	case writeErr := <-written:
		return answer, reusable && writeErr == nil, nil
	case <-time.After(lateBody):
		return answer, false, nil
	}
}

func write(connection *conn, request *http.Request) error {
	if err := request.Write(connection.writer); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// request builds the request as the caller sent it, with the extra headers in
// place of the caller's of the same name.
func (c *Client) request(call Call) *http.Request {
	header := make(http.Header, len(call.Headers)+len(call.Extra)+1)
	for _, h := range call.Headers {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	for _, h := range call.Extra {
		header[h.Name] = []string{h.Value}
	}
	if _, set := header["User-Agent"]; !set {
		// An empty value keeps the library from adding its own.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method:        call.Method,
		URL:           &url.URL{Opaque: call.Target},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Host:          call.Host,
		ContentLength: int64(len(call.Body)),
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request
}

// read reads answers until the one to the request with the id.
func (c *Client) read(connection *conn, request *http.Request, id string) (*hopv1.Answer, bool, error) {
	clean := true
	for range strayAnswers {
		response, err := readFinal(connection, request)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		body, err := readBody(response)
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if response.Header.Get(c.headers.RequestID) != id {
			clean = false
			continue
		}
		if err := c.check(response); err != nil {
			return nil, false, err
		}
		answer := &hopv1.Answer{
			Status:  uint32(response.StatusCode),
			Headers: EndToEnd(response.Header),
			Body:    body,
			NotRun:  response.Header.Get(c.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest,
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		connection.keep = keepAlive(response.Header.Get("Keep-Alive"))
		return answer, clean && framed && !response.Close && connection.quiet(), nil
	}
	return nil, false, fmt.Errorf("%w: only answers to other requests", ErrBroken)
}

// readFinal passes over informational answers.
func readFinal(connection *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(connection.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func readBody(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > maxAnswer {
		return nil, fmt.Errorf("body of %d bytes exceeds the limit", response.ContentLength)
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		if response.Request.Method == http.MethodHead {
			return nil, nil
		}
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		return nil, fmt.Errorf("body exceeds the limit of %d bytes", maxAnswer)
	}
	return body, err
}

// check refuses a success that the upstream has not signed, and a body in
// another encoding than asked for.
func (c *Client) check(response *http.Response) error {
	success := response.StatusCode < http.StatusMultipleChoices
	if success && response.Header.Get(c.headers.Signature) == "" {
		return fmt.Errorf("%w: success without signature", ErrBroken)
	}
	if encoding := response.Header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%w: body is encoded as %q", ErrBroken, encoding)
	}
	return nil
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEnd returns the headers that are passed on: all but those that concern
// one connection.
func EndToEnd(header http.Header) []*hopv1.Header {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	all := make([]*hopv1.Header, 0, len(header))
	for name, values := range header {
		if hopHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			all = append(all, &hopv1.Header{Name: name, Value: value})
		}
	}
	return all
}

// Milliseconds writes a time left for a header, at least 1.
func Milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}
