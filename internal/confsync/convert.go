package confsync

import (
	"slices"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
)

// idToProto returns nil for the zero ID.
func idToProto(id manifest.ID) *peerv1.ConfigID {
	if id.IsZero() {
		return nil
	}
	return &peerv1.ConfigID{Version: id.Version, Digest: slices.Clone(id.Digest[:])}
}

// idFromProto returns the zero ID for one that is absent or malformed.
func idFromProto(p *peerv1.ConfigID) manifest.ID {
	if p.GetVersion() == 0 || len(p.GetDigest()) != manifest.DigestSize {
		return manifest.ID{}
	}
	return manifest.ID{Version: p.GetVersion(), Digest: manifest.Digest(p.GetDigest())}
}
