package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"godwitmount/internal/manifest"
)

// refusalsThatRepeat are the upstreams of a test that each refuse an id once. When it comes
// again, one runs it, and meanwhile writes the refusal once more on the connection on which it
// was written before.
type refusalsThatRepeat struct {
	delay time.Duration

	mu      sync.Mutex
	refused map[string]net.Conn
	runs    map[string]int
}

// upstream returns the function for startRawUpstream of the upstream with the name.
func (u *refusalsThatRepeat) upstream(name string) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Request-Id")
		earlier := u.begin(name, id, conn)
		if earlier == nil {
			return writeRefusal(conn, id)
		}
		time.Sleep(u.delay)
		// The write fails if the daemon has closed the earlier connection.
		_ = writeRefusal(earlier, id)
		time.Sleep(20 * time.Millisecond)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 3\r\n\r\nran", id)
		return err == nil
	}
}

// begin returns the connection on which the upstream refused the id, and counts a run, or nil
// if it is to be refused.
func (u *refusalsThatRepeat) begin(name, id string, conn net.Conn) net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	earlier := u.refused[name+id]
	if earlier == nil {
		u.refused[name+id] = conn
		return nil
	}
	u.runs[id]++
	return earlier
}

func (u *refusalsThatRepeat) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func writeRefusal(conn net.Conn, id string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nRequest-Id: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// TestRepeatedRefusalMakesNoRequestRunTwice covers a caller that sends a request that must not
// run twice once more under its id, after it was refused, and upstreams that write this refusal
// again while they run it.
func TestRepeatedRefusalMakesNoRequestRunTwice(t *testing.T) {
	rule := manifest.RetryRule{Name: "rule", Attempts: 2, BudgetPercent: 100, On: []manifest.RetryOn{manifest.RetryNotRun}}
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		for name, start := range map[string]func(*refusalsThatRepeat) string{
			"local": func(u *refusalsThatRepeat) string {
				_, address := startEntry(t, rule, startRawUpstream(t, u.upstream("a")))
				return address
			},
			"remote": func(u *refusalsThatRepeat) string {
				_, address := startEntry(t, rule, "", startRawUpstream(t, u.upstream("a")))
				return address
			},
			"local and remote": func(u *refusalsThatRepeat) string {
				_, address := startEntry(t, rule, startRawUpstream(t, u.upstream("a")), startRawUpstream(t, u.upstream("b")))
				return address
			},
		} {
			t.Run(fmt.Sprintf("%s, %s", name, delay), func(t *testing.T) {
				u := &refusalsThatRepeat{delay: delay, refused: map[string]net.Conn{}, runs: map[string]int{}}
				address := start(u)
				for i := range 5 {
					expectOneRun(t, u, address, fmt.Sprint("id", i))
				}
			})
		}
	}
}

// expectOneRun sends a request until it is served, and checks that it ran when and only when
// its caller was not told the opposite.
func expectOneRun(t *testing.T, u *refusalsThatRepeat, address, id string) {
	t.Helper()
	const most = 5
	for range most {
		answer, err := callEntry(t, address, http.MethodPost, id)
		if err != nil || !answer.promisesNotRun && answer.status != http.StatusOK {
			t.Fatalf("%s: %+v, error %v", id, answer, err)
		}
		runs := u.runsOf(id)
		if answer.promisesNotRun && runs > 0 {
			t.Errorf("%s: status %d, and it runs", id, answer.status)
		}
		if answer.status == http.StatusOK {
			if runs != 1 {
				t.Errorf("%s: %d runs", id, runs)
			}
			return
		}
	}
	t.Errorf("%s: refused %d times, %d runs", id, most, u.runsOf(id))
}
