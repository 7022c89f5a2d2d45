package freshness

import "time"

// Source is a peer that may have a newer proof.
type Source struct {
	Reachable bool
	// Local is set for a peer of this data centre.
	Local bool
	// StoreUnavailable is set while the store does not answer the peer.
	StoreUnavailable bool
	// Proof is the newest proof that the peer has reported.
	Proof time.Duration
}

// ChooseSources returns the positions of at most two peers to ask for their proof. The
// first is the most promising one: one that reaches the store, with the newest proof,
// local if there is a choice, since traffic between data centres is expensive. The
// second is another one, which changes with each round, so that a peer whose reports
// have stopped being true does not stay the only one asked.
func ChooseSources(sources []Source, round int) []int {
	best := -1
	reachable := 0
	for i := range sources {
		if !sources[i].Reachable {
			continue
		}
		reachable++
		if best < 0 || sources[i].better(&sources[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	chosen := []int{best}
	if reachable == 1 {
		return chosen
	}
	skip := round % (reachable - 1)
	for i := range sources {
		if !sources[i].Reachable || i == best {
			continue
		}
		if skip == 0 {
			return append(chosen, i)
		}
		skip--
	}
	return chosen
}

// better reports whether s is more promising than other.
func (s *Source) better(other *Source) bool {
	if s.StoreUnavailable != other.StoreUnavailable {
		return other.StoreUnavailable
	}
	if s.Proof != other.Proof {
		return s.Proof > other.Proof
	}
	return s.Local && !other.Local
}
