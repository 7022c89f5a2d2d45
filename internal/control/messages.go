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

// PeerConfigVersion reports the configuration version that a peer has in force.
type PeerConfigVersion struct {
	Instance string
	Version  uint64
	// Stopping is set once the peer has begun a planned stop.
	Stopping bool
}

// PeerHandshake reports that a daemon connected to this one and completed the
// handshake.
type PeerHandshake struct {
	Member Member
}

// PeerReachability reports that a peer has become reachable or unreachable.
type PeerReachability struct {
	Instance  string
	Reachable bool
}

// PeerStoreAvailability reports that the store has stopped or resumed answering
// a peer.
type PeerStoreAvailability struct {
	Instance    string
	Unavailable bool
}

// FetchFailed reports that a peer did not return its configuration.
type FetchFailed struct {
	Instance string
}

// MembersRead carries rows of the member table.
type MembersRead struct {
	Rows []store.Row
	// Complete is set when Rows is the complete table, not only its changes.
	Complete bool
	// Unnamed is set when there are rows whose key cannot be read. An entry that is not in
	// Rows may be one of them.
	Unnamed bool
	// Position is the store's position up to which Rows is complete.
	Position store.Position
}

// StoreEra reports a new era in an answer of the store to this daemon.
type StoreEra struct {
	Era store.Era
}

// PeerStoreEra reports the latest era of the store that a peer has seen.
type PeerStoreEra struct {
	Instance string
	Era      store.Era
}

// MemberWritten reports the result of writing this daemon's member entry.
type MemberWritten struct {
	// Err is nil if the entry was written. Otherwise the write is repeated once
	// a configuration is in force.
	Err error
	// Departure is that of the WriteMember.
	Departure Departure
}

// ServiceChanged reports that the settings were read again, and the upstream's service in them.
type ServiceChanged struct {
	Service string
}

// UpstreamUnreachable reports that the upstream with this ID did not accept a
// connection.
type UpstreamUnreachable struct {
	ID string
}

// DrainRecordReceived carries the incarnation of the local upstream that a peer
// last saw draining. A restarted daemon has no other record of it.
type DrainRecordReceived struct {
	ID string
	// StartTime is the incarnation's start time, in Unix milliseconds.
	StartTime int64
}

// UpstreamStalled reports that several consecutive requests to the upstream with
// this ID timed out.
type UpstreamStalled struct {
	ID string
}

// UpstreamLeaving reports that an incarnation of the local upstream has announced its
// end in an answer. Its reports may not say so.
type UpstreamLeaving struct {
	ID string
	// StartTime is the incarnation's start time, in Unix milliseconds.
	StartTime int64
}

// RolloutsChanged carries the services with a rollout in progress. A daemon of such a
// service connects to all others of it.
type RolloutsChanged struct {
	Services map[string]bool
}

// StopRequested starts a planned stop.
type StopRequested struct {
	// UpstreamRuns is set if the local upstream still accepts connections.
	UpstreamRuns bool
}

// EventName implements step.Event.
func (ConfigRead) EventName() string { return "config-read" }

// EventName implements step.Event.
func (ConfigRejected) EventName() string { return "config-rejected" }

// EventName implements step.Event.
func (PeerConfigVersion) EventName() string { return "peer-heard" }

// EventName implements step.Event.
func (PeerHandshake) EventName() string { return "peer-greeted" }

// EventName implements step.Event.
func (PeerReachability) EventName() string { return "peer-reached" }

// EventName implements step.Event.
func (PeerStoreAvailability) EventName() string { return "peer-store" }

// EventName implements step.Event.
func (FetchFailed) EventName() string { return "fetch-failed" }

// EventName implements step.Event.
func (MembersRead) EventName() string { return "members-read" }

// EventName implements step.Event.
func (StoreEra) EventName() string { return "store-era" }

// EventName implements step.Event.
func (PeerStoreEra) EventName() string { return "peer-store-era" }

// EventName implements step.Event.
func (MemberWritten) EventName() string { return "member-written" }

// EventName implements step.Event.
func (ServiceChanged) EventName() string { return "service-changed" }

// EventName implements step.Event.
func (UpstreamUnreachable) EventName() string { return "upstream-lost" }

// EventName implements step.Event.
func (DrainRecordReceived) EventName() string { return "upstream-reminded" }

// EventName implements step.Event.
func (UpstreamStalled) EventName() string { return "upstream-stalled" }

// EventName implements step.Event.
func (UpstreamLeaving) EventName() string { return "upstream-leaving" }

// EventName implements step.Event.
func (RolloutsChanged) EventName() string { return "rollouts-changed" }

// EventName implements step.Event.
func (StopRequested) EventName() string { return "stop-requested" }

// PublishTable puts a configuration in force on the data path.
type PublishTable struct {
	Version uint64
	Table   *manifest.Table
	// Packed is the compressed source, as in ConfigRead.
	Packed []byte
}

// PublishMembers passes to the data path the daemons to stay connected to.
type PublishMembers struct {
	Members []Member
	// Others holds the members of this daemon's service to which it does not connect.
	Others []Member
	// Known is the number of all other known daemons, connected or not.
	Known int
	// Remote holds the names of the other data centres, sorted.
	Remote []string
	// Complete is set once the whole member table has been read.
	Complete bool
	// OwnEntryRead is set once a read of the member table has returned this daemon's own
	// entry; see docs/design/quotas.md.
	OwnEntryRead bool
}

// SetUpstream passes the state of the local upstream to the data path.
type SetUpstream struct {
	Upstream Upstream
}

// WriteMember writes this daemon's entry to the member table.
type WriteMember struct {
	Key   string
	Value []byte
	// Departure is the one that the entry holds.
	Departure Departure
}

// HoldAcknowledgement makes reports that the local upstream leaves wait for their
// acknowledgement until the next ReleaseAcknowledgement: what is acknowledged must be on the
// store.
type HoldAcknowledgement struct{}

// ReleaseAcknowledgement ends HoldAcknowledgement.
type ReleaseAcknowledgement struct{}

// RemoveMember removes this daemon's entry from the member table.
type RemoveMember struct {
	Key string
}

// FetchConfig requests the configuration from a peer.
type FetchConfig struct {
	Instance string
	// Version is the version that the peer reported. The peer returns the one
	// that it then has in force.
	Version uint64
}

// SetStoreWatcher sets the store watcher role of this daemon: whether it watches the
// store for new configurations, and whether it takes turns with another one.
type SetStoreWatcher struct {
	On bool
	// Turns is the number of store watchers of the data centre that take turns, and
	// Turn the place of this one among them, from 0. Both are 0 unless On is set.
	Turn, Turns int
}

// ReadConfig reads the configuration from the store once.
type ReadConfig struct{}

// ReadMembers reads the member table from the store, in full if the store has come
// back from an older copy.
type ReadMembers struct{}

// PublishStoreEra passes the era of the store to the data path, which reports it
// to peers.
type PublishStoreEra struct {
	Era store.Era
	// Advanced is clear for the first era that this daemon has seen.
	Advanced bool
}

// EffectName implements step.Effect.
func (ReadMembers) EffectName() string { return "read-members" }

// EffectName implements step.Effect.
func (PublishStoreEra) EffectName() string { return "publish-store-era" }

// EffectName implements step.Effect.
func (SetStoreWatcher) EffectName() string { return "set-duty" }

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
func (HoldAcknowledgement) EffectName() string { return "hold-acknowledgement" }

// EffectName implements step.Effect.
func (ReleaseAcknowledgement) EffectName() string { return "release-acknowledgement" }

// EffectName implements step.Effect.
func (RemoveMember) EffectName() string { return "remove-member" }

// EffectName implements step.Effect.
func (FetchConfig) EffectName() string { return "fetch-config" }
