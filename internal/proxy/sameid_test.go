package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"godwitmount/internal/manifest"
)

// TestNestedRequestFindsTheOtherRunOfItsParentsID covers a caller that sends a request again
// under its id while it runs: when one of the two runs ends, the nested requests of the other
// must still be known as such, or a daemon that stops would refuse them.
func TestNestedRequestFindsTheOtherRunOfItsParentsID(t *testing.T) {
	for _, firstEnds := range []bool{true, false} {
		t.Run(fmt.Sprintf("first ends: %t", firstEnds), func(t *testing.T) {
			begun := make(chan chan bool, 2)
			upstreamAddress := startRawUpstream(t, func(conn net.Conn, request *http.Request) bool {
				id := request.Header.Get("Request-Id")
				if id == "p" {
					end := make(chan bool)
					begun <- end
					<-end
				}
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", id)
				return err == nil
			})
			entry := newProxyBeside(t, upstreamAddress, manifest.RetryRule{Name: "rule", Attempts: 1})
			server := httptest.NewServer(entry.Handler())
			defer server.Close()
			address := server.Listener.Addr().String()
			entry.cfg.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "."); return parent }
			answered := make(chan int, 2)
			send := func() {
				answer, _ := callEntry(t, address, http.MethodPost, "p")
				answered <- answer.status
			}
			go send()
			first := <-begun
			go send()
			second := <-begun
			ends, other := first, second
			if !firstEnds {
				ends, other = second, first
			}
			ends <- true
			if got := <-answered; got != http.StatusOK {
				t.Fatalf("the run that ended: status %d", got)
			}
			entry.CloseEntry()
			if answer, err := callEntry(t, address, http.MethodGet, "p.1"); err != nil || answer.status != http.StatusOK {
				t.Errorf("nested request: %+v, error %v", answer, err)
			}
			other <- true
			if got := <-answered; got != http.StatusOK {
				t.Errorf("the other run: status %d", got)
			}
			if answer, err := callEntry(t, address, http.MethodGet, "p.2"); err != nil || answer.status != http.StatusServiceUnavailable {
				t.Errorf("request whose parent has ended: %+v, error %v", answer, err)
			}
		})
	}
}

// TestNestedRequestBelongsToARunThatIsAwaited covers two runs of one id of which one was
// abandoned: the nested requests must not end with it.
func TestNestedRequestBelongsToARunThatIsAwaited(t *testing.T) {
	requests := &runningRequests{}
	first, second := requests.add("p", false), requests.add("p", false)
	if requests.get("p") != second {
		t.Error("the latest run is not found")
	}
	second.abandon()
	if requests.get("p") != first {
		t.Error("the run that is awaited is not found")
	}
	first.abandon()
	if requests.get("p") != second {
		t.Error("no run is found when both were abandoned")
	}
	requests.remove("p", first)
	requests.remove("p", second)
	if requests.get("p") != nil || len(requests.byID) != 0 {
		t.Error("runs are left after their end")
	}
}
