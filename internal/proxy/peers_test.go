package proxy

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/hop"
)

// TestFailedPeerIsNotChosenDuringBackoff covers a peer whose connection failed
// while a request was sent or in progress.
func TestFailedPeerIsNotChosenDuringBackoff(t *testing.T) {
	p := &peer{client: &hop.Client{}}
	p.up.Store(true)
	state := &peerState{State: &hopv1.State{TakesWork: true}}
	const now = 5 * time.Second
	p.backOff(now)
	if p.candidate(state, now+failureBackoff-1, true).Available {
		t.Error("available during the backoff")
	}
	if !p.candidate(state, now+failureBackoff, true).Available {
		t.Error("not available after the backoff")
	}
}

// TestUpstreamThatAnnouncedItsEndIsNotChosen covers a peer that was restarted after an
// answer of its leaving upstream, and reports the same incarnation as ready.
func TestUpstreamThatAnnouncedItsEndIsNotChosen(t *testing.T) {
	p := &peer{client: &hop.Client{}}
	p.up.Store(true)
	state := &hopv1.State{TakesWork: true, Upstream: "u-1", Born: 5}
	available := func(state *hopv1.State) bool {
		p.recordDraining(state)
		return p.candidate(&peerState{State: state}, time.Second, true).Available
	}
	if !available(state) {
		t.Error("a ready upstream is not available")
	}
	p.recordLeaving(state)
	if available(state) {
		t.Error("available after the upstream has announced its end")
	}
	if !available(&hopv1.State{TakesWork: true, Upstream: "u-1", Born: 6}) {
		t.Error("the next incarnation is not available")
	}
}

// TestDroppedPeerAnswersRequestsInFlight covers a change of the members that replaces a
// peer by another one while it runs a request: the request was cut off.
func TestDroppedPeerAnswersRequestsInFlight(t *testing.T) {
	up := make(chan struct{}, 1)
	log := asynclog.New(io.Discard, "i", zapcore.InfoLevel, 100)
	peers := NewPeers(control.Member{Instance: "i", DataCentre: "a"}, Listener{
		StateReceived:            func(string, *hopv1.State) {},
		StoreAvailabilityChanged: func(string, bool) {},
		DrainRecordReceived:      func(*hopv1.Left) {},
		ReachabilityChanged:      func(string, bool) { up <- struct{}{} },
	}, nil, log)
	state := func() *hopv1.State { return &hopv1.State{} }
	peers.SetState(state, state)
	member, _ := startPeer(t, "p", make(chan string, 10))
	peers.SetMembers([]control.Member{member}, 1)
	t.Cleanup(peers.Close)
	<-up
	p := peers.get("p")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := p.send(ctx, &hopv1.Request{Id: "r"}, giveUpAtOnce)
		ended <- err
	}()
	for p.outstanding.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	peers.SetMembers(nil, 1)
	if peers.get("p") != nil {
		t.Error("the dropped peer can still be chosen")
	}
	select {
	case err := <-ended:
		t.Fatalf("the request ended with %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the request ended with %v; want that of its caller", err)
	}
}
