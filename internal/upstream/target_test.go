package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestTargetIsForwardedUnchanged covers targets that look like something else to a URL.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var target string
	_, client := startRawUpstream(t, func(conn net.Conn, request *http.Request, _ int) bool {
		target = request.RequestURI
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	for _, want := range []string{"/a", "//a/b", "///a", "/a//b", "/a?b#c", "/%2e%2e/a", "/a:b", "http://h/a", "*", "/a?", "/\x80"} {
		target = ""
		_, err := client.Do(ctx, Call{
			Request:      &hopv1.Request{Id: "a", Method: http.MethodOptions, Target: []byte(want), Host: "h"},
			ExtraHeaders: []*hopv1.Header{{Name: "Request-Id", Value: []byte("a")}},
		})
		if err != nil || target != want {
			t.Errorf("target %q arrived as %q, error %v", want, target, err)
		}
	}
	for _, odd := range []string{"/a HTTP/1.1\r\nX: y", "/a b", "/a\n", "/a\x00", "/a\x7f"} {
		_, err := client.Do(ctx, Call{Request: &hopv1.Request{Id: "a", Method: http.MethodGet, Target: []byte(odd), Host: "h"}})
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("target %q: error %v, want ErrNotSent", odd, err)
		}
	}
}
