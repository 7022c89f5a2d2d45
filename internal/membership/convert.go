package membership

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
)

// recordOf converts a checked member.
func recordOf(member *peerv1.Member) Record {
	return Record{
		Instance:      member.GetInstance(),
		Incarnation:   member.GetIncarnation(),
		Sequence:      member.GetSequence(),
		DataCentre:    member.GetDataCentre(),
		Address:       member.GetAddress(),
		Service:       member.GetService(),
		Slots:         int(member.GetSlots()),
		UpstreamState: UpstreamState(member.GetUpstreamState()),
		Liveness:      Liveness(member.GetLiveness()),
		Leaving:       member.GetLeaving(),
	}
}

// MemberOf returns the record in the form of the peer protocol.
func MemberOf(r Record) *peerv1.Member {
	return &peerv1.Member{
		Instance:      r.Instance,
		Incarnation:   r.Incarnation,
		Sequence:      r.Sequence,
		DataCentre:    r.DataCentre,
		Address:       r.Address,
		Service:       r.Service,
		Slots:         uint32(r.Slots),
		UpstreamState: peerv1.UpstreamState(r.UpstreamState),
		Liveness:      peerv1.Liveness(r.Liveness),
		Leaving:       r.Leaving,
	}
}

// ConfigIDOf returns the ID in the form of the peer protocol; nil for none.
func ConfigIDOf(id manifest.ID) *peerv1.ConfigID {
	if id.IsZero() {
		return nil
	}
	return &peerv1.ConfigID{Version: id.Version, Digest: id.Digest[:]}
}

// IDOf reads an ID that has passed the checks of this package; the zero ID
// when there is none or its digest has the wrong size.
func IDOf(id *peerv1.ConfigID) manifest.ID {
	if id.GetVersion() == 0 || len(id.GetDigest()) != manifest.DigestSize {
		return manifest.ID{}
	}
	return manifest.ID{Version: id.GetVersion(), Digest: manifest.Digest(id.GetDigest())}
}
