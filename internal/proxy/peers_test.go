package proxy

import (
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
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
