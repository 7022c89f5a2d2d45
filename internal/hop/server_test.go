package hop

import (
	"io"
	"net"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestConnectionAcceptedDuringCloseIsClosed covers a connection that is accepted before the
// listener is closed and served after Server.Close: it stayed open, and requests on it ran.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	handler := &testHandler{disconnected: make(chan string, 10)}
	server := NewServer(&hopv1.Hello{Instance: "server"}, handler, nil)
	server.Close()
	accepted, opened := net.Pipe()
	served := make(chan struct{})
	go func() {
		server.serve(accepted)
		close(served)
	}()
	if err := opened.SetReadDeadline(time.Now().Add(resumeLimit)); err != nil {
		t.Fatal(err)
	}
	if _, err := opened.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("got error %v, want that the connection is closed", err)
	}
	<-served
	if len(server.conns) > 0 {
		t.Error("the connection is still registered")
	}
}
