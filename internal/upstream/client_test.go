package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

var testHeaders = Headers{RequestID: "Request-Id", Signature: "Signature", NotRun: "Not-Run"}

// rawUpstream responds to each request with the bytes that write writes. It
// closes the connection when write returns false.
type rawUpstream struct {
	listener net.Listener
	write    func(conn net.Conn, request *http.Request, number int) bool
	accepted atomic.Int64
	requests atomic.Int64
}

// testBodyMemory is the memory of the bodies that are being read, in bytes.
const testBodyMemory = 64 << 20

func startRawUpstream(t *testing.T, write func(net.Conn, *http.Request, int) bool) (*rawUpstream, *Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &rawUpstream{listener: listener, write: write}
	go u.serve()
	client := NewClient(testHeaders, testBodyMemory)
	client.SetAddress(listener.Addr().String())
	return u, client
}

func (u *rawUpstream) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.accepted.Add(1)
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				if !u.write(conn, request, int(u.requests.Add(1))) {
					return
				}
			}
		}()
	}
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(client *Client, id string, idempotent bool) (*hopv1.Answer, error) {
	return doCall(client, &hopv1.Request{Id: id, Method: http.MethodGet, Target: []byte("/a%2Fb?x=1"), Host: "h", Idempotent: idempotent})
}

func doCall(client *Client, request *hopv1.Request) (*hopv1.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return client.Do(ctx, Call{Request: request, ExtraHeaders: []*hopv1.Header{{Name: "Request-Id", Value: []byte(request.Id)}}})
}

func TestConnectionIsReused(t *testing.T) {
	u, client := startRawUpstream(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, responseText(r.Header.Get("Request-Id"), r.RequestURI))
		return err == nil
	})
	for i := range 5 {
		answer, err := do(client, fmt.Sprint("id", i), false)
		if err != nil || string(answer.Body) != "/a%2Fb?x=1" {
			t.Fatalf("%v %v", answer, err)
		}
	}
	if n := u.accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// TestInvalidResponseIsRejected covers responses that are truncated, malformed,
// unsigned, encoded, or belong to another request.
func TestInvalidResponseIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":              "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nContent-Length: 10\r\n\r\nabc",
		"truncated chunk":             "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"truncated headers":           "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSigna",
		"no response":                 "",
		"not HTTP":                    "\x00\x01garbage\r\n\r\n",
		"no signature":                "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 1\r\n\r\na",
		"no request id":               "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 1\r\n\r\na",
		"content encoding":            "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\na",
		"response to another request": responseText("other", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			_, client := startRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				// A failed write shows in the client's result.
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", "id"))
				return false
			})
			answer, err := do(client, "id", true)
			if !errors.Is(err, ErrInvalidResponse) {
				t.Errorf("%v %v", answer, err)
			}
		})
	}
}

// TestResponseWithoutLengthEndsWithConnection checks that a response delimited by
// the end of its connection is complete if the connection is closed, and
// incomplete if it is reset.
func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nSignature: s\r\n\r\nhalf"
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			_, client := startRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, err := io.WriteString(conn, head)
				time.Sleep(20 * time.Millisecond)
				if reset && err == nil {
					err = conn.(*net.TCPConn).SetLinger(0)
				}
				return err != nil
			})
			answer, err := do(client, "id", true)
			if reset && !errors.Is(err, ErrInvalidResponse) || !reset && (err != nil || string(answer.Body) != "half") {
				t.Errorf("%v %v", answer, err)
			}
		})
	}
}

// TestExtraResponsesAreDiscarded covers an upstream that sends a second response
// after the first, immediately or just before the next request's response is due.
func TestExtraResponsesAreDiscarded(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "late": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			_, client := startRawUpstream(t, func(conn net.Conn, r *http.Request, _ int) bool {
				id := r.Header.Get("Request-Id")
				_, err := io.WriteString(conn, responseText(id, "first "+id))
				time.Sleep(delay)
				_, _ = io.WriteString(conn, responseText(id, "second "+id))
				return err == nil
			})
			for i := range 20 {
				id := fmt.Sprint("id", i)
				answer, err := do(client, id, true)
				if err != nil || string(answer.Body) != "first "+id {
					t.Fatalf("%s: %v %v", id, answer, err)
				}
			}
		})
	}
}

func TestRefusalByUpstreamCountsAsNotRun(t *testing.T) {
	_, client := startRawUpstream(t, func(conn net.Conn, r *http.Request, number int) bool {
		status, extra := "503 Full", "Not-Run: 1\r\n"
		if number > 1 {
			status, extra = "421 Other", ""
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("Request-Id"), extra)
		return err == nil
	})
	for range 2 {
		answer, err := do(client, "id", false)
		if err != nil || !answer.NotRun {
			t.Errorf("%v %v", answer, err)
		}
	}
}

func TestUnreachableUpstreamReturnsErrUnreachable(t *testing.T) {
	u, client := startRawUpstream(t, nil)
	if err := u.listener.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := do(client, "id", false); !errors.Is(err, ErrUnreachable) {
		t.Errorf("%v", err)
	}
}

// TestNonIdempotentRequestAvoidsLongIdleConnection covers upstreams that close
// idle connections: the resulting reset cannot be distinguished from a lost response.
func TestNonIdempotentRequestAvoidsLongIdleConnection(t *testing.T) {
	u, client := startRawUpstream(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, responseText(r.Header.Get("Request-Id"), "x"))
		return err == nil
	})
	if _, err := do(client, "id", false); err != nil {
		t.Fatal(err)
	}
	client.pool.mu.Lock()
	client.pool.idle[0].idleSince = time.Now().Add(-maxIdleNonIdempotent - time.Millisecond)
	client.pool.mu.Unlock()
	if _, err := do(client, "id", false); err != nil {
		t.Fatal(err)
	}
	if n := u.accepted.Load(); n != 2 {
		t.Errorf("%d connections were opened", n)
	}
}

func TestParseKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "timeout=5": 5 * time.Second, "max=10, timeout=7": 7 * time.Second, "timeout=x": 0, "timeout=-1": 0,
	} {
		if got := parseKeepAlive(text); got != want {
			t.Errorf("%q: %s", text, got)
		}
	}
}

// TestHeadAllocatesNoBody covers the answer to a HEAD request, whose Content-Length is
// that of a body that is not sent.
func TestHeadAllocatesNoBody(t *testing.T) {
	client := &Client{}
	response := &http.Response{Request: &http.Request{Method: http.MethodHead}, ContentLength: maxResponseBody, Body: http.NoBody}
	allocated := testing.AllocsPerRun(1, func() {
		if body, err := client.readBody(response); body != nil || err != nil {
			t.Errorf("body of %d bytes, error %v", len(body), err)
		}
	})
	if allocated > 0 {
		t.Errorf("%.0f allocations", allocated)
	}
	response.ContentLength = maxResponseBody + 1
	if _, err := client.readBody(response); err != nil {
		t.Errorf("a body that is not sent exceeds the limit: %v", err)
	}
}

// TestConnectionKeepsItsAddress covers an upstream whose address changes while a
// request is in flight: its connection must not be pooled for the new address.
func TestConnectionKeepsItsAddress(t *testing.T) {
	var client *Client
	_, client = startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		client.SetAddress("127.0.0.1:1")
		_, err := io.WriteString(conn, responseText(request.Header.Get("Request-Id"), "old"))
		return err == nil
	})
	if _, err := do(client, "a", true); err != nil {
		t.Fatal(err)
	}
	if _, err := do(client, "b", true); !errors.Is(err, ErrUnreachable) {
		t.Errorf("request to the new address: error %v, want ErrUnreachable", err)
	}
	connection := newConn(nil, "127.0.0.1:2")
	if connection.address != "127.0.0.1:2" {
		t.Errorf("connection to %q", connection.address)
	}
}

// TestRequestOfAnEndedContextIsNotSent covers a caller that leaves, or a deadline that
// passes, just before the request is sent on an open connection. It has not run.
func TestRequestOfAnEndedContextIsNotSent(t *testing.T) {
	u, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"))
		return true
	})
	call := func(id string) Call {
		return Call{Request: &hopv1.Request{Id: id, Method: "GET", Target: []byte("/"), Host: "h", Idempotent: true},
			ExtraHeaders: []*hopv1.Header{{Name: "Request-Id", Value: []byte(id)}}}
	}
	if _, err := client.Do(context.Background(), call("a")); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := client.Do(ended, call("b")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrNotSent", err)
	}
	if _, err := client.Do(context.Background(), call("c")); err != nil {
		t.Error(err)
	}
	if requests := u.requests.Load(); requests != 2 {
		t.Errorf("%d requests arrived, want 2 of 3", requests)
	}
}
