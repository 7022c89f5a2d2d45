package proxy

import (
	"context"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/faultlink"
)

// runningHandler is silentHandler and passes on that a request starts and ends.
type runningHandler struct {
	silentHandler
	started, ended chan struct{}
}

func (h runningHandler) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	h.started <- struct{}{}
	defer func() { h.ended <- struct{}{} }()
	return h.silentHandler.Execute(ctx, request)
}

// startRequest starts a request at a peer. Ended receives a value when it has ended there;
// leave cancels it and waits until this daemon has given it up.
func startRequest(t *testing.T) (peers *Peers, network *faultlink.Link, ended <-chan struct{}, leave func()) {
	t.Helper()
	handler := runningHandler{silentHandler{"p", make(chan string, 10)}, make(chan struct{}, 1), make(chan struct{}, 1)}
	member, network := startPeerWith(t, "p", handler)
	peers = newTestPeers(t)
	peers.SetMembers([]control.Member{member}, 1)
	for peers.UsablePeers() < 1 {
		time.Sleep(time.Millisecond)
	}
	p := peers.get("p")
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		_, _ = p.send(ctx, &hopv1.Request{Id: "r"}, giveUpAtOnce)
		close(returned)
	}()
	<-handler.started
	return peers, network, handler.ended, func() { cancel(); <-returned }
}

// expectNoneRetired waits until the connections to all dropped peers are closed, long before
// maxRetiredTime.
func expectNoneRetired(t *testing.T, peers *Peers) {
	t.Helper()
	for end := time.Now().Add(maxRetiredTime / 2); ; time.Sleep(time.Millisecond) {
		peers.mu.RLock()
		left := len(peers.retired)
		peers.mu.RUnlock()
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the connection to a dropped peer is still open")
		}
	}
}

// TestCancellationReachesADroppedPeer covers a caller that leaves while the connection to a
// peer that is no longer used is silent. The connection was closed with the request, so that
// the Cancel was lost, and a planned stop did not wait for it: the request ended only when
// the peer took this daemon for vanished.
func TestCancellationReachesADroppedPeer(t *testing.T) {
	peers, network, ended, leave := startRequest(t)
	network.Silence()
	peers.SetMembers(nil, 1)
	leave()
	if peers.CancellationsConfirmed() {
		t.Error("the cancellation of a request that still runs counts as confirmed")
	}
	select {
	case <-ended:
	case <-time.After(restoreLimit):
		t.Fatal("the request runs on after its caller has left")
	}
	for end := time.Now().Add(4 * time.Second); !peers.CancellationsConfirmed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the cancellation is not confirmed")
		}
	}
	expectNoneRetired(t, peers)
}

// TestDroppedPeerThatIsDeadIsNotKept covers a peer that can never confirm a cancellation.
func TestDroppedPeerThatIsDeadIsNotKept(t *testing.T) {
	t.Parallel()
	peers, network, _, leave := startRequest(t)
	network.Close()
	network.Silence()
	leave()
	peers.SetMembers(nil, 1)
	expectNoneRetired(t, peers)
}
