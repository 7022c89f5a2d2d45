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
