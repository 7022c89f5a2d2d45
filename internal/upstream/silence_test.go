package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
)

// TestOneSilentConnectionClosesTheOthers covers idle connections that have fallen silent
// together: the first request on one of them gets no answer, the next one does.
func TestOneSilentConnectionClosesTheOthers(t *testing.T) {
	u, _ := startRawUpstream(t, func(conn net.Conn, r *http.Request, _ int) bool {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(conn, responseText(r.Header.Get("Request-Id"), "x"))
		return err == nil
	})
	link, err := faultlink.New("127.0.0.1:0", u.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	client := NewClient(testHeaders, testBodyMemory)
	client.SetAddress(link.Address())
	var together sync.WaitGroup
	for _, id := range []string{"a", "b", "c"} {
		together.Add(1)
		go func() {
			defer together.Done()
			if _, err := do(client, id, true); err != nil {
				t.Error(err)
			}
		}()
	}
	together.Wait()
	link.Silence()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, Call{Request: &hopv1.Request{Id: "silent", Method: http.MethodGet, Target: []byte("/"), Host: "h", Idempotent: true}}); err == nil {
		t.Fatal("got an answer on a silent connection")
	}
	client.CloseUnusedSince(sent)
	if _, err := do(client, "next", true); err != nil {
		t.Errorf("the next request: %v", err)
	}
}
