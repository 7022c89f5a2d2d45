package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// endlessBytes is how much the upstreams of these tests send without an end, and
// maxTaken how much of a head the client may take in, its buffers and the kernel's
// included.
const (
	endlessBytes = 32 << 20
	maxTaken     = 16 << 20
)

// startEndlessUpstream starts an upstream that answers with start and then repeats
// piece until the client closes. It returns the number of bytes that the client took.
func startEndlessUpstream(t *testing.T, start, piece string) (*Client, *atomic.Int64) {
	t.Helper()
	taken := &atomic.Int64{}
	_, client := startRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		if _, err := io.WriteString(conn, start); err != nil {
			return false
		}
		pieces := strings.Repeat(piece, 4096/len(piece)+1)
		for taken.Load() < endlessBytes {
			n, err := io.WriteString(conn, pieces)
			taken.Add(int64(n))
			if err != nil {
				return false
			}
		}
		// The connection stays open, without more bytes.
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	return client, taken
}

// TestEndlessHeadIsCutOff covers an upstream in trouble that sends bytes without end
// where the head of an answer is due.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, c := range map[string]struct{ start, piece string }{
		"status line":   {"", "x"},
		"header line":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			client, taken := startEndlessUpstream(t, c.start, c.piece)
			if _, err := do(client, "a", true); err == nil {
				t.Error("got an answer")
			}
			if n := taken.Load(); n > maxTaken {
				t.Errorf("the client took %d bytes", n)
			}
		})
	}
}
