package control

import (
	"godwitmount/internal/manifest"
	"godwitmount/internal/store"
)

// FromStore is the source of what was read from the store.
const FromStore = "store"

// ConfigRead carries a configuration that was read.
type ConfigRead struct {
	Version  uint64
	Manifest *manifest.Manifest
	// Packed is the configuration as it was read, to be passed on to peers.
	Packed []byte
	// From is FromStore or the instance that served it.
	From string
}

// ConfigRejected tells that what was read is no configuration.
type ConfigRejected struct {
	Err  error
	From string
}

// PeerHeard tells which version a peer has in force.
type PeerHeard struct {
	Instance string
	Version  uint64
}

// PeerGreeted tells of a daemon that connected to this one.
type PeerGreeted struct {
	Member Member
}

// PeerReached tells that a peer can, or can no longer, be reached.
type PeerReached struct {
	Instance string
	Up       bool
}

// PeerStore tells that the store does not answer a peer, or answers it again.
type PeerStore struct {
	Instance string
	Lost     bool
}

// FetchFailed tells that a peer did not serve its configuration.
type FetchFailed struct{}

// MembersRead carries rows of the member table.
type MembersRead struct {
	Rows []store.Row
	// Whole is set when these are all rows.
	Whole bool
}

// MemberWritten tells how the writing of the own entry ended.
type MemberWritten struct {
	Err error
}

// UpstreamLost tells that the upstream with the id took no connection.
type UpstreamLost struct {
	ID string
}

// UpstreamReminded carries what a peer remembers of the upstream beside this
// daemon: the incarnation that was leaving.
type UpstreamReminded struct {
	ID   string
	Born int64
}

// UpstreamStalled tells that the upstream with the id has answered nothing
// while several requests ran out of time.
type UpstreamStalled struct {
	ID string
}

// StopRequested begins a planned stop.
type StopRequested struct{}

// EventName implements step.Event.
func (ConfigRead) EventName() string { return "config-read" }

// EventName implements step.Event.
func (ConfigRejected) EventName() string { return "config-rejected" }

// EventName implements step.Event.
func (PeerHeard) EventName() string { return "peer-heard" }

// EventName implements step.Event.
func (PeerGreeted) EventName() string { return "peer-greeted" }

// EventName implements step.Event.
func (PeerReached) EventName() string { return "peer-reached" }

// EventName implements step.Event.
func (PeerStore) EventName() string { return "peer-store" }

// EventName implements step.Event.
func (FetchFailed) EventName() string { return "fetch-failed" }

// EventName implements step.Event.
func (MembersRead) EventName() string { return "members-read" }

// EventName implements step.Event.
func (MemberWritten) EventName() string { return "member-written" }

// EventName implements step.Event.
func (UpstreamLost) EventName() string { return "upstream-lost" }

// EventName implements step.Event.
func (UpstreamReminded) EventName() string { return "upstream-reminded" }

// EventName implements step.Event.
func (UpstreamStalled) EventName() string { return "upstream-stalled" }

// EventName implements step.Event.
func (StopRequested) EventName() string { return "stop-requested" }

// PublishTable puts a configuration in force for the data path.
type PublishTable struct {
	Version uint64
	Table   *manifest.Table
	Packed  []byte
}

// PublishMembers tells the data path with which daemons to keep a connection,
// and how many others are known in all.
type PublishMembers struct {
	Members []Member
	Known   int
}

// SetUpstream tells the data path of the upstream beside the daemon.
type SetUpstream struct {
	Upstream Upstream
}

// WriteMember writes the own entry of the member table.
type WriteMember struct {
	Key   string
	Value []byte
}

// RemoveMember removes the own entry.
type RemoveMember struct {
	Key string
}

// FetchConfig asks a peer for its configuration.
type FetchConfig struct {
	Instance string
	Version  uint64
}

// SetDuty tells whether this daemon waits at the store for configurations.
type SetDuty struct {
	On bool
}

// ReadConfig reads the configuration from the store once.
type ReadConfig struct{}

// EffectName implements step.Effect.
func (SetDuty) EffectName() string { return "set-duty" }

// EffectName implements step.Effect.
func (ReadConfig) EffectName() string { return "read-config" }

// EffectName implements step.Effect.
func (PublishTable) EffectName() string { return "publish-table" }

// EffectName implements step.Effect.
func (PublishMembers) EffectName() string { return "publish-members" }

// EffectName implements step.Effect.
func (SetUpstream) EffectName() string { return "set-upstream" }

// EffectName implements step.Effect.
func (WriteMember) EffectName() string { return "write-member" }

// EffectName implements step.Effect.
func (RemoveMember) EffectName() string { return "remove-member" }

// EffectName implements step.Effect.
func (FetchConfig) EffectName() string { return "fetch-config" }
