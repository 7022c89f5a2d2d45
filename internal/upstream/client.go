package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

const (
	// maxResponses is how many responses are read from a connection in search
	// of the one with the request's id, before the connection is closed.
	maxResponses = 3
	// maxInlineBody is the largest request body in bytes that is written before
	// the response is read. A larger one is written concurrently.
	maxInlineBody = 4 << 10
	// bodyWriteGrace is how long writing the rest of a request body may take
	// after the response has been read. After that, the connection is closed.
	bodyWriteGrace = 200 * time.Millisecond
)

// Errors of a request without a valid response.
var (
	// ErrUnreachable means that the upstream accepted no connection; the request
	// has not run.
	ErrUnreachable = errors.New("upstream does not accept connections")
	// ErrNotSent means that the request's context ended before the request was sent, or that
	// it is none that can be sent.
	ErrNotSent = errors.New("request was not sent to the upstream")
	// ErrInvalidResponse means that the connection or the request's context
	// ended, or that something other than a complete, valid response arrived;
	// the request may have run.
	ErrInvalidResponse = errors.New("upstream sent no valid response")
)

// Headers holds the names of the headers on requests and responses.
type Headers struct {
	// RequestID carries the request's id; the upstream returns it on the
	// response.
	RequestID string
	// Signature is present on each response that the upstream itself produced.
	Signature string
	// NotRun marks the refusal of a request that was not run.
	NotRun string
}

// Client sends requests to one upstream. Its methods are safe for concurrent
// use.
type Client struct {
	headers Headers
	pool    pool
	// memory is that of the bodies that are being read.
	memory bodyMemory
}

// NewClient returns a client without an address; see SetAddress. BodyMemory bounds the memory of all
// response bodies that are being read, in bytes.
func NewClient(headers Headers, bodyMemory int64) *Client {
	c := &Client{headers: headers}
	c.memory.limit = bodyMemory
	return c
}

// SetAddress sets the upstream's address, host:port.
func (c *Client) SetAddress(address string) { c.pool.setAddress(address) }

// CloseIdleConnections closes all idle connections, for use after a restart of
// the upstream.
func (c *Client) CloseIdleConnections() { c.pool.closeIdle() }

// CloseUnusedSince closes the idle connections that were last used before t. It is for
// use when a request that was sent at t got no answer for long: its connection may have
// fallen silent, and with it all that have carried nothing since.
func (c *Client) CloseUnusedSince(t time.Time) { c.pool.closeUnusedSince(t) }

// Unreachable reports whether the upstream does not accept a new connection
// within dialTimeout, as after a crash. It returns false if ctx ends before that
// is known.
func (c *Client) Unreachable(ctx context.Context) bool {
	connection, err := dial(ctx, c.pool.currentAddress())
	if err != nil {
		return ctx.Err() == nil
	}
	c.pool.put(connection)
	return false
}

// Call is one request to the upstream. All header names must be canonical.
type Call struct {
	*hopv1.Request
	// ExtraHeaders holds headers to set; each replaces the request's headers of
	// the same name.
	ExtraHeaders []*hopv1.Header
}

// Do sends a request and reads its response. Errors wrap ErrUnreachable, ErrNotSent or
// ErrInvalidResponse. When ctx ends, the connection is reset, upon which most
// upstreams abandon the request.
func (c *Client) Do(ctx context.Context, call Call) (*hopv1.Answer, error) {
	if strings.ContainsFunc(call.Method+string(call.Target)+call.Host, endsWord) {
		return nil, fmt.Errorf("%w: a space or a control character in its method, target or host", ErrNotSent)
	}
	connection, err := c.pool.get(ctx, call.Id, call.Idempotent)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if ctx.Err() != nil {
		c.pool.put(connection)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	stop := context.AfterFunc(ctx, connection.abort)
	answer, reusable, err := c.exchange(connection, call)
	// If the context has ended, abort runs, or will in a moment.
	aborted := !stop()
	if aborted && err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, ctx.Err())
	}
	if err != nil || !reusable || aborted {
		connection.abort()
	} else {
		c.pool.put(connection)
	}
	return answer, err
}

func (p *pool) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// exchange writes the request and reads its response. Reusable reports whether
// the connection can carry another request. A response whose body ends with the connection counts
// only if the request was written to its end before: the system reports a reset once, and if the
// writer gets it, the body seems to end as it should.
func (c *Client) exchange(connection *conn, call Call) (answer *hopv1.Answer, reusable bool, err error) {
	header := requestHeader(call)
	written := make(chan error, 1)
	if len(call.Body) <= maxInlineBody {
		written <- writeRequest(connection.writer, call, header)
	} else {
		go func() { written <- writeRequest(connection.writer, call, header) }()
	}
	answer, end, err := c.readAnswer(connection, &http.Request{Method: call.Method}, call.Id)
	if err != nil {
		return nil, false, err
	}
	if end == endsWithConnection {
		if err := <-written; err != nil {
			return nil, false, fmt.Errorf("%w: it ends with its connection, on which the request was not written to its end: %w", ErrInvalidResponse, err)
		}
		return answer, false, nil
	}
	select {
	case writeErr := <-written:
		return answer, end == leavesConnection && writeErr == nil, nil
	case <-time.After(bodyWriteGrace):
		return answer, false, nil
	}
}

// answerEnd says what the end of an answer means for its connection.
type answerEnd uint8

// Ends of an answer.
const (
	// endsConnection: the answer is complete, and the connection cannot be used again.
	endsConnection answerEnd = iota
	// leavesConnection: only this answer arrived on the connection, and it stays open.
	leavesConnection
	// endsWithConnection: the answer is complete if the connection was not reset.
	endsWithConnection
)

// requestHeader returns the caller's headers, of which each extra header replaces those of
// the same name, and that of the body's length.
func requestHeader(call Call) http.Header {
	header := make(http.Header, len(call.Headers)+len(call.ExtraHeaders)+1)
	for _, h := range call.Headers {
		header[h.Name] = append(header[h.Name], string(h.Value))
	}
	for _, h := range call.ExtraHeaders {
		header[h.Name] = []string{string(h.Value)}
	}
	if len(call.Body) > 0 || takesBody[call.Method] {
		header["Content-Length"] = []string{strconv.Itoa(len(call.Body))}
	}
	return header
}

// endsWord reports whether a character cannot be part of a word of a request's first lines.
func endsWord(c rune) bool { return c <= ' ' || c == 0x7f }

// takesBody holds the methods whose requests name the length of an empty body.
var takesBody = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

// writeRequest writes a request with the caller's target as it is. Package net/http would
// take one that begins with two slashes for an address.
func writeRequest(writer *bufio.Writer, call Call, header http.Header) error {
	// A bufio.Writer keeps its first error, which Flush returns.
	_, _ = fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	_ = header.Write(writer)
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(call.Body)
	return writer.Flush()
}

// readAnswer reads responses, at most maxResponses, until the one that carries
// id. Status 421 (Misdirected Request) counts as not run even without the NotRun
// header.
func (c *Client) readAnswer(connection *conn, request *http.Request, id string) (*hopv1.Answer, answerEnd, error) {
	clean := true
	for range maxResponses {
		response, err := readFinalResponse(connection, request)
		if err != nil {
			return nil, endsConnection, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		body, err := c.readBody(response)
		if err != nil {
			return nil, endsConnection, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		if response.Header.Get(c.headers.RequestID) != id {
			clean = false
			continue
		}
		if err := c.checkResponse(response); err != nil {
			return nil, endsConnection, err
		}
		answer := &hopv1.Answer{
			Status:  uint32(response.StatusCode),
			Headers: EndToEnd(response.Header),
			Body:    body,
			NotRun:  response.Header.Get(c.headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest,
		}
		if answer.NotRun {
			connection.recordRefusal(id)
		}
		connection.keepAliveTimeout = parseKeepAlive(response.Header.Get("Keep-Alive"))
		switch framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0; {
		case !framed && request.Method != http.MethodHead:
			return answer, endsWithConnection, nil
		case framed && clean && !response.Close && connection.canRecordRefusal() && connection.healthy():
			return answer, leavesConnection, nil
		}
		return answer, endsConnection, nil
	}
	return nil, endsConnection, fmt.Errorf("%w: only responses to other requests", ErrInvalidResponse)
}

// checkResponse rejects a success (2xx) response without the upstream's
// signature, and any response with a Content-Encoding: bodies must be unencoded.
func (c *Client) checkResponse(response *http.Response) error {
	success := response.StatusCode < http.StatusMultipleChoices
	if success && response.Header.Get(c.headers.Signature) == "" {
		return fmt.Errorf("%w: success response without signature", ErrInvalidResponse)
	}
	if encoding := response.Header.Get("Content-Encoding"); encoding != "" {
		return fmt.Errorf("%w: unexpected content encoding %q", ErrInvalidResponse, encoding)
	}
	return nil
}

// hopByHopHeaders are the hop-by-hop headers: those that describe one connection or
// the framing of a message on it.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEnd returns the headers to forward: all except the hop-by-hop headers and
// those that the Connection header names. The header names must be canonical.
func EndToEnd(header http.Header) []*hopv1.Header {
	connectionOptions := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	all := make([]*hopv1.Header, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || connectionOptions[name] {
			continue
		}
		for _, value := range values {
			all = append(all, &hopv1.Header{Name: name, Value: []byte(value)})
		}
	}
	return all
}

// FormatMilliseconds formats a remaining time as a header value in whole
// milliseconds, rounded down, but at least 1.
func FormatMilliseconds(remaining time.Duration) string {
	return strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)
}
