package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// cutHead is the head of the answers of these tests, without its last lines.
const cutHead = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nSignature: s\r\n"

// wholeAnswers are answers with the body that they have when they are complete. Those that
// end with their connection are complete wherever their body is cut.
var wholeAnswers = map[string]struct {
	method, text, body string
	endsWithConnection bool
}{
	"length":               {text: cutHead + "Content-Length: 10\r\n\r\n0123456789", body: "0123456789"},
	"length first":         {text: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nRequest-Id: id\r\nSignature: s\r\n\r\n0123456789", body: "0123456789"},
	"length twice":         {text: cutHead + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
	"length of zero":       {text: cutHead + "Content-Length: 0\r\n\r\n"},
	"chunks":               {text: cutHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\n\r\n", body: "0123456789"},
	"chunks with trailer":  {text: cutHead + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n", body: "abc"},
	"chunks and length":    {text: cutHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
	"no chunk":             {text: cutHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	"end of line is LF":    {text: "HTTP/1.1 200 OK\nRequest-Id: id\nSignature: s\nContent-Length: 3\n\nabc", body: "abc"},
	"behind informational": {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: id\r\nSignature: s\r\n\r\n" + cutHead + "Content-Length: 3\r\n\r\nabc", body: "abc"},
	"no length":            {text: cutHead + "\r\n0123456789", body: "0123456789", endsWithConnection: true},
	"HTTP/1.0":             {text: "HTTP/1.0 200 OK\r\nRequest-Id: id\r\nSignature: s\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
	"HTTP/1.0, no length":  {text: "HTTP/1.0 200 OK\r\nRequest-Id: id\r\nSignature: s\r\n\r\nabc", body: "abc", endsWithConnection: true},
	"status 204":           {text: "HTTP/1.1 204 No Content\r\nRequest-Id: id\r\nSignature: s\r\n\r\n"},
	"status 304":           {text: "HTTP/1.1 304 Not Modified\r\nRequest-Id: id\r\nSignature: s\r\nContent-Length: 10\r\n\r\n"},
	"HEAD with length":     {method: http.MethodHead, text: cutHead + "Content-Length: 10\r\n\r\n"},
	"HEAD with chunks":     {method: http.MethodHead, text: cutHead + "Transfer-Encoding: chunked\r\n\r\n"},
	"HEAD without length":  {method: http.MethodHead, text: cutHead + "\r\n"},
	"failure with length":  {text: "HTTP/1.1 500 Failed\r\nRequest-Id: id\r\nSignature: s\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
	"failure in chunks":    {text: "HTTP/1.1 500 Failed\r\nRequest-Id: id\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
	"refusal":              {text: "HTTP/1.1 503 Full\r\nRequest-Id: id\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
}

// startCutUpstream starts an upstream that answers with the text and closes or resets the
// connection.
func startCutUpstream(t *testing.T, reset bool, text *atomic.Pointer[string]) *Client {
	t.Helper()
	_, client := startRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		// A failed write shows in the client's result.
		_, _ = io.WriteString(conn, *text.Load())
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	return client
}

// doMethod sends a request with the method, or GET if that is empty.
func doMethod(client *Client, method string) (*hopv1.Answer, error) {
	if method == "" {
		method = http.MethodGet
	}
	return doCall(client, &hopv1.Request{Id: "id", Method: method, Target: []byte("/"), Host: "h", Idempotent: true})
}

// doText sends a request to an upstream that answers with the text and closes the connection.
func doText(t *testing.T, text string) (*hopv1.Answer, error) {
	t.Helper()
	var written atomic.Pointer[string]
	written.Store(&text)
	return doMethod(startCutUpstream(t, false, &written), "")
}

// TestAnswerCutAnywhereIsRejected covers an upstream that stops anywhere in its answer and
// closes or resets the connection: there is the whole answer, or an error.
func TestAnswerCutAnywhereIsRejected(t *testing.T) {
	for name, whole := range wholeAnswers {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+" "+end, func(t *testing.T) {
				var written atomic.Pointer[string]
				client := startCutUpstream(t, reset, &written)
				bodyStart := len(whole.text) - len(whole.body)
				for cut := range len(whole.text) + 1 {
					text := whole.text[:cut]
					written.Store(&text)
					answer, err := doMethod(client, whole.method)
					want, complete := whole.body, cut == len(whole.text)
					if whole.endsWithConnection && cut >= bodyStart {
						want, complete = text[bodyStart:], !reset
					}
					if complete && err != nil && !reset {
						t.Errorf("complete answer: %v", err)
					}
					if err == nil && (!complete || string(answer.Body) != want) {
						t.Errorf("cut after %q: answer %v", text, answer)
					}
				}
			})
		}
	}
}

// TestContradictoryFramingIsRejected covers answers whose end cannot be known.
func TestContradictoryFramingIsRejected(t *testing.T) {
	for name, rest := range map[string]string{
		"two lengths":                "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"two lengths in a line":      "Content-Length: 3, 4\r\n\r\nabcd",
		"negative length":            "Content-Length: -1\r\n\r\nabc",
		"length with a sign":         "Content-Length: +3\r\n\r\nabc",
		"empty length":               "Content-Length:\r\n\r\nabc",
		"length that is no number":   "Content-Length: 3x\r\n\r\nabc",
		"unknown transfer encoding":  "Transfer-Encoding: gzip\r\n\r\nabc",
		"two transfer encodings":     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunk size that is no size": "Transfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n",
		"negative chunk size":        "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
		"chunk larger than its size": "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
		"space before colon, length": "Content-Length : 3\r\n\r\nab",
		"space before colon, chunks": "Transfer-Encoding : chunked\r\n\r\n3\r\nab",
		"line without a colon":       "Content-Length\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			if answer, err := doText(t, cutHead+rest); err == nil {
				t.Errorf("got an answer: %v", answer)
			}
		})
	}
}

// TestChunksOfAnOlderProtocolAreRejected covers a Transfer-Encoding in an answer before
// HTTP/1.1, where it means nothing: the body would be chunks with their sizes, of which the end
// may be missing.
func TestChunksOfAnOlderProtocolAreRejected(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9"} {
		for _, length := range []string{"", "Content-Length: 13\r\n"} {
			text := strings.Replace(cutHead, "HTTP/1.1", version, 1) + length + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
			if answer, err := doText(t, text); err == nil {
				t.Errorf("%s %q: got an answer: %v", version, length, answer)
			}
		}
	}
}

// TestConnectionOfAnOlderProtocolIsNotReused covers answers of HTTP/1.0, after which bytes may
// have been read ahead.
func TestConnectionOfAnOlderProtocolIsNotReused(t *testing.T) {
	u, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		id := request.Header.Get("Request-Id")
		text := strings.Replace(responseText(id, "own answer of "+id), "HTTP/1.1 200 OK", "HTTP/1.0 200 OK\r\nConnection: keep-alive", 1)
		return writeText(conn, text+responseText("b", "extra"), "")
	})
	for _, id := range []string{"a", "b"} {
		if answer, err := do(client, id, true); err != nil || string(answer.Body) != "own answer of "+id {
			t.Errorf("%s: %v %v", id, answer, err)
		}
	}
	if n := u.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}
