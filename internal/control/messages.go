package control

import (
	"godwitmount/internal/claim"
	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/routing"
	"godwitmount/internal/step"
)

// StatusRequested is an operator's Status call; a step.Reply with a
// StatusResponse answers it.
type StatusRequested struct {
	Call step.CallID
}

// EventName implements step.Event.
func (StatusRequested) EventName() string { return "status-requested" }

// LeaveRequested begins a planned stop of the daemon.
type LeaveRequested struct{}

// EventName implements step.Event.
func (LeaveRequested) EventName() string { return "leave" }

// UpstreamLost tells that the local upstream accepts no connections or broke
// one while it ran a request.
type UpstreamLost struct{}

// EventName implements step.Event.
func (UpstreamLost) EventName() string { return "upstream-lost" }

// PublishSnapshot puts a snapshot in force for all calls that begin from now.
type PublishSnapshot struct {
	Snapshot *routing.Snapshot
}

// EffectName implements step.Effect.
func (PublishSnapshot) EffectName() string { return "publish-snapshot" }

// PublishClaimView gives the data path a new view of the claim holders.
type PublishClaimView struct {
	View *claim.View
}

// EffectName implements step.Effect.
func (PublishClaimView) EffectName() string { return "publish-claim-view" }

// LocalUpstream tells the data path what the local upstream last announced.
type LocalUpstream struct {
	Service string
	Slots   int
	State   membership.UpstreamState
}

// EffectName implements step.Effect.
func (LocalUpstream) EffectName() string { return "local-upstream" }

// ConfigInForce tells that a configuration came into force, for metrics.
type ConfigInForce struct {
	ID manifest.ID
}

// EffectName implements step.Effect.
func (ConfigInForce) EffectName() string { return "config-in-force" }

// ConfigRefused tells that a configuration was refused, for metrics.
type ConfigRefused struct {
	ID   manifest.ID
	Code code.Code
}

// EffectName implements step.Effect.
func (ConfigRefused) EffectName() string { return "config-refused" }

// MembersKnown tells who is known now; the slice is shared and must not be
// changed.
type MembersKnown struct {
	Records []membership.Record
}

// EffectName implements step.Effect.
func (MembersKnown) EffectName() string { return "members-known" }
