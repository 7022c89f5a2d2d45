package daemon

import (
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"
)

// TestRequestOfACallerThatLeftBeforeItWasReadHasEnded covers a busy machine that reads a request
// when its caller has given up and closed the connection: it must not be passed on.
func TestRequestOfACallerThatLeftBeforeItWasReadHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for _, leaves := range []bool{false, true} {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = accepted.Close() }()
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if leaves {
			_ = caller.Close()
			for !closedByPeer(accepted.(*net.TCPConn)) {
				time.Sleep(time.Millisecond)
			}
		}
		r := httptest.NewRequest("GET", "http://h/", nil)
		watched, stop := watchCaller(r.WithContext(withConn(r.Context(), accepted)))
		if ended := watched.Context().Err() != nil; ended != leaves {
			t.Errorf("caller has left: %t, its request has ended: %t", leaves, ended)
		}
		stop()
	}
}
