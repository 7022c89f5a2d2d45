package hop

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
)

// unreadTime is how long a daemon does not come to read from its connections in a test. It
// exceeds the read timeout.
const unreadTime = 2 * minTimeout

// heldReader keeps the goroutines that read connections from going on once hold is set, until
// release is closed.
type heldReader struct {
	hold          atomic.Bool
	held, release chan struct{}
}

func newHeldReader() *heldReader {
	return &heldReader{held: make(chan struct{}, 10), release: make(chan struct{})}
}

func (r *heldReader) stateReceived(*hopv1.State) {
	if !r.hold.Load() {
		return
	}
	select {
	case r.held <- struct{}{}:
	default:
	}
	<-r.release
}

// TestPeerWhoseDataIsUnreadIsNotSilent covers a daemon that has no processor time to read
// what its peer has answered, while its timers go on: the requests in flight there must not be
// given up, nor their connection be replaced.
func TestPeerWhoseDataIsUnreadIsNotSilent(t *testing.T) {
	reader := newHeldReader()
	handler, _, client, down := startPairWith(t, nil, nil, func(hooks *Hooks) { hooks.StateReceived = reader.stateReceived })
	reader.hold.Store(true)
	silent := make(chan struct{}, 1)
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), &hopv1.Request{Id: "held"}, func() <-chan struct{} {
			silent <- struct{}{}
			return nil
		})
		ended <- err
	}()
	<-handler.started
	<-reader.held
	time.Sleep(unreadTime)
	close(reader.release)
	handler.release <- struct{}{}
	if err := <-ended; err != nil {
		t.Errorf("the request ended with %v", err)
	}
	if len(silent) > 0 || len(down) > 0 {
		t.Error("the peer counted as silent")
	}
	if n := client.Resumptions(); n > 0 {
		t.Errorf("the connection was replaced %d times", n)
	}
}

// TestConnectionWithUnreadDataIsNotReplaced covers a second connection that completes its
// handshake while an answer of the first has arrived and was not read. The peer does not keep
// large answers that it has sent: with the first connection this one would be lost.
func TestConnectionWithUnreadDataIsNotReplaced(t *testing.T) {
	reader := newHeldReader()
	handler, network, client, _ := startPairWith(t, nil, nil, func(hooks *Hooks) { hooks.StateReceived = reader.stateReceived })
	reader.hold.Store(true)
	defer close(reader.release)
	handler.server.Broadcast(&hopv1.State{})
	<-reader.held
	handler.server.Broadcast(&hopv1.State{})
	first := client.conn.Load()
	for !first.hasUnread() {
		time.Sleep(time.Millisecond)
	}
	opened, err := net.Dial("tcp", network.Address())
	if err != nil {
		t.Fatal(err)
	}
	second, err := client.begin(opened, first, client.now())
	if err != nil {
		t.Fatal(err)
	}
	defer second.close()
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.retire(second) {
		t.Error("the connection with unread data was replaced")
	}
}

// TestPeerWhoseDataIsUnreadHasNotVanished covers a daemon that does not come to read what a peer
// sends for so long that the peer would count as vanished: its requests must not be cancelled.
func TestPeerWhoseDataIsUnreadHasNotVanished(t *testing.T) {
	t.Parallel()
	handler, network, _, _ := startPair(t)
	peer := dialRaw(t, network, 7)
	peer.request(t, 1, "held")
	<-handler.started
	hold := make(chan struct{})
	handler.holdStates.Store(&hold)
	ping := &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: &hopv1.State{}}}}
	peer.send(t, ping)
	for handler.states.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	peer.send(t, ping)
	time.Sleep(vanishedAfter + unreadTime)
	close(hold)
	if n := len(handler.cancelled); n > 0 {
		t.Errorf("%d requests of the peer were cancelled", n)
	}
}

// TestPeerThatGotNoPingIsNotSilent covers a daemon whose timers go on while the goroutine that
// writes to a connection does not run: the ping has not left, and its answer is not overdue.
func TestPeerThatGotNoPingIsNotSilent(t *testing.T) {
	_, network, client, _ := startPair(t)
	opened, err := net.Dial("tcp", network.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	// A connection without the goroutine that writes.
	pc := &peerConn{conn: opened, out: newOutbox(), done: ctx.Done(), cancel: cancel, epoch: time.Now()}
	pc.parts = newPartSender(ctx, nil, pc.put, pc.out.awaitRoom)
	pc.grants = newPartGranter(nil, pc.send)
	conn := &clientConn{peerConn: pc, retired: make(chan struct{}), wake: make(chan struct{}, 1)}
	c := &Client{
		hooks: client.hooks, open: map[*clientConn]bool{conn: true}, pending: map[uint64]*pendingRequest{1: {}},
		cancelled: map[uint64]bool{}, silence: make(chan struct{}),
	}
	c.pendingSince.Store(int64(c.now()))
	c.conn.Store(conn)
	for end := time.Now().Add(unreadTime); time.Now().Before(end); time.Sleep(busyCheckInterval) {
		if idle := c.checkIdle(conn, busyPingAfter, true); idle > 0 {
			t.Fatalf("the peer counts as silent after %s although the ping has not left", idle)
		}
	}
}

// TestReaderThatIsStuckLosesItsPeer covers a daemon that never comes to read: its peers do not
// count as there for good.
func TestReaderThatIsStuckLosesItsPeer(t *testing.T) {
	t.Parallel()
	reader := newHeldReader()
	handler, _, client, _ := startPairWith(t, nil, nil, func(hooks *Hooks) { hooks.StateReceived = reader.stateReceived })
	defer close(reader.release)
	reader.hold.Store(true)
	silent := make(chan struct{}, 1)
	go func() {
		_, _ = client.Do(context.Background(), &hopv1.Request{Id: "held"}, func() <-chan struct{} {
			silent <- struct{}{}
			return giveUpAtOnce()
		})
	}()
	<-handler.started
	select {
	case <-silent:
	case <-time.After(2 * heldUpLimit):
		t.Error("the peer is not silent for a reader that is stuck")
	}
}

// TestUnreadResumeIsAwaited covers an executing daemon that has noticed the reset of a peer's
// connection, and has not come to read the Resume that follows on another one within resumeGrace.
func TestUnreadResumeIsAwaited(t *testing.T) {
	handler, network, client, _ := startPair(t)
	result := start(context.Background(), client, &hopv1.Request{Id: "held"})
	<-handler.started
	hold := make(chan struct{})
	handler.holdHellos.Store(&hold)
	network.SetFault(faultlink.Reset)
	<-handler.disconnected
	network.SetFault(faultlink.None)
	<-handler.heldHellos
	select {
	case cause := <-handler.causes:
		t.Errorf("the request was cancelled while the Resume was unread: %v", cause)
	case <-time.After(resumeGrace + unreadResumeLimit/2):
	}
	close(hold)
	handler.release <- struct{}{}
	if got := <-result; got.err != nil || got.frame.GetAnswer() == nil {
		t.Errorf("got %v, error %v", got.frame, got.err)
	}
}
