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
// replaced. Without a check, the idle one takes 3 s or more.
const restoreLimit = 2500 * time.Millisecond

// silentHandler runs each request until it is cancelled.
type silentHandler struct{}

func (silentHandler) Execute(ctx context.Context, _ *hopv1.Request) *hopv1.Frame {
	<-ctx.Done()
	return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{}}}
}
func (silentHandler) Quota(context.Context, string, *hopv1.QuotaRequest) *hopv1.QuotaReply {
	return &hopv1.QuotaReply{}
}
func (silentHandler) Config() *hopv1.ConfigAnswer        { return &hopv1.ConfigAnswer{} }
func (silentHandler) State() *hopv1.State                { return &hopv1.State{} }
func (silentHandler) DrainRecord(string) *hopv1.Left     { return nil }
func (silentHandler) Panicked(any)                       {}
func (silentHandler) Disconnected(string, int, error)    {}
func (silentHandler) HelloReceived(*hopv1.Hello)         {}
func (silentHandler) StateReceived(string, *hopv1.State) {}

// startPeer starts a peer behind a network link.
func startPeer(t *testing.T, instance string) (control.Member, *faultlink.Link) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := hop.NewServer(&hopv1.Hello{Instance: instance}, silentHandler{}, nil)
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
	type change struct {
		instance  string
		reachable bool
	}
	changes := make(chan change, 10)
	log := asynclog.New(io.Discard, "i", zapcore.InfoLevel, 100)
	peers := NewPeers(control.Member{Instance: "i", DataCentre: "a"}, Listener{
		StateReceived:            func(string, *hopv1.State) {},
		StoreAvailabilityChanged: func(string, bool) {},
		DrainRecordReceived:      func(*hopv1.Left) {},
		ReachabilityChanged:      func(instance string, reachable bool) { changes <- change{instance, reachable} },
	}, nil, log)
	state := func() *hopv1.State { return &hopv1.State{} }
	peers.SetState(state, state)
	busy, busyLink := startPeer(t, "busy")
	idle, idleLink := startPeer(t, "idle")
	peers.SetMembers([]control.Member{busy, idle}, 2)
	t.Cleanup(func() { peers.SetMembers(nil, 0) })
	<-changes
	<-changes
	busyLink.Silence()
	idleLink.Silence()
	ctx, cancel := context.WithTimeout(context.Background(), restoreLimit)
	defer cancel()
	go func() { _, _ = peers.get("busy").send(ctx, &hopv1.Request{Id: "r"}, func() bool { return true }) }()
	back := map[string]bool{}
	for !back["busy"] || !back["idle"] {
		select {
		case c := <-changes:
			back[c.instance] = c.reachable
		case <-ctx.Done():
			t.Fatalf("reachable again: %v", back)
		}
	}
}
