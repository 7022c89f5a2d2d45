package confsync

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// ReadHead asks for the platform's head; HeadRead answers with its Attempt.
type ReadHead struct {
	Attempt uint64
	// Confirm asks for a read that cannot be stale, at the price of a
	// transaction: a process that holds nothing yet has nothing to judge an
	// old head by.
	Confirm bool
}

// EffectName implements step.Effect.
func (ReadHead) EffectName() string { return "read-head" }

// FetchFromPeer calls FetchConfig; PeerFetched answers with its Attempt.
type FetchFromPeer struct {
	Attempt uint64
	Address string
	Request *peerv1.FetchConfigRequest
}

// EffectName implements step.Effect.
func (FetchFromPeer) EffectName() string { return "fetch-from-peer" }

// FetchObject reads a body from the platform; ObjectFetched answers with its
// Attempt.
type FetchObject struct {
	Attempt uint64
	ID      manifest.ID
}

// EffectName implements step.Effect.
func (FetchObject) EffectName() string { return "fetch-object" }

// SendNotice sends a ConfigNotice in one datagram to each address, without an
// answer.
type SendNotice struct {
	Addresses []string
	Notice    *peerv1.ConfigNotice
}

// EffectName implements step.Effect.
func (SendNotice) EffectName() string { return "send-notice" }

// AskFloor calls RememberFloor; FloorRemembered answers with its Attempt.
type AskFloor struct {
	Attempt uint64
	Address string
	Request *peerv1.RememberFloorRequest
}

// EffectName implements step.Effect.
func (AskFloor) EffectName() string { return "ask-floor" }

// Applied puts a version in force: the daemon swaps to its table as a whole.
type Applied struct {
	ID    manifest.ID
	Table *manifest.Table
	// Body is the canonical manifest; it must not be changed.
	Body []byte
}

// EffectName implements step.Effect.
func (Applied) EffectName() string { return "applied" }

// Refused tells that a version is not followed, and why. It is issued once for
// each version and reason, and again at most once a minute.
type Refused struct {
	ID     manifest.ID
	Code   code.Code
	Detail string
}

// EffectName implements step.Effect.
func (Refused) EffectName() string { return "refused" }

// RefusalCleared tells that what was refused last is no longer offered.
type RefusalCleared struct{}

// EffectName implements step.Effect.
func (RefusalCleared) EffectName() string { return "refusal-cleared" }
