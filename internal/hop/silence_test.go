package hop

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
)

// TestRequestOfVanishedPeerIsCancelled covers a peer whose connection has fallen
// silent, without a reset: nobody can get the answer any more.
func TestRequestOfVanishedPeerIsCancelled(t *testing.T) {
	handler, network, client, _ := startPair(t)
	go func() { _, _ = client.Do(context.Background(), &hopv1.Request{Id: "slow"}, giveUpAtOnce) }()
	time.Sleep(100 * time.Millisecond)
	network.Silence()
	client.Close()
	select {
	case <-handler.cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the request still runs 10 s after its peer has vanished")
	}
}

// TestAbandonedConnectionIsReset covers the inbound connection of a vanished peer on
// which nothing runs: it must not stay open for good.
func TestAbandonedConnectionIsReset(t *testing.T) {
	t.Parallel()
	handler, network, client, _ := startPair(t)
	network.Silence()
	client.Close()
	select {
	case <-handler.disconnected:
	case <-time.After(abandonedAfter + 10*time.Second):
		t.Error("the connection of a vanished peer is still open")
	}
}

// TestRequestIsNotGivenUpForAnEarlierPing covers a request that is sent while a ping of
// Check is unanswered: the peer has the whole read timeout to answer it.
func TestRequestIsNotGivenUpForAnEarlierPing(t *testing.T) {
	_, network, client, _ := startPair(t)
	time.Sleep(2 * busyPingAfter)
	network.SetFault(faultlink.Blocked)
	client.Check()
	time.Sleep(minTimeout - 2*busyPingAfter)
	sent := time.Now()
	if _, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, giveUpAtOnce); err == nil {
		t.Fatal("got an answer on a blocked link")
	}
	if took := time.Since(sent); took < minTimeout {
		t.Errorf("the request was given up after %s, before the read timeout", took)
	}
}

// TestAnsweredPingHasNoAge covers an idle connection between the answer to a ping and the
// next check of monitor: the ping must not add to the cost of the peer.
func TestAnsweredPingHasNoAge(t *testing.T) {
	handler, _, client, _ := startPair(t)
	for handler.states.Load() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if client.conn.Load().pingSentAt.Load() == 0 {
		t.Fatal("monitor has noted the answer already")
	}
	if age := client.UnansweredPingAge(); age != 0 {
		t.Errorf("an answered ping has been unanswered for %s", age)
	}
}

// TestPeerIsDownBeforeItsRequestsAreTold covers a peer that falls silent: a request in flight there
// looks for another upstream, and must not find the silent one reachable. A large request would
// not go to another data centre beside it.
func TestPeerIsDownBeforeItsRequestsAreTold(t *testing.T) {
	var down atomic.Bool
	handler, network, client, _ := startPairWith(t, nil, nil, func(hooks *Hooks) {
		hooks.Down = func(error) {
			time.Sleep(20 * time.Millisecond)
			down.Store(true)
		}
	})
	downWhenTold := make(chan bool, 1)
	go func() {
		_, _ = client.Do(context.Background(), &hopv1.Request{Id: "held"}, func() <-chan struct{} {
			downWhenTold <- down.Load()
			return giveUpAtOnce()
		})
	}()
	<-handler.started
	network.SetFault(faultlink.Blocked)
	if !<-downWhenTold {
		t.Error("the request was told before the peer was reported as down")
	}
}
