package confsync

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
)

// MembersChanged brings the member table.
type MembersChanged struct {
	Self    membership.Record
	Members []membership.Record
}

// EventName implements step.Event.
func (MembersChanged) EventName() string { return "members-changed" }

// HeadRead answers a ReadHead effect. The zero ID without an error means that
// nothing was ever accepted.
type HeadRead struct {
	Attempt uint64
	ID      manifest.ID
	Err     error
}

// EventName implements step.Event.
func (HeadRead) EventName() string { return "head-read" }

// NoticeReceived is a ConfigNotice from a peer.
type NoticeReceived struct {
	From    string
	Address string
	ID      manifest.ID
	// Remaining is how many more times the notice may be passed on.
	Remaining uint32
}

// EventName implements step.Event.
func (NoticeReceived) EventName() string { return "notice-received" }

// PeerApplied is what a peer said, in any packet or exchange, it has in force.
type PeerApplied struct {
	Instance string
	Address  string
	ID       manifest.ID
}

// EventName implements step.Event.
func (PeerApplied) EventName() string { return "peer-applied" }

// PeerFetched answers a FetchFromPeer effect.
type PeerFetched struct {
	Attempt  uint64
	Address  string
	Response *peerv1.FetchConfigResponse
	Err      error
}

// EventName implements step.Event.
func (PeerFetched) EventName() string { return "peer-fetched" }

// ObjectFetched answers a FetchObject effect.
type ObjectFetched struct {
	Attempt uint64
	ID      manifest.ID
	Body    []byte
	Err     error
}

// EventName implements step.Event.
func (ObjectFetched) EventName() string { return "object-fetched" }

// FloorRemembered answers an AskFloor effect.
type FloorRemembered struct {
	Attempt  uint64
	Address  string
	Response *peerv1.RememberFloorResponse
	Err      error
}

// EventName implements step.Event.
func (FloorRemembered) EventName() string { return "floor-remembered" }

// FetchRequested is a peer's FetchConfig call; it is answered by step.Reply
// with a FetchConfigResponse.
type FetchRequested struct {
	Call    step.CallID
	Request *peerv1.FetchConfigRequest
}

// EventName implements step.Event.
func (FetchRequested) EventName() string { return "fetch-requested" }

// FloorRequested is a peer's RememberFloor call; it is answered by step.Reply
// with a RememberFloorResponse.
type FloorRequested struct {
	Call    step.CallID
	Request *peerv1.RememberFloorRequest
}

// EventName implements step.Event.
func (FloorRequested) EventName() string { return "floor-requested" }
