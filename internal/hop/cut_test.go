package hop

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// uncut is the number of bytes after which a cuttingLink that is not armed cuts.
const uncut = 1 << 40

// cuttingLink forwards connections and ends the one on which a certain byte from the target
// would be the next.
type cuttingLink struct {
	listener net.Listener
	target   string
	// left is the number of bytes from the target until the cut, which happens once.
	left atomic.Int64
	// cut is set once that has happened.
	cut   atomic.Bool
	reset bool
}

// startCuttingLink starts to forward connections to the target.
func startCuttingLink(t *testing.T, target string, reset bool) *cuttingLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &cuttingLink{listener: listener, target: target, reset: reset}
	l.left.Store(uncut)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client)
		}
	}()
	return l
}

// arm makes the link cut after the number of bytes from the target.
func (l *cuttingLink) arm(bytes int) {
	l.cut.Store(false)
	l.left.Store(int64(bytes))
}

func (l *cuttingLink) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		// A failed copy ends the connection, which is what is tested.
		_, _ = server.(*net.TCPConn).ReadFrom(client)
		_ = server.Close()
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := server.Read(buffer)
		if err != nil {
			return
		}
		// Counted first: the test sets left again as soon as the client has got its data.
		left := l.left.Add(-int64(n))
		kept := max(int64(n)+min(left, 0), 0)
		if _, err := client.Write(buffer[:kept]); err != nil {
			return
		}
		if left < 0 {
			l.left.Store(uncut)
			l.cut.Store(true)
			if l.reset {
				_ = client.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// startCutPair starts a server and a client that connects to it on a link, and returns the
// function that waits for the next handshake.
func startCutPair(t *testing.T, reset bool) (*testHandler, *cuttingLink, *Client, func()) {
	t.Helper()
	handler := &testHandler{cancelled: make(chan string, 10), disconnected: make(chan string, 100000)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(&hopv1.Hello{Instance: "server"}, handler, nil)
	go func() { _ = server.Serve(listener) }()
	link := startCuttingLink(t, listener.Addr().String(), reset)
	up := make(chan struct{}, 100000)
	begin := time.Now()
	client := NewClient(link.listener.Addr().String(), &hopv1.Hello{Instance: "client"}, Hooks{
		Instance:            "server",
		Up:                  func() { up <- struct{}{} },
		Down:                func(error) {},
		StateReceived:       func(*hopv1.State) {},
		DrainRecord:         func() *hopv1.Left { return nil },
		DrainRecordReceived: func(*hopv1.Left) {},
		HelloState:          func() *hopv1.State { return &hopv1.State{} },
		State:               func() *hopv1.State { return &hopv1.State{} },
		AdaptiveTimeout:     &AdaptiveTimeout{},
		Now:                 func() time.Duration { return time.Since(begin) },
	})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		_ = listener.Close()
	})
	return handler, link, client, func() {
		t.Helper()
		select {
		case <-up:
		case <-time.After(resumeLimit):
			t.Fatal("the client did not connect")
		}
	}
}

// TestReplyCutAnywhereIsWholeOrLost covers a connection between daemons that ends anywhere in a
// reply, also in one that is sent in parts: the request gets the whole answer or none, and
// runs once.
func TestReplyCutAnywhereIsWholeOrLost(t *testing.T) {
	for name, c := range map[string]struct {
		id, body string
		// step is the distance between two cuts in bytes.
		step int
	}{
		"small": {"a request with an id of some length", "a request with an id of some length", 1},
		"parts": {"large", string(make([]byte, largeBody)), 6133},
	} {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+" "+end, func(t *testing.T) {
				handler, link, client, awaitUp := startCutPair(t, reset)
				awaitUp()
				cuts, answered := 0, 0
				for cut := 0; ; cut += c.step {
					link.arm(cut)
					before := handler.runs.Load()
					frame, err := client.Do(context.Background(), &hopv1.Request{Id: c.id, RemainingMs: 5000}, never)
					switch {
					case err == nil && !bytes.Equal(frame.GetAnswer().GetBody(), []byte(c.body)):
						t.Errorf("cut after %d bytes: a body of %d bytes, want %d", cut, len(frame.GetAnswer().GetBody()), len(c.body))
					case err == nil:
						answered++
					case !errors.Is(err, ErrConnectionLost):
						t.Errorf("cut after %d bytes: %v", cut, err)
					}
					if runs := handler.runs.Load() - before; runs != 1 {
						t.Errorf("cut after %d bytes: %d runs", cut, runs)
					}
					if !link.cut.Load() {
						link.arm(uncut)
						break
					}
					cuts++
					awaitUp()
				}
				t.Logf("%d cuts, %d answered", cuts, answered)
				if cuts*c.step < len(c.body)/2 {
					t.Errorf("%d cuts: the reply was not cut in its body", cuts)
				}
			})
		}
	}
}
