package hop

import (
	"context"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestRequestOfVanishedPeerIsCancelled covers a peer whose connection has fallen
// silent, without a reset: nobody can get the answer any more.
func TestRequestOfVanishedPeerIsCancelled(t *testing.T) {
	handler, network, client, _ := startPair(t)
	go func() { _, _ = client.Do(context.Background(), &hopv1.Request{Id: "slow"}, always) }()
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
	handler, network, client, _ := startPair(t)
	network.Silence()
	client.Close()
	select {
	case <-handler.disconnected:
	case <-time.After(abandonedAfter + 10*time.Second):
		t.Error("the connection of a vanished peer is still open")
	}
}
