package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/pipeline"
)

// descheduled is a time for which a handler is made to stand still: longer than any deadline that
// it sets on a connection to end its request.
const descheduled = 250 * time.Millisecond

// lateWriter stands still before it writes the head of an answer.
type lateWriter struct{ http.ResponseWriter }

func (w lateWriter) WriteHeader(status int) {
	time.Sleep(descheduled)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap makes http.ResponseController work.
func (w lateWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// lateBody stands still when it has read the end of a body.
type lateBody struct{ io.ReadCloser }

func (b lateBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		time.Sleep(descheduled)
	}
	return n, err
}

// serveLate serves the callers of p. The handler of a request with the id "late" stands still where
// a deadline that it has set on the connection may pass. It returns the address.
func serveLate(t *testing.T, p *Proxy, pipelined bool) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(p.cfg.Headers.RequestID) == "late" {
			r.Body = lateBody{r.Body}
			w = lateWriter{w}
		}
		p.Handler().ServeHTTP(w, r)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Minute}
	listener := inner
	if pipelined {
		listener = pipeline.NewListener(inner, func([][]byte, error) {})
		server.ConnState = pipeline.ConnState
		server.ConnContext = pipeline.ConnContext
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

// requestWithBody returns the text of a request with a body in the given framing.
func requestWithBody(method, id string, deadlineMs int, chunked bool) string {
	head := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline: %d\r\n", method, id, deadlineMs)
	if chunked {
		return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	}
	return head + "Content-Length: 4\r\n\r\nbody"
}

// exchangeOn sends a request on an open connection and returns the answer.
func exchangeOn(t *testing.T, conn net.Conn, reader *bufio.Reader, request string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d %q", response.StatusCode, body)
	return response
}

// TestRequestsBehindATimedOutOneAreServed guards against answers 499 to all requests that
// followed, on its connection, one with a body that had been ended at its deadline.
func TestRequestsBehindATimedOutOneAreServed(t *testing.T) {
	address := startRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Request-Id") == "late" {
			time.Sleep(time.Second)
		}
		return writeSigned(conn, r.Header.Get("Request-Id"))
	})
	for _, pipelined := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			// Requests whose time is over when their bodies have been read, and one that runs then.
			for _, deadlineMs := range []int{0, 100, 500} {
				t.Run(fmt.Sprintf("pipelined %t, chunked %t, deadline %d ms", pipelined, chunked, deadlineMs), func(t *testing.T) {
					t.Parallel()
					p := newProxyBeside(t, address, manifest.RetryRule{Name: "rule", Attempts: 1})
					conn := dialEntry(t, serveLate(t, p, pipelined))
					reader := bufio.NewReader(conn)
					late := exchangeOn(t, conn, reader, requestWithBody("POST", "late", deadlineMs, chunked))
					if late.StatusCode < http.StatusInternalServerError {
						t.Errorf("the late request got %d", late.StatusCode)
					}
					if !late.Close {
						expectServed(t, conn, reader)
					}
				})
			}
		}
	}
}

// TestRequestSentBehindALateOneIsServed is the same for a request that was sent before the answer
// to one whose time is over with its body: that answer cannot end the connection.
func TestRequestSentBehindALateOneIsServed(t *testing.T) {
	address := startRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		return writeSigned(conn, r.Header.Get("Request-Id"))
	})
	p := newProxyBeside(t, address, manifest.RetryRule{Name: "rule", Attempts: 1})
	conn := dialEntry(t, serveLate(t, p, true))
	reader := bufio.NewReader(conn)
	sent := requestWithBody("POST", "late", 100, false) + requestWithBody("POST", "behind", 5000, false)
	if late := exchangeOn(t, conn, reader, sent); late.Close || late.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("the late request got %d, the connection ends: %t", late.StatusCode, late.Close)
	}
	if behind := exchangeOn(t, conn, reader, ""); behind.StatusCode != http.StatusOK {
		t.Errorf("the request behind it got %d", behind.StatusCode)
	}
	expectServed(t, conn, reader)
}

// dialEntry opens a caller's connection.
func dialEntry(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// expectServed sends requests on an open connection, one after the other.
func expectServed(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	for i, method := range []string{"GET", "POST", "GET"} {
		next := exchangeOn(t, conn, reader, requestWithBody(method, fmt.Sprint(i), 5000, false))
		if next.StatusCode != http.StatusOK {
			t.Errorf("%s behind it got %d", method, next.StatusCode)
		}
	}
}

// TestTimedOutRequestKeepsItsConnection guards against connections that are closed where the
// watch for their callers' leaving is intact.
func TestTimedOutRequestKeepsItsConnection(t *testing.T) {
	address := startRawUpstream(t, func(conn net.Conn, r *http.Request) bool {
		time.Sleep(time.Second)
		return writeSigned(conn, r.Header.Get("Request-Id"))
	})
	p := newProxyBeside(t, address, manifest.RetryRule{Name: "rule", Attempts: 1})
	conn := dialEntry(t, serveLate(t, p, true))
	if late := exchangeOn(t, conn, bufio.NewReader(conn), requestWithBody("POST", "late", 500, false)); late.Close || late.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("answer %d, the connection ends: %t", late.StatusCode, late.Close)
	}
}

// TestCancelledRequestThatWasNotSentIsReportedNotRun guards against an answer that promises
// nothing to a request that was offered to no upstream.
func TestCancelledRequestThatWasNotSentIsReportedNotRun(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if got := (&forwarder{}).contextFailure(ended); !got.notRun || !notRunStatuses[got.code.Info().Status] {
		t.Errorf("not sent: %s, not run %t", got.code, got.notRun)
	}
	if got := (&forwarder{mayHaveRun: true}).contextFailure(ended); got.notRun || notRunStatuses[got.code.Info().Status] {
		t.Errorf("sent: %s, not run %t", got.code, got.notRun)
	}
}

// writeSigned answers a request as an upstream does.
func writeSigned(conn net.Conn, id string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone")
	return err == nil
}
