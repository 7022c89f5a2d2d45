package proxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/hop"
	"godwitmount/internal/shaping"
)

// restoreLimit is how long connections that fell silent together may take to be
// replaced. Without a check, the idle one takes 2.1 s or more.
const restoreLimit = 1500 * time.Millisecond

// silentHandler runs each request until it is cancelled. It passes on that a peer has
// connected.
type silentHandler struct {
	instance  string
	connected chan<- string
}

func (silentHandler) Execute(ctx context.Context, _ *hopv1.Request) *hopv1.Frame {
	<-ctx.Done()
	return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{}}}
}
func (silentHandler) Quota(context.Context, string, *hopv1.QuotaRequest) *hopv1.QuotaReply {
	return &hopv1.QuotaReply{}
}
func (silentHandler) Config() *hopv1.ConfigAnswer    { return &hopv1.ConfigAnswer{} }
func (silentHandler) State() *hopv1.State            { return &hopv1.State{TakesWork: true} }
func (silentHandler) DrainRecord(string) *hopv1.Left { return nil }
func (silentHandler) RefuseTransfer(string, int, time.Duration) *hopv1.Frame {
	return &hopv1.Frame{}
}
func (silentHandler) Panicked(any)                                       {}
func (silentHandler) Disconnected(string, int, error)                    {}
func (silentHandler) Resumed(string, int, int)                           {}
func (silentHandler) RolloutReportReceived(string, *hopv1.RolloutReport) {}
func (h silentHandler) HelloState() *hopv1.State                         { return h.State() }
func (h silentHandler) HelloReceived(*hopv1.Hello)                       { h.connected <- h.instance }
func (silentHandler) StateReceived(string, *hopv1.State)                 {}

// startPeer starts a peer behind a network link. Each connection to it sends its instance
// to connected.
func startPeer(t *testing.T, instance string, connected chan<- string) (control.Member, *faultlink.Link) {
	t.Helper()
	return startPeerWith(t, instance, silentHandler{instance, connected})
}

func startPeerWith(t *testing.T, instance string, handler hop.Handler) (control.Member, *faultlink.Link) {
	t.Helper()
	return startPeerOn(t, instance, handler, nil)
}

// startPeerOn is startPeerWith for a peer whose machine has a network link.
func startPeerOn(t *testing.T, instance string, handler hop.Handler, machine *shaping.Link) (control.Member, *faultlink.Link) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := hop.NewServer(&hopv1.Hello{Instance: instance}, handler, machine)
	go func() { _ = server.Serve(listener) }()
	link, err := faultlink.New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { link.Close(); _ = listener.Close(); server.Close() })
	return control.Member{Instance: instance, DataCentre: "a", Address: link.Address()}, link
}

// newTestPeers returns a set of peers whose listener ignores all that is reported.
func newTestPeers(t *testing.T) *Peers {
	t.Helper()
	log := asynclog.New(io.Discard, "i", zapcore.InfoLevel, 100)
	peers := NewPeers(control.Member{Instance: "i", DataCentre: "a"}, Listener{
		StateReceived:            func(string, *hopv1.State) {},
		StoreAvailabilityChanged: func(string, bool) {},
		DrainRecordReceived:      func(*hopv1.Left) {},
		ReachabilityChanged:      func(string, bool) {},
	}, nil, log)
	state := func() *hopv1.State { return &hopv1.State{} }
	peers.SetState(state, state)
	t.Cleanup(peers.Close)
	return peers
}

// giveUpAtOnce gives a request up when its peer falls silent, waitForPeer does not.
func giveUpAtOnce() <-chan struct{} { return closedChannel() }

func closedChannel() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

func waitForPeer() <-chan struct{} { return nil }

// TestSilenceOfOnePeerChecksIdleConnections covers connections that fall silent
// together: the one in use shows it, and the idle one must not wait for its next ping.
func TestSilenceOfOnePeerChecksIdleConnections(t *testing.T) {
	connected := make(chan string, 10)
	peers := newTestPeers(t)
	busy, busyLink := startPeer(t, "busy", connected)
	idle, idleLink := startPeer(t, "idle", connected)
	peers.SetMembers([]control.Member{busy, idle}, 2)
	<-connected
	<-connected
	for peers.UsablePeers() < 2 {
		time.Sleep(time.Millisecond)
	}
	busyLink.Silence()
	idleLink.Silence()
	ctx, cancel := context.WithTimeout(context.Background(), restoreLimit)
	defer cancel()
	go func() { _, _ = peers.get("busy").send(ctx, &hopv1.Request{Id: "r"}, giveUpAtOnce) }()
	replaced := map[string]bool{}
	for !replaced["busy"] || !replaced["idle"] {
		select {
		case instance := <-connected:
			replaced[instance] = true
		case <-ctx.Done():
			t.Fatalf("connected again: %v", replaced)
		}
	}
}

// releasedHandler runs each request until it is released or cancelled.
type releasedHandler struct {
	silentHandler
	started, release chan struct{}
}

func (h releasedHandler) Execute(ctx context.Context, _ *hopv1.Request) *hopv1.Frame {
	h.started <- struct{}{}
	select {
	case <-h.release:
		return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200}}}
	case <-ctx.Done():
		return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{}}}
	}
}

// TestPeerThatIsNoLongerConnectedToKeepsItsRequests covers a request that runs at a peer
// which is dropped from the members to connect to, as when others join.
func TestPeerThatIsNoLongerConnectedToKeepsItsRequests(t *testing.T) {
	handler := releasedHandler{silentHandler{"b", make(chan string, 10)}, make(chan struct{}, 1), make(chan struct{}, 1)}
	member, _ := startPeerWith(t, "b", handler)
	peers := newTestPeers(t)
	peers.SetMembers([]control.Member{member}, 1)
	for peers.UsablePeers() < 1 {
		time.Sleep(time.Millisecond)
	}
	type outcome struct {
		frame *hopv1.Frame
		err   error
	}
	result := make(chan outcome, 1)
	go func() {
		frame, err := peers.get("b").send(context.Background(), &hopv1.Request{Id: "r"}, waitForPeer)
		result <- outcome{frame, err}
	}()
	<-handler.started
	dropped := peers.get("b")
	peers.SetMembers(nil, 1)
	if peers.get("b") != nil {
		t.Error("the peer is still used")
	}
	time.Sleep(2 * retiredCheckInterval)
	handler.release <- struct{}{}
	if got := <-result; got.err != nil || got.frame.GetAnswer().GetStatus() != 200 {
		t.Errorf("got %v, error %v", got.frame, got.err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if err := dropped.client.PushState(context.Background(), nil); err != nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the connection stays open without requests")
		}
	}
}
