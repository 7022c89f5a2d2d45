package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// TestEndlessBodiesAreBoundedTogether covers an upstream in trouble whose bodies do not
// end, several at a time. Small answers are still read meanwhile.
func TestEndlessBodiesAreBoundedTogether(t *testing.T) {
	const requests = 8
	const piece = 64 << 10
	var most atomic.Int64
	var client *Client
	pieces := strings.Repeat("x", piece)
	_, client = startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		id := request.Header.Get("Request-Id")
		if id == "small" {
			_, err := io.WriteString(conn, responseText(id, "small"))
			return err == nil
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nSignature: s\r\nConnection: close\r\n\r\n"); err != nil {
			return false
		}
		for sent := 0; sent < 2*maxResponseBody; sent += len(pieces) {
			if _, err := io.WriteString(conn, pieces); err != nil {
				return false
			}
			if incomplete := client.incomplete.Load(); incomplete > most.Load() {
				most.Store(incomplete)
			}
		}
		return false
	})
	var failed sync.WaitGroup
	for range requests {
		failed.Add(1)
		go func() {
			defer failed.Done()
			if _, err := do(client, "endless", true); err == nil {
				t.Error("got an answer")
			}
		}()
	}
	if answer, err := do(client, "small", true); err != nil || string(answer.Body) != "small" {
		t.Errorf("a small answer: error %v", err)
	}
	failed.Wait()
	// Each body may exceed the bound by what it reads at once.
	if n := most.Load(); n > maxIncomplete+requests*smallBody {
		t.Errorf("%d bytes of incomplete bodies at once", n)
	}
	if n := client.incomplete.Load(); n != 0 {
		t.Errorf("%d bytes are counted after all bodies have ended", n)
	}
}
