package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestAnswerBehindAnotherOfAnOlderProtocolIsRead covers answers of HTTP/1.0 that do not end what
// the upstream writes: an informational one, and one to another request. What follows is not
// lost.
func TestAnswerBehindAnotherOfAnOlderProtocolIsRead(t *testing.T) {
	for name, before := range map[string]string{
		"informational":   "HTTP/1.0 103 Early Hints\r\nA: b\r\n\r\n",
		"another request": "HTTP/1.0 503 Full\r\nRequest-Id: other\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nabc",
	} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			reused := name == "informational" && version == "HTTP/1.1"
			t.Run(name+" before "+version, func(t *testing.T) {
				u, client := startRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					return writeText(conn, before+version+" 200 OK\r\nRequest-Id: id\r\nSignature: s\r\nContent-Length: 3\r\n\r\nown", "id")
				})
				for range 2 {
					answer, err := do(client, "id", true)
					if err != nil || answer.NotRun || string(answer.Body) != "own" {
						t.Errorf("%v, error %v", answer, err)
					}
				}
				if n := u.accepted.Load(); (n == 1) != reused {
					t.Errorf("%d connections for 2 requests, want it reused: %t", n, reused)
				}
			})
		}
	}
}

// TestLargeAnswerOfAnOlderProtocolIsWhole covers an answer of HTTP/1.0 that exceeds the buffer
// of its connection.
func TestLargeAnswerOfAnOlderProtocolIsWhole(t *testing.T) {
	var body strings.Builder
	for i := range 5 * readBuffer / 4 {
		fmt.Fprintf(&body, "%4x", i%0x10000)
	}
	for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", body.Len())} {
		_, client := startRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_ = writeText(conn, "HTTP/1.0 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\n"+length+"\r\n"+body.String(), "id")
			return false
		})
		if answer, err := do(client, "id", true); err != nil || string(answer.Body) != body.String() {
			t.Errorf("%q: a body of %d bytes, want %d; error %v", length, len(answer.GetBody()), body.Len(), err)
		}
	}
}
