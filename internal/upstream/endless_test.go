package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
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
			if used := client.memory.used.Load(); used > most.Load() {
				most.Store(used)
			}
		}
		return false
	})
	// The connection for the small answer is open before: that a dial takes long beside endless
	// bodies on a busy machine is another matter.
	if _, err := do(client, "small", true); err != nil {
		t.Fatal(err)
	}
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
	if n := most.Load(); n > testBodyMemory {
		t.Errorf("%d bytes for incomplete bodies at once", n)
	}
	if n := client.memory.used.Load(); n != 0 {
		t.Errorf("%d bytes are counted after all bodies have ended", n)
	}
}

// TestBodyThatIsGivenUpIsNotReadOn guards against an upstream without end whose body is given up,
// but read on until the caller's deadline.
func TestBodyThatIsGivenUpIsNotReadOn(t *testing.T) {
	piece := strings.Repeat("x", 4<<10)
	for name, c := range map[string]struct{ start, piece string }{
		"length": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", piece},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + piece + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			client, taken := startEndlessUpstream(t, c.start, c.piece)
			client.memory.limit = 1 << 20
			if _, err := do(client, "a", true); err == nil {
				t.Error("got an answer")
			}
			if n := taken.Load(); n > maxTaken {
				t.Errorf("the client took %d bytes", n)
			}
		})
	}
}

// TestBodyOfAnyLengthIsWhole covers the buffers of bodies around the sizes at which they grow.
func TestBodyOfAnyLengthIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, freeBody, freeBody + 1, announcedBody, announcedBody + 1, 3*announcedBody + 1} {
		for _, known := range []bool{true, false} {
			text := strings.Repeat("0123456789", size/10+1)[:size]
			length := int64(-1)
			if known {
				length = int64(size)
			}
			buffer := &bodyBuffer{memory: &bodyMemory{limit: testBodyMemory}}
			if err := buffer.readAll(iotest.HalfReader(strings.NewReader(text)), length); err != nil || string(buffer.data) != text {
				t.Errorf("%d bytes, known %t: %d bytes, %v", size, known, len(buffer.data), err)
			}
			buffer.free()
			if used := buffer.memory.used.Load(); used != 0 {
				t.Errorf("%d bytes, known %t: %d bytes stay reserved", size, known, used)
			}
		}
	}
	cut := &bodyBuffer{memory: &bodyMemory{limit: testBodyMemory}}
	if err := cut.readAll(strings.NewReader("abc"), 4); err != io.ErrUnexpectedEOF {
		t.Errorf("a body that is cut: %v", err)
	}
}
