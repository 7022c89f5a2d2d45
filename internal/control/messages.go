package control

import (
	"godwitmount/internal/manifest"
	"godwitmount/internal/store"
)

// FromStore is the value of From for a configuration read from the store.
const FromStore = "store"

// ConfigRead carries a configuration that was read and decoded.
type ConfigRead struct {
	Version  uint64
	Manifest *manifest.Manifest
	// Packed is the compressed source of the configuration, sent to peers on
	// request.
	Packed []byte
	// From is FromStore or the instance of the peer that sent it.
	From string
}

// ConfigRejected reports that the data read from From is not a valid
// configuration.
type ConfigRejected struct {
	Err  error
	From string
}

// PeerHeard reports the configuration version that a peer has in force.
type PeerHeard struct {
	Instance string
	Version  uint64
}

// PeerGreeted reports that a daemon connected to this one and completed the
// handshake.
type PeerGreeted struct {
	Member Member
}

// PeerReached reports that a peer has become reachable or unreachable.
type PeerReached struct {
	Instance string
	Up       bool
}

// PeerStore reports that the store has stopped or resumed answering a peer.
type PeerStore struct {
	Instance string
	Lost     bool
}

// FetchFailed reports that a peer did not return its configuration.
type FetchFailed struct{}

// MembersRead carries rows of the member table.
type MembersRead struct {
	Rows []store.Row
	// Whole is set when Rows is the complete table, not only its changes.
	Whole bool
}

// MemberWritten reports the result of writing this daemon's member entry.
type MemberWritten struct {
	Err error
}

// UpstreamLost reports that the upstream with this ID did not accept a
// connection.
type UpstreamLost struct {
	ID string
}

// UpstreamReminded carries the incarnation of the local upstream that a peer
// last saw draining. A restarted daemon has no other record of it.
type UpstreamReminded struct {
	ID string
	// Born is the incarnation's start time, in Unix milliseconds.
	Born int64
}

// UpstreamStalled reports that several requests to the upstream with this ID
// timed out while it answered none.
type UpstreamStalled struct {
	ID string
}

// StopRequested starts a planned stop.
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

// PublishTable puts a configuration in force on the data path.
type PublishTable struct {
	Version uint64
	Table   *manifest.Table
	Packed  []byte
}

// PublishMembers gives the data path the daemons to stay connected to.
type PublishMembers struct {
	Members []Member
	// Known is the number of all other known daemons, connected or not.
	Known int
}

// SetUpstream gives the data path the state of the local upstream.
type SetUpstream struct {
	Upstream Upstream
}

// WriteMember writes this daemon's entry to the member table.
type WriteMember struct {
	Key   string
	Value []byte
}

// RemoveMember removes this daemon's entry from the member table.
type RemoveMember struct {
	Key string
}

// FetchConfig requests the configuration of a peer.
type FetchConfig struct {
	Instance string
	Version  uint64
}

// SetDuty switches the store watcher role of this daemon: whether it watches
// the store for new configurations.
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
