package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
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
