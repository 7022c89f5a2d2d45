package hop

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// dialTo returns a client of the instance "server" at the listener's address.
func dialTo(t *testing.T, listener net.Listener) *Client {
	t.Helper()
	start := time.Now()
	state := func() *hopv1.State { return &hopv1.State{} }
	client := NewClient(listener.Addr().String(), &hopv1.Hello{Instance: "client"}, Hooks{
		Instance: "server", Up: func() {}, Down: func(error) {}, StateReceived: func(*hopv1.State) {},
		DrainRecord: func() *hopv1.Left { return nil }, DrainRecordReceived: func(*hopv1.Left) {},
		HelloState: state, State: state, AdaptiveTimeout: &AdaptiveTimeout{},
		Now: func() time.Duration { return time.Since(start) },
	})
	t.Cleanup(client.Close)
	return client
}

// acceptHello accepts a connection of a client and completes the handshake.
func acceptHello(t *testing.T, listener net.Listener) *rawPeer {
	t.Helper()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(resumeLimit)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	peer := &rawPeer{conn, bufio.NewReader(conn)}
	session := peer.receive(t).GetHello().GetSession()
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "server", Session: session, TakesParts: true}}})
	return peer
}

// TestSecondConnectionEndsBeforeItsResumeIsAnswered covers a second connection that has
// replaced a silent one and is lost before the peer has answered its Resume. The client
// waited for the end of the silent one and never connected again.
func TestSecondConnectionEndsBeforeItsResumeIsAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	client := dialTo(t, listener)
	_ = acceptHello(t, listener)
	for client.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	result := start(context.Background(), client, &hopv1.Request{Id: "a"})
	second := acceptHello(t, listener)
	if resume := second.receive(t).GetResume(); len(resume.GetSessions()) != 1 {
		t.Errorf("the second connection begins with %v, want a Resume of one session", resume)
	}
	_ = second.Close()
	third := acceptHello(t, listener)
	resume := third.receive(t).GetResume()
	if len(resume.GetSessions()) != 2 || len(resume.GetWanted()) != 1 {
		t.Fatalf("the third connection begins with %v, want a Resume of two sessions and one request", resume)
	}
	third.send(t, &hopv1.Frame{Body: &hopv1.Frame_Resumed{Resumed: &hopv1.Resumed{}}})
	third.send(t, &hopv1.Frame{Stream: resume.Wanted[0], Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Body: []byte("a")}}})
	expectAnswer(t, result, "a")
}

// TestLargeResumeIsNotOvertaken covers a connection that is replaced with so many requests
// in flight that its Resume exceeds the size of a part. A request that was sent next
// arrived first, was not among the wanted ones and was cancelled.
func TestLargeResumeIsNotOvertaken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	client := dialTo(t, listener)
	_ = acceptHello(t, listener)
	for client.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	const inFlight = 2000
	client.mu.Lock()
	client.lastStream = 1 << 30 // Its streams have five bytes each.
	client.mu.Unlock()
	for range inFlight {
		start(context.Background(), client, &hopv1.Request{Id: "a"})
	}
	for pending := 0; pending < inFlight; time.Sleep(time.Millisecond) {
		client.mu.Lock()
		pending = len(client.pending)
		client.mu.Unlock()
	}
	second := acceptHello(t, listener)
	first := second.receive(t)
	if wanted := len(first.GetResume().GetWanted()); wanted != inFlight {
		t.Errorf("the connection begins with %T of %d wanted streams, want a Resume of %d", first.Body, wanted, inFlight)
	}
}

// TestReplacedConnectionTakesNoWakeUp covers a check that is asked for while the monitor of
// a replaced connection has not ended yet. That one took the wake-up in half of the cases,
// and a check of the new connection came up to 2 s later.
func TestReplacedConnectionTakesNoWakeUp(t *testing.T) {
	client, _ := acceptClient(t, 0, Hooks{})
	for range 100 {
		replaced := &clientConn{peerConn: client.conn.Load().peerConn, retired: make(chan struct{}), wake: make(chan struct{}, 1)}
		close(replaced.retired)
		current := &clientConn{wake: make(chan struct{}, 1)}
		c := &Client{hooks: client.hooks, open: map[*clientConn]bool{replaced: true, current: true}}
		c.Check()
		c.monitor(replaced)
		if len(current.wake) == 0 {
			t.Fatal("the monitor of the new connection is not woken")
		}
	}
}

// TestBusyReplacedConnectionDoesNotSuppressWakeUps covers a check that is asked for after a
// connection was replaced whose monitor checked often. The new monitor may have found the
// client idle.
func TestBusyReplacedConnectionDoesNotSuppressWakeUps(t *testing.T) {
	replaced, current := &clientConn{wake: make(chan struct{}, 1)}, &clientConn{wake: make(chan struct{}, 1)}
	replaced.polling.Store(true)
	c := &Client{hooks: Hooks{Now: func() time.Duration { return 0 }}, open: map[*clientConn]bool{replaced: true, current: true}}
	c.Check()
	if len(current.wake) == 0 {
		t.Error("the monitor of the new connection is not woken")
	}
}
