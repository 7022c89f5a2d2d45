package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// cancellingConn calls cancel when the first data has been read.
type cancellingConn struct {
	net.Conn
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (c cancellingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.cancel()
	}
	return n, err
}

// TestRequestIsNotCutOffByTheCancellationOfTheOneBefore covers a request whose context ends as
// its whole answer has just been read: its connection is about to be reset, and must not carry
// another request.
func TestRequestIsNotCutOffByTheCancellationOfTheOneBefore(t *testing.T) {
	for range 100 {
		u, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
			_, err := io.WriteString(conn, responseText(request.Header.Get("Request-Id"), "x"))
			return err == nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		inner, err := net.Dial("tcp", u.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		client.pool.put(newConn(cancellingConn{inner, cancel}, u.listener.Addr().String()))
		first := Call{
			Request:      &hopv1.Request{Id: "first", Method: http.MethodGet, Target: []byte("/"), Host: "h", Idempotent: true},
			ExtraHeaders: []*hopv1.Header{{Name: testHeaders.RequestID, Value: []byte("first")}},
		}
		if answer, err := client.Do(ctx, first); err != nil || answer.Status != http.StatusOK {
			t.Errorf("the first request got %v, error %v", answer, err)
		}
		if c, _ := client.pool.take(); c != nil {
			t.Error("a connection that is about to be reset is kept for another request")
			client.pool.put(c)
		}
		if answer, err := do(client, "second", false); err != nil || answer.Status != http.StatusOK {
			t.Fatalf("the second request got %v, error %v", answer, err)
		}
	}
}
