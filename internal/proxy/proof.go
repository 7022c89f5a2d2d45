package proxy

import (
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/freshness"
	"godwitmount/internal/store"
)

// wireProof returns a proof in the hop protocol's unit, rounded down.
func wireProof(proof time.Duration) uint64 { return uint64(max(proof.Milliseconds(), 0)) }

// wireStoreClock returns an upper bound of the store's clock in the hop protocol's unit,
// rounded up; 0 stays 0.
func wireStoreClock(bound time.Duration) uint64 {
	return wireProof(bound + time.Millisecond - 1)
}

// PeerProof returns the proof in a peer's state, and whether it proves the configuration
// with the given version. It does not if the peer's configuration is newer, or if it has
// none.
func PeerProof(state *hopv1.State, version uint64) (time.Duration, bool) {
	if state.GetConfigVersion() == 0 || state.GetConfigVersion() > version {
		return 0, false
	}
	return store.TimeFromMS(state.GetProofMs())
}

// SetFreshness sets the tracker that learns the store's clock from peers. It must be
// called before SetMembers.
func (ps *Peers) SetFreshness(tracker *freshness.SharedTracker) { ps.freshness = tracker }

// pingClock returns the clock that times pings, or nil if that is not needed.
func (ps *Peers) pingClock() func() time.Duration {
	if ps.freshness == nil {
		return nil
	}
	return ps.freshness.Now
}

// pongReceived passes the store's clock in a pong on, which is not older than its ping.
func (ps *Peers) pongReceived(state *hopv1.State, sent time.Duration) {
	if bound, ok := store.TimeFromMS(state.GetStoreMs()); ok {
		ps.freshness.PeerClock(sent, bound)
	}
}

// AskForProof asks the peers that freshness.ChooseSources chooses for their state. Round
// counts the calls; a peer with a newer configuration than version is not asked.
func (ps *Peers) AskForProof(version uint64, round int) {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	peers := make([]*peer, 0, len(ps.all))
	sources := make([]freshness.Source, 0, len(ps.all))
	for _, p := range ps.all {
		state := p.state.Load()
		proof, _ := store.TimeFromMS(state.proofMs())
		peers = append(peers, p)
		sources = append(sources, freshness.Source{
			Reachable:        p.up.Load() && state != nil && state.GetConfigVersion() <= version,
			Local:            p.DataCentre == ps.self.DataCentre,
			StoreUnavailable: state.storeUnavailable(),
			Proof:            proof,
		})
	}
	for _, i := range freshness.ChooseSources(sources, round) {
		peers[i].client.RequestState()
	}
}

// proofMs returns the proof that the peer reported, or 0.
func (s *peerState) proofMs() uint64 {
	if s == nil {
		return 0
	}
	return s.GetProofMs()
}
