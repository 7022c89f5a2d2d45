package claim

import (
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// Member is one live daemon of a data centre as a claim view names it.
type Member struct {
	Instance    string
	Incarnation uint64
	Address     string
	// Suspect is set while the instance does not answer probes.
	Suspect bool
}

// ViewChanged tells the holder what it knows of its own data centre.
type ViewChanged struct {
	// Version is the manifest's.
	Version uint64
	// DataCentres is the manifest's list of possible homes.
	DataCentres []string
	// Self is the daemon's own instance id; it is listed in Live too.
	Self string
	// Live are the instances of the own data centre that are alive or suspect.
	Live []Member
	// Left names instances that were live before and left by a planned stop.
	// Any other that is missing from Live is taken for lost.
	Left []string
}

// AcquireRequested is a peer's AcquireClaim.
type AcquireRequested struct {
	Call    step.CallID
	Request *peerv1.AcquireClaimRequest
}

// FinishRequested is a peer's FinishClaim.
type FinishRequested struct {
	Call    step.CallID
	Request *peerv1.FinishClaimRequest
}

// HandOverRequested is a peer's HandOverClaims.
type HandOverRequested struct {
	Call    step.CallID
	Request *peerv1.HandOverClaimsRequest
}

// TableWritten answers WriteClaims. Err is nil, *platform.ConflictError,
// platform.ErrUnavailable or platform.ErrUnknown; any other counts as unknown.
type TableWritten struct {
	Batch  uint64
	Result platform.Result
	Err    error
}

// TableRead answers ReadClaim. Err is nil, platform.ErrNotFound or any other
// for no answer.
type TableRead struct {
	Key string
	Row platform.Row
	Err error
}

// HandedOver answers HandOver. Response is nil when Err is set.
type HandedOver struct {
	ID       uint64
	Response *peerv1.HandOverClaimsResponse
	Err      error
}

// LeaveRequested begins a planned stop: no more grants, and claims are handed
// over. Drained tells when that is done.
type LeaveRequested struct{}

// EventName implements step.Event.
func (ViewChanged) EventName() string { return "claim-view-changed" }

// EventName implements step.Event.
func (AcquireRequested) EventName() string { return "claim-acquire" }

// EventName implements step.Event.
func (FinishRequested) EventName() string { return "claim-finish" }

// EventName implements step.Event.
func (HandOverRequested) EventName() string { return "claim-hand-over" }

// EventName implements step.Event.
func (TableWritten) EventName() string { return "claim-table-written" }

// EventName implements step.Event.
func (TableRead) EventName() string { return "claim-table-read" }

// EventName implements step.Event.
func (HandedOver) EventName() string { return "claim-handed-over" }

// EventName implements step.Event.
func (LeaveRequested) EventName() string { return "claim-leave" }

// WriteClaims asks for a table transaction, answered by TableWritten.
type WriteClaims struct {
	Batch       uint64
	Transaction platform.Transaction
}

// ReadClaim asks for a table row, answered by TableRead. The read must be a
// fresh one.
type ReadClaim struct {
	Key string
}

// HandOver asks to send claims to a peer, answered by HandedOver.
type HandOver struct {
	ID      uint64
	To      Member
	Request *peerv1.HandOverClaimsRequest
}

// EffectName implements step.Effect.
func (WriteClaims) EffectName() string { return "write-claims" }

// EffectName implements step.Effect.
func (ReadClaim) EffectName() string { return "read-claim" }

// EffectName implements step.Effect.
func (HandOver) EffectName() string { return "hand-over-claims" }

// Stats counts what a holder has done and holds, for metrics.
type Stats struct {
	Claims, Waiting, Answers     int
	Granted, GrantedFromMemory   uint64
	Refused, Released, Conflicts uint64
	Batches, Rows                uint64
	PlatformAway                 bool
	// Tenure is how long the holder has held its range without a gap.
	Tenure time.Duration
}
