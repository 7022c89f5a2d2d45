package quarantine

import (
	"slices"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
)

// Known returns up to limit messages about what this daemon knows, for one
// that may have missed the news. Successive calls go through all suspects in
// turn.
func (c *Core) Known(limit int) []*peerv1.Fingerprint {
	hashes := c.hashes()
	if len(hashes) == 0 {
		return nil
	}
	var known []*peerv1.Fingerprint
	first := c.nextKnown % len(hashes)
	for i := range hashes {
		hash := hashes[(first+i)%len(hashes)]
		told := c.tell(hash)
		if len(known)+len(told) > limit {
			break
		}
		known = append(known, told...)
		c.nextKnown = (first + i + 1) % len(hashes)
	}
	return known
}

// tell returns the messages that say what is known of one fingerprint: the
// crashes it was cleared of, and those it was not.
func (c *Core) tell(hash claim.Hash) []*peerv1.Fingerprint {
	s := c.suspects[hash]
	var told []*peerv1.Fingerprint
	if len(s.cleared) > 0 {
		told = append(told, &peerv1.Fingerprint{Hash: hash[:], Expires: s.expires, CrashIds: slices.Clone(s.cleared)})
	}
	if len(s.crashes) > 0 {
		told = append(told, s.message(hash))
	}
	return told
}

// message returns what others are told of a suspect.
func (s *suspect) message(hash claim.Hash) *peerv1.Fingerprint {
	return &peerv1.Fingerprint{
		Hash:     hash[:],
		Crashes:  uint32(len(s.crashes)),
		Expires:  s.expires,
		CrashIds: slices.Clone(s.crashes),
	}
}
