package hop

import (
	"context"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// unreadTime is how long a daemon does not come to read from its connections in a test. It
// exceeds the read timeout.
const unreadTime = 2 * minTimeout

// TestPeerWhoseDataIsUnreadIsNotSilent covers a daemon that has no processor time to read
// what its peer has answered, while its timers go on: the requests in flight there must not be
// given up, nor their connection be replaced.
func TestPeerWhoseDataIsUnreadIsNotSilent(t *testing.T) {
	handler, _, client, down := startPair(t)
	blocked, release := make(chan struct{}, 10), make(chan struct{})
	// Only the goroutines that read connections get here.
	client.hooks.StateReceived = func(*hopv1.State) {
		select {
		case blocked <- struct{}{}:
		default:
		}
		<-release
	}
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
	<-blocked
	time.Sleep(unreadTime)
	close(release)
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
