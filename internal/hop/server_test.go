package hop

import (
	"context"
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
	if err := opened.SetReadDeadline(time.Now().Add(resumeLimit)); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		server.serve(accepted)
		close(served)
	}()
	if _, err := opened.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("got error %v, want that the connection is closed", err)
	}
	<-served
	if len(server.conns) > 0 {
		t.Error("the connection is still registered")
	}
}

// TestWrittenReplyOutlivesTheCloseOfItsServer covers a peer that pings while the last reply
// is on its way: data for a closed connection resets that, and the reply is discarded.
func TestWrittenReplyOutlivesTheCloseOfItsServer(t *testing.T) {
	handler := &testHandler{cancelled: make(chan string, 10), disconnected: make(chan string, 10),
		started: make(chan string, 10), release: make(chan struct{}, 10)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := NewServer(&hopv1.Hello{Instance: "server"}, handler, nil)
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// The reply does not fit in what the system takes for the peer.
	if err := conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	send := func(frame *hopv1.Frame) {
		encoded, err := encode(frame)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(encoded)
	}
	send(&hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "client", Session: 7}}})
	send(&hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Request{Request: &hopv1.Request{Id: "large", RemainingMs: 10000}}})
	<-handler.started
	for end := time.Now().Add(resumeLimit); !server.AllReplied(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the reply is not written")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), resumeLimit)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		server.CloseGently(ctx)
		server.Close()
		close(closed)
	}()
	time.Sleep(20 * time.Millisecond)
	send(&hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{}}})
	time.Sleep(20 * time.Millisecond)
	received, err := io.ReadAll(conn)
	if len(received) < largeBody || err != nil {
		t.Errorf("%d bytes of the reply were received, %v", len(received), err)
	}
	_ = conn.Close()
	<-closed
	if ctx.Err() != nil {
		t.Error("the server waits for a peer that has closed its connection")
	}
}
