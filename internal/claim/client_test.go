package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
)

// fakeCaller answers acquires and collects finishes.
type fakeCaller struct {
	answer   *peerv1.AcquireClaimResponse
	err      error
	finished chan *peerv1.FinishClaimRequest
	// refusing names the instances that do not accept a finish.
	refusing map[string]bool
}

func (f *fakeCaller) Acquire(_ context.Context, _ Endpoint, _ *peerv1.AcquireClaimRequest) (*peerv1.AcquireClaimResponse, error) {
	return f.answer, f.err
}

func (f *fakeCaller) Finish(_ context.Context, to Endpoint, req *peerv1.FinishClaimRequest) (*peerv1.FinishClaimResponse, error) {
	if f.refusing[to.Instance] {
		return &peerv1.FinishClaimResponse{}, nil
	}
	f.finished <- req
	return &peerv1.FinishClaimResponse{Accepted: true}, nil
}

func testClient(caller *fakeCaller) (*Client, Request) {
	caller.finished = make(chan *peerv1.FinishClaimRequest, 16)
	client := NewClient(DefaultClientConfig(testMesh), caller)
	client.SetView(&View{
		Version:     1,
		DataCentres: []string{"near", "far"},
		Live:        map[string][]Endpoint{"near": {{"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}}},
		Self:        "a",
	})
	return client, Request{Key: keyFor("ab1"), Fingerprint: fingerprintFor("same"), Attempt: "A", Executor: "x"}
}

func TestClientReleasesAnAttemptOfUnknownFate(t *testing.T) {
	caller := &fakeCaller{err: errors.New("connection reset")}
	client, req := testClient(caller)
	decision := client.Acquire(t.Context(), req)
	if decision.Outcome != Refused || decision.Code != code.ClaimHomeUnreachable || decision.RetryAfter <= 0 {
		t.Errorf("decision %+v, want refused as unreachable with a time to come back", decision)
	}
	finish := <-caller.finished
	if !finish.GetReleased() || finish.GetAttempt() != "A" {
		t.Errorf("finish %v, want attempt A released", finish)
	}
}

func TestClientTreatsALateGrantAsNone(t *testing.T) {
	caller := &fakeCaller{answer: &peerv1.AcquireClaimResponse{Outcome: peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED}}
	client, req := testClient(caller)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if decision := client.Acquire(ctx, req); decision.Outcome != Refused {
		t.Errorf("outcome %s, want refused", decision.Outcome)
	}
	if finish := <-caller.finished; !finish.GetReleased() {
		t.Errorf("finish %v, want released", finish)
	}
}

func TestClientOutcomes(t *testing.T) {
	for outcome, want := range map[peerv1.ClaimOutcome]Outcome{
		peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED:     Granted,
		peerv1.ClaimOutcome_CLAIM_OUTCOME_RUNNING:     Running,
		peerv1.ClaimOutcome_CLAIM_OUTCOME_DONE:        Done,
		peerv1.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:    Mismatch,
		peerv1.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED: Refused,
		99: Refused,
	} {
		client, req := testClient(&fakeCaller{answer: &peerv1.AcquireClaimResponse{Outcome: outcome}})
		if got := client.Acquire(t.Context(), req).Outcome; got != want {
			t.Errorf("%s: %s, want %s", outcome, got, want)
		}
	}
}

func TestClientWithoutHolder(t *testing.T) {
	caller := &fakeCaller{}
	client, req := testClient(caller)
	client.SetView(&View{DataCentres: []string{"near", "far"}, Live: map[string][]Endpoint{"far": {{"z", "z:1"}}}})
	if got := client.Acquire(t.Context(), req); got.Code != code.ClaimHomeUnreachable {
		t.Errorf("decision %+v, want home unreachable", got)
	}
	if home := client.HomeOf(req.Key); home != "near" {
		t.Errorf("home %q, want near: it is static", home)
	}
}

// TestClientFindsTheHolderThatKnows has the key's holder change after the
// grant: whichever of the two knows the attempt must be told.
func TestClientFindsTheHolderThatKnows(t *testing.T) {
	for _, refusing := range []string{"a", "b"} {
		caller := &fakeCaller{refusing: map[string]bool{refusing: true}}
		client, req := testClient(caller)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if !client.Release(ctx, req, "b") {
			t.Errorf("not released while %s does not know the attempt", refusing)
		}
		cancel()
	}
}
