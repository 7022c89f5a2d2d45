package pipeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswerReachesACallerThatHasEndedItsSending covers a caller that sends a request, ends
// its sending direction and waits: whatever the handler answers reaches it, as with net/http
// alone.
func TestAnswerReachesACallerThatHasEndedItsSending(t *testing.T) {
	for name, text := range map[string]string{
		"alone":          get("/0"),
		"behind another": get("/0") + get("/1"),
		"with a body":    "POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
	} {
		for _, pipelined := range []bool{false, true} {
			if name == "behind another" && !pipelined {
				continue
			}
			t.Run(fmt.Sprintf("%s, pipelined %t", name, pipelined), func(t *testing.T) {
				address := serve(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(50 * time.Millisecond)
					fmt.Fprint(w, r.URL.Path)
				}, pipelined)
				conn := dial(t, address, text)
				_ = conn.CloseWrite()
				reader := bufio.NewReader(conn)
				expectAnswers(t, reader, "/0")
				if name == "behind another" {
					expectAnswers(t, reader, "/1")
				}
				if _, err := reader.ReadByte(); err != io.EOF {
					t.Errorf("after the last answer: %v", err)
				}
			})
		}
	}
}

// TestLastAnswerIsNotLostWithWhatIsSentBehindIt covers an answer that ends the connection
// while the caller sends more, and reads late: data that is unread at the close must not
// make the system discard the part of the answer that is not sent yet.
func TestLastAnswerIsNotLostWithWhatIsSentBehindIt(t *testing.T) {
	const work = 50 * time.Millisecond
	large := strings.Repeat("0123456789abcdef", 1<<16)
	post := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
	}
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"GET, then GET":        {get("/last") + get("/x"), []string{"/last"}},
		"GET, then POST":       {get("/last") + post("/x"), []string{"/last"}},
		"POST, then GET":       {post("/last") + get("/x"), []string{"/last"}},
		"POST, then POST":      {post("/last") + post("/x"), []string{"/last"}},
		"GET, POST, then GET":  {get("/0") + post("/last") + get("/x"), []string{"/0", "/last"}},
		"GET, GET, then POST":  {get("/0") + get("/last") + post("/x"), []string{"/0", "/last"}},
		"POST, POST, then GET": {post("/0") + post("/last") + get("/x"), []string{"/0", "/last"}},
	} {
		for _, later := range []time.Duration{0, work / 2} {
			t.Run(fmt.Sprintf("%s, %s later", name, later), func(t *testing.T) {
				address := serve(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/last" && CloseAfter(r.Context()) {
						w.Header().Set("Connection", "close")
					}
					time.Sleep(work)
					_, _ = io.WriteString(w, r.URL.Path+large)
				}, true)
				conn := dial(t, address, c.text)
				time.Sleep(later)
				_, _ = io.WriteString(conn, get("/y"))
				time.Sleep(4 * work)
				reader := bufio.NewReader(conn)
				for _, path := range c.want {
					expectAnswers(t, reader, path+large)
				}
			})
		}
	}
}

// closeCountingListener counts how often it is closed. From the second time on, that fails.
type closeCountingListener struct {
	net.Listener
	closes atomic.Int64
}

func (l *closeCountingListener) Close() error {
	l.closes.Add(1)
	return l.Listener.Close()
}

// TestListenerIsClosedOnce covers a planned stop: the daemon closes the listener for callers,
// and the server that it belongs to closes it again at its end, if it has not noticed that.
func TestListenerIsClosedOnce(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &closeCountingListener{Listener: inner}
	listener := NewListener(counted, ignoreUnserved)
	for range 2 {
		if err := listener.Close(); err != nil {
			t.Errorf("close the listener: %v", err)
		}
	}
	if n := counted.closes.Load(); n != 1 {
		t.Errorf("the inner listener was closed %d times", n)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after the close: %v", err)
	}
}
