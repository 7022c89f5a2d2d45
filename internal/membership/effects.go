package membership

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
)

// SendPacket asks to send one datagram.
type SendPacket struct {
	Address string
	Packet  *peerv1.Packet
}

// StartExchange asks to call ExchangeMembers; an ExchangeAnswered ends it.
type StartExchange struct {
	Address string
	Request *peerv1.ExchangeMembersRequest
}

// ReadContacts asks to scan the contact rows; a ContactsRead ends it.
type ReadContacts struct {
	Prefix string
	Limit  int
}

// WriteContact asks for one transaction on one contact row; a ContactWritten
// ends it.
type WriteContact struct {
	Precondition platform.Precondition
	Write        platform.Write
}

// TableChanged tells that this instance's record or another one changed, so
// that the routing snapshot is to be built again.
type TableChanged struct{}

// PeerAhead tells that a peer has a newer configuration in force.
type PeerAhead struct {
	Instance string
	Address  string
	Config   manifest.ID
}

// NoticeArrived hands on a configuration notice.
type NoticeArrived struct {
	From    string
	Address string
	Notice  *peerv1.ConfigNotice
}

// FingerprintsArrived hands on fingerprints of requests that crash upstreams.
type FingerprintsArrived struct {
	Fingerprints []*peerv1.Fingerprint
}

// EffectName implements step.Effect.
func (SendPacket) EffectName() string          { return "send-packet" }
func (StartExchange) EffectName() string       { return "start-exchange" }
func (ReadContacts) EffectName() string        { return "read-contacts" }
func (WriteContact) EffectName() string        { return "write-contact" }
func (TableChanged) EffectName() string        { return "table-changed" }
func (PeerAhead) EffectName() string           { return "peer-ahead" }
func (NoticeArrived) EffectName() string       { return "notice-arrived" }
func (FingerprintsArrived) EffectName() string { return "fingerprints-arrived" }
