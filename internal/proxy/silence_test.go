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
func (silentHandler) Config() *hopv1.ConfigAnswer                        { return &hopv1.ConfigAnswer{} }
func (silentHandler) State() *hopv1.State                                { return &hopv1.State{TakesWork: true} }
func (silentHandler) DrainRecord(string) *hopv1.Left                     { return nil }
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := hop.NewServer(&hopv1.Hello{Instance: instance}, silentHandler{instance, connected}, nil)
	go func() { _ = server.Serve(listener) }()
	link, err := faultlink.New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { link.Close(); _ = listener.Close(); server.Close() })
	return control.Member{Instance: instance, DataCentre: "a", Address: link.Address()}, link
}

// TestSilenceOfOnePeerChecksIdleConnections covers connections that fall silent
// together: the one in use shows it, and the idle one must not wait for its next ping.
func TestSilenceOfOnePeerChecksIdleConnections(t *testing.T) {
	connected := make(chan string, 10)
	log := asynclog.New(io.Discard, "i", zapcore.InfoLevel, 100)
	peers := NewPeers(control.Member{Instance: "i", DataCentre: "a"}, Listener{
		StateReceived:            func(string, *hopv1.State) {},
		StoreAvailabilityChanged: func(string, bool) {},
		DrainRecordReceived:      func(*hopv1.Left) {},
		ReachabilityChanged:      func(string, bool) {},
	}, nil, log)
	state := func() *hopv1.State { return &hopv1.State{} }
	peers.SetState(state, state)
	busy, busyLink := startPeer(t, "busy", connected)
	idle, idleLink := startPeer(t, "idle", connected)
	peers.SetMembers([]control.Member{busy, idle}, 2)
	t.Cleanup(peers.Close)
	<-connected
	<-connected
	for peers.UsablePeers() < 2 {
		time.Sleep(time.Millisecond)
	}
	busyLink.Silence()
	idleLink.Silence()
	ctx, cancel := context.WithTimeout(context.Background(), restoreLimit)
	defer cancel()
	go func() { _, _ = peers.get("busy").send(ctx, &hopv1.Request{Id: "r"}, func() bool { return true }) }()
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
