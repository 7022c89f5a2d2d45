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
