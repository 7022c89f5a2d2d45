package hop

import (
	"context"
	"errors"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// awaitTrue fails the test unless the condition holds within resumeLimit.
func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(resumeLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not after %s: %s", resumeLimit, what)
		}
	}
}

// TestDrainIsConfirmedBehindAllRequests covers a daemon that stops while a request of a peer
// is on the way: it must not end before it has received it.
func TestDrainIsConfirmedBehindAllRequests(t *testing.T) {
	handler, network, client, _ := startPair(t)
	network.SetDelay(100 * time.Millisecond)
	replied := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), &hopv1.Request{Id: "held", RemainingMs: 10000}, giveUpAtOnce)
		replied <- err
	}()
	awaitTrue(t, "the request is sent", client.busy)
	handler.server.Broadcast(&hopv1.State{Stopping: true, TakesWork: true})
	if handler.server.DrainConfirmed() {
		t.Error("confirmed while the daemon takes requests")
	}
	handler.server.Broadcast(&hopv1.State{Stopping: true})
	awaitTrue(t, "the peer has confirmed", handler.server.DrainConfirmed)
	if handler.runs.Load() != 1 || handler.server.AllReplied() {
		t.Errorf("%d requests were received, all replied: %t", handler.runs.Load(), handler.server.AllReplied())
	}
	if _, err := client.Do(context.Background(), &hopv1.Request{Id: "late"}, giveUpAtOnce); !errors.Is(err, ErrNotSent) {
		t.Errorf("a request to the daemon that takes none: %v", err)
	}
	handler.release <- struct{}{}
	if err := <-replied; err != nil {
		t.Error(err)
	}
	awaitTrue(t, "all replied", handler.server.AllReplied)
}
