package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
)

// sendError is a send without an answer.
type sendError struct {
	// neverSent is proved: no byte left this process.
	neverSent bool
	err       error
}

// Error implements error.
func (e *sendError) Error() string {
	return fmt.Sprintf("send (never sent: %t): %v", e.neverSent, e.err)
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// sender sends a request at most once over kept connections.
type sender struct {
	transport *http.Transport
}

func newSender(cfg Config, dial DialFunc) *sender {
	return &sender{transport: &http.Transport{
		DialContext:         dial.dialWire,
		MaxIdleConnsPerHost: cfg.IdleConnections,
		IdleConnTimeout:     cfg.IdleTimeout,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
		// A larger header is no answer of a sane upstream.
		MaxResponseHeaderBytes: 64 << 10,
	}}
}

// staleRetries is how often a request is sent again after a kept connection
// proved to be closed before a byte was written.
const staleRetries = 2

// send sends the request; body may be nil. The transport never repeats it by
// itself. A connection that was closed while idle is replaced, when it is
// proved that nothing was written and the body was not touched.
func (s *sender) send(ctx context.Context, req *http.Request, body attemptBody) (*http.Response, *sendError) {
	for try := 0; ; try++ {
		resp, failed, reused := s.once(ctx, req, body.reader())
		if failed == nil {
			return resp, nil
		}
		again := failed.neverSent && reused && try < staleRetries && ctx.Err() == nil
		if !again || !body.rewindable() {
			return nil, failed
		}
	}
}

// once is one round trip; reused tells that the connection was a kept one.
func (s *sender) once(ctx context.Context, req *http.Request, body io.ReadCloser) (*http.Response, *sendError, bool) {
	var used *wire
	var before int64
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, _ = info.Conn.(*wire)
		reused = info.Reused
		if used != nil {
			before = used.writes.Load()
		}
	}}
	out := req.WithContext(httptrace.WithClientTrace(ctx, trace))
	out.Body = body
	forbidReplay(out)
	resp, err := s.transport.RoundTrip(out)
	if err == nil {
		return resp, nil, reused
	}
	return nil, &sendError{neverSent: unwritten(used, before), err: err}, reused
}

// unwritten proves that nothing was written on the wire since before, by
// ending all writing on it.
func unwritten(used *wire, before int64) bool {
	if used == nil {
		return true
	}
	begun := used.seal()
	_ = used.Close()
	return begun == before
}

// forbidReplay keeps the transport from sending the request a second time on
// its own: it does so for requests without a body, by method or by header. An
// empty body of undeclared length is not replayable, and "identity" sends it
// as no body at all.
func forbidReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(nil))
	req.ContentLength = 0
	req.TransferEncoding = []string{"identity"}
}

// isTimeout tells whether a send failed because its time was up.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded)
}
