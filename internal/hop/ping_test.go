package hop

import (
	"net"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
)

// TestPongComesWithTheTimeOfItsPing covers pings that follow each other faster than they
// are answered. The time that is given with each state must be that of the ping which
// the peer answered by it: a later one would make the state look younger than it is.
func TestPongComesWithTheTimeOfItsPing(t *testing.T) {
	handler := &testHandler{cancelled: make(chan string, 10), disconnected: make(chan string, 10)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(&hopv1.Hello{Instance: "server"}, handler, nil)
	go func() { _ = server.Serve(listener) }()
	network, err := faultlink.New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	up, sentTimes := make(chan struct{}, 10), make(chan time.Duration, 100)
	client := NewClient(network.Address(), &hopv1.Hello{Instance: "client"}, Hooks{
		Instance:            "server",
		Up:                  func() { up <- struct{}{} },
		Down:                func(error) {},
		StateReceived:       func(*hopv1.State) {},
		DrainRecord:         func() *hopv1.Left { return nil },
		DrainRecordReceived: func(*hopv1.Left) {},
		HelloState:          func() *hopv1.State { return &hopv1.State{} },
		State:               func() *hopv1.State { return &hopv1.State{} },
		AdaptiveTimeout:     &AdaptiveTimeout{},
		Now:                 func() time.Duration { return time.Since(start) },
		PingClock:           func() time.Duration { return time.Since(start) },
		PongReceived:        func(_ *hopv1.State, sent time.Duration) { sentTimes <- sent },
	})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		network.Close()
		_ = listener.Close()
	})
	<-up
	// No ping is answered until all calls are made, however long the machine takes for them.
	network.SetFault(faultlink.Blocked)
	var asked []time.Duration
	for range maxUnansweredPings {
		asked = append(asked, time.Since(start))
		client.RequestState()
		time.Sleep(5 * time.Millisecond)
	}
	client.RequestState() // More than may be unanswered: not sent.
	if unanswered := client.conn.Load().pings.unanswered(); unanswered != maxUnansweredPings {
		t.Errorf("%d pings are unanswered, want %d", unanswered, maxUnansweredPings)
	}
	network.SetFault(faultlink.None)
	for i, at := range asked {
		select {
		case sent := <-sentTimes:
			if sent < at || i+1 < len(asked) && sent >= asked[i+1] {
				t.Errorf("pong %d: ping of %s, asked at %v", i, sent, asked)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d pongs", i, len(asked))
		}
	}
	select {
	case sent := <-sentTimes:
		t.Errorf("one more pong, to a ping of %s", sent)
	case <-time.After(200 * time.Millisecond):
	}
}
