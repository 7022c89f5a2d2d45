package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// repeatDelays are the times after which an upstream of these tests writes an earlier
// refusal once more.
var repeatDelays = map[string]time.Duration{"at once": 0, "soon": 5 * time.Millisecond, "late": 60 * time.Millisecond}

// refusals are the forms of a refusal of the request with the id ID.
var refusals = map[string]string{
	"503": "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"429": "HTTP/1.1 429 Slow down\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nlater",
	"421": "HTTP/1.1 421 Other\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n",
}

// repeatingUpstream refuses each id once. When the id comes again, it runs the request, and
// meanwhile writes the refusal once more on the connection on which it was written before.
type repeatingUpstream struct {
	refusal string
	delay   time.Duration

	mu sync.Mutex
	// refused holds the connections on which ids were refused.
	refused map[string]net.Conn
	runs    map[string]int
}

// write is the function for startRawUpstream.
func (u *repeatingUpstream) write(conn net.Conn, request *http.Request, _ int) bool {
	id := request.Header.Get("Request-Id")
	u.mu.Lock()
	earlier := u.refused[id]
	if earlier == nil {
		u.refused[id] = conn
	} else {
		u.runs[id]++
	}
	u.mu.Unlock()
	if earlier == nil {
		return writeText(conn, u.refusal, id)
	}
	time.Sleep(u.delay)
	// The write fails if the client has closed the earlier connection.
	_ = writeText(earlier, u.refusal, id)
	time.Sleep(20 * time.Millisecond)
	return writeText(conn, responseText(id, "ran"), id)
}

func (u *repeatingUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// TestRepeatedRefusalIsNotBelieved covers an id that is sent again to an upstream that has
// refused it, and that writes this refusal once more while it runs the request.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for form, refusal := range refusals {
		for name, delay := range repeatDelays {
			t.Run(form+" "+name, func(t *testing.T) {
				u := &repeatingUpstream{refusal: refusal, delay: delay, refused: map[string]net.Conn{}, runs: map[string]int{}}
				_, client := startRawUpstream(t, u.write)
				for _, id := range []string{"a", "b", "c"} {
					first, err := do(client, id, false)
					if err != nil || !first.NotRun {
						t.Fatalf("%s, first time: %v %v", id, first, err)
					}
					second, err := do(client, id, false)
					if err != nil || second.NotRun || string(second.Body) != "ran" {
						t.Errorf("%s, second time: %v %v", id, second, err)
					}
					if runs := u.runsOf(id); runs != 1 {
						t.Errorf("%s: %d runs", id, runs)
					}
				}
			})
		}
	}
}

// TestLateRefusalEndsItsConnection covers a refusal that is written once more while the
// connection is idle, or just before another request's answer. That request gets its own
// answer, and the connection serves no third one.
func TestLateRefusalEndsItsConnection(t *testing.T) {
	for form, refusal := range refusals {
		for name, idle := range map[string]bool{"idle": true, "in use": false} {
			t.Run(form+" "+name, func(t *testing.T) {
				var connections sync.Map
				written := make(chan bool, 1)
				_, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, number int) bool {
					id := request.Header.Get("Request-Id")
					connections.Store(id, conn)
					if number == 1 {
						ok := writeText(conn, refusal, id)
						if idle {
							time.Sleep(20 * time.Millisecond)
							ok = writeText(conn, refusal, id)
						}
						written <- ok
						return ok
					}
					if number == 2 && !idle && !writeText(conn, refusal, "refused") {
						return false
					}
					return writeText(conn, responseText(id, "own answer of "+id), id)
				})
				if answer, err := do(client, "refused", false); err != nil || !answer.NotRun {
					t.Fatalf("%v %v", answer, err)
				}
				if !<-written {
					t.Fatal("the refusal could not be written once more")
				}
				for _, id := range []string{"second", "third"} {
					if answer, err := do(client, id, false); err != nil || answer.NotRun || string(answer.Body) != "own answer of "+id {
						t.Errorf("%s: %v %v", id, answer, err)
					}
				}
				refused, _ := connections.Load("refused")
				second, _ := connections.Load("second")
				third, _ := connections.Load("third")
				if (second == refused) == idle {
					t.Errorf("second request on the same connection: %t", second == refused)
				}
				if third == refused {
					t.Error("the connection was reused after the refusal had been repeated on it")
				}
			})
		}
	}
}

// TestRefusalWithoutIDIsNotBelieved covers a refusal that names no request and is written
// while one runs: it may be that of an earlier request.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 400 No id\r\nNot-Run: 1\r\nRequest-Id:\r\nContent-Length: 0\r\n\r\n",
	} {
		u, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, number int) bool {
			if number == 1 && !writeText(conn, refusal, "") {
				return false
			}
			id := request.Header.Get("Request-Id")
			return writeText(conn, responseText(id, "own answer of "+id), id)
		})
		for _, id := range []string{"a", "b"} {
			if answer, err := do(client, id, false); err != nil || answer.NotRun || string(answer.Body) != "own answer of "+id {
				t.Errorf("%s: %v %v", id, answer, err)
			}
		}
		if n := u.accepted.Load(); n != 2 {
			t.Errorf("%q: %d connections, want a new one after it", refusal, n)
		}
	}
}

// TestRefusingUpstreamKeepsConnections checks that refusals of different ids cost no
// connection each, and that what a connection remembers of them is bounded.
func TestRefusingUpstreamKeepsConnections(t *testing.T) {
	u, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		return writeText(conn, refusals["503"], request.Header.Get("Request-Id"))
	})
	for i := range 2*maxRefusals + 1 {
		if answer, err := do(client, fmt.Sprint("id", i), false); err != nil || !answer.NotRun {
			t.Fatalf("%v %v", answer, err)
		}
	}
	if n := u.accepted.Load(); n != 3 {
		t.Errorf("%d connections for %d refusals, want 3", n, 2*maxRefusals+1)
	}
}

// TestRepeatedIDsDoNotAccumulateConnections covers a caller that sends one id again and again
// while the upstream refuses it: each connection that it avoids is closed.
func TestRepeatedIDsDoNotAccumulateConnections(t *testing.T) {
	u, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		return writeText(conn, refusals["503"], request.Header.Get("Request-Id"))
	})
	const times = 20
	for range times {
		if answer, err := do(client, "a", false); err != nil || !answer.NotRun {
			t.Fatalf("%v %v", answer, err)
		}
	}
	if n := u.accepted.Load(); n != times {
		t.Errorf("%d connections, want one for each of %d times", n, times)
	}
	if n := len(client.pool.idle); n != 1 {
		t.Errorf("%d idle connections, want 1", n)
	}
}

// writeText writes an answer in which ID stands for the id, and reports whether it could.
func writeText(conn net.Conn, text, id string) bool {
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", id))
	return err == nil
}
