package daemon

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/hop"
	"godwitmount/internal/proxy"
	"godwitmount/internal/store"
)

// pingedPeer is a peer that passes on the pings that it gets.
type pingedPeer struct {
	hop.Handler
	hellos, pings chan struct{}
}

func (p pingedPeer) HelloState() *hopv1.State           { return p.State() }
func (p pingedPeer) State() *hopv1.State                { return &hopv1.State{} }
func (p pingedPeer) DrainRecord(string) *hopv1.Left     { return nil }
func (p pingedPeer) HelloReceived(*hopv1.Hello)         { p.hellos <- struct{}{} }
func (p pingedPeer) StateReceived(string, *hopv1.State) { p.pings <- struct{}{} }
func (p pingedPeer) Disconnected(string, int, error)    {}

// silentStore never answers a watch.
type silentStore struct{ *scriptedStore }

func (s silentStore) Watch(ctx context.Context, _ string, _ store.Position, _ time.Duration) (store.Rows, error) {
	<-ctx.Done()
	return store.Rows{}, ctx.Err()
}

// TestLateWatchChecksPeers covers a connection to the store that has fallen silent: the
// idle ones between daemons may have, too, and are checked before the watch is given up.
func TestLateWatchChecksPeers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := pingedPeer{hellos: make(chan struct{}, 10), pings: make(chan struct{}, 10)}
	server := hop.NewServer(&hopv1.Hello{Instance: "b"}, peer, nil)
	go func() { _ = server.Serve(listener) }()
	log := asynclog.New(io.Discard, "a", zapcore.InfoLevel, 10)
	nothing := proxy.Listener{
		StateReceived:            func(string, *hopv1.State) {},
		ReachabilityChanged:      func(string, bool) {},
		StoreAvailabilityChanged: func(string, bool) {},
		DrainRecordReceived:      func(*hopv1.Left) {},
	}
	d := &Daemon{peers: proxy.NewPeers(control.Member{Instance: "a"}, nothing, nil, log)}
	state := func() *hopv1.State { return &hopv1.State{} }
	d.peers.SetState(state, state)
	d.peers.SetMembers([]control.Member{{Instance: "b", Address: listener.Addr().String()}}, 1)
	t.Cleanup(func() { d.peers.Close(); server.Close(); _ = listener.Close() })
	<-peer.hellos
	// Without a check the peer is pinged 2 s after its handshake.
	ctx, cancel := context.WithTimeout(context.Background(), watchInterval+5*watchLateAfter)
	defer cancel()
	s := silentStore{&scriptedStore{}}
	d.watchOnce(ctx, &tableReader{store: s, synced: true, log: log, addressChanges: &atomic.Int64{}, notify: func(bool) {}}, control.SetStoreWatcher{On: true})
	if len(peer.pings) == 0 {
		t.Error("the peer was not checked while the watch was late")
	}
}
