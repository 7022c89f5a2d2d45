package rollout

import (
	"time"

	"godwitmount/internal/store"
)

// RequestsRead carries rollout requests that were read from the store.
type RequestsRead struct {
	Requests []Request
	// Rejected holds the rows that are no valid requests.
	Rejected []RejectedRequest
}

// RejectedRequest is a row that is no valid rollout request.
type RejectedRequest struct {
	Key string
	Err error
}

// RowsRead carries what the store holds about rollouts besides the requests, read
// completely, or the error of the read.
type RowsRead struct {
	// Statuses and Phases hold the rows by service.
	Statuses map[string]StatusRow
	Phases   map[string]PhaseRow
	Err      error
}

// StatusRow is the row that tells the platform how far a service's rollout is.
type StatusRow struct {
	// Version is the version of the row; 0 if there is none.
	Version uint64
}

// PhaseRow is the row in which the daemons keep how far a service's rollout is.
type PhaseRow struct {
	// Version is the version of the row; 0 if there is none.
	Version uint64
	Saved   Saved
	// Err says why the row's content cannot be read; Saved is empty then.
	Err error
}

// ProgressReceived carries what a peer knows about rollouts.
type ProgressReceived struct {
	Instance string
	Progress []Progress
}

// ReportReceived carries a report about the upstream of a service, from a peer or
// from this daemon.
type ReportReceived struct {
	Instance string
	Report   Report
}

// MembersChanged carries the daemons that this one connects to.
type MembersChanged struct {
	Members []Member
	// Others holds the members of this daemon's service that it does not connect to.
	Others []Member
	// Complete is set once the whole member table has been read.
	Complete bool
}

// Member is another daemon and the service of its upstream.
type Member struct {
	Instance   string
	DataCentre string
	Service    string
}

// PeerReachability reports that a peer has become reachable or unreachable.
type PeerReachability struct {
	Instance  string
	Reachable bool
}

// PeerState reports a change of what a peer says about its upstream and the store.
type PeerState struct {
	Instance string
	Service  string
	Version  string
	// StoreUnavailable is set while the store does not answer the peer.
	StoreUnavailable bool
}

// StoreAvailability reports whether the store answers this daemon.
type StoreAvailability struct {
	Unavailable bool
}

// UpstreamChanged reports the service and version of the local upstream; both are
// empty if it has not reported yet.
type UpstreamChanged struct {
	Service string
	Version string
}

// ConfigServices carries the names of the configured services.
type ConfigServices struct {
	Names map[string]bool
}

// WriteDone reports the result of a Write.
type WriteDone struct {
	Service  string
	Position store.Position
	Phase    Phase
	// Version is the version of the written rows if Err is nil.
	Version uint64
	// Current holds the rows that differ from the expected ones if Err wraps
	// store.ErrConflict.
	Current Current
	Err     error
}

// Current holds the versions of rows that the store named with a conflict; a nil
// pointer stands for a row that it did not name.
type Current struct {
	Status  *StatusRow
	Phase   *PhaseRow
	Request *uint64
}

// EventName implements step.Event.
func (RequestsRead) EventName() string { return "requests-read" }

// EventName implements step.Event.
func (RowsRead) EventName() string { return "rows-read" }

// EventName implements step.Event.
func (ProgressReceived) EventName() string { return "progress-heard" }

// EventName implements step.Event.
func (ReportReceived) EventName() string { return "report-received" }

// EventName implements step.Event.
func (MembersChanged) EventName() string { return "members-changed" }

// EventName implements step.Event.
func (PeerReachability) EventName() string { return "peer-reached" }

// EventName implements step.Event.
func (PeerState) EventName() string { return "peer-state" }

// EventName implements step.Event.
func (StoreAvailability) EventName() string { return "store-availability" }

// EventName implements step.Event.
func (UpstreamChanged) EventName() string { return "upstream-changed" }

// EventName implements step.Event.
func (ConfigServices) EventName() string { return "config-services" }

// EventName implements step.Event.
func (WriteDone) EventName() string { return "write-done" }

// Publish passes the rollouts to the data path and to peers.
type Publish struct {
	Views []View
	// Summaries holds what operators see, in the order of Views.
	Summaries []Summary
	// NotifyPeers is set if peers are to be notified at once.
	NotifyPeers bool
}

// Summary is what an operator sees of a rollout besides its view.
type Summary struct {
	// Coordinator is the daemon that decides, as far as this one knows.
	Coordinator string
	// Verdict is that of the coordinator, the zero value elsewhere.
	Verdict Verdict
	// Waiting says what the next phase waits for.
	Waiting string
	// Elapsed is the time since the first daemon learned of the request.
	Elapsed time.Duration
}

// SendReport sends this daemon's report to peers.
type SendReport struct {
	To     []string
	Report Report
}

// CheckPeers finds out soon which peers are still reachable.
type CheckPeers struct{}

// ReadRows reads the rows that RowsRead carries.
type ReadRows struct{}

// ReadRequests reads the rollout requests from the store.
type ReadRequests struct{}

// Write writes the status and the phase of a rollout, if the rows have the expected
// versions.
type Write struct {
	Request Request
	// StatusVersion and PhaseVersion are the versions of the rows that are expected;
	// 0 means that there is none.
	StatusVersion, PhaseVersion uint64
	Saved                       Saved
}

// Saved is the content of the row in which the daemons keep a rollout's phase.
type Saved struct {
	// Era and Version are the position of the rollout request's row.
	Era     uint64   `json:"era"`
	Version uint64   `json:"version"`
	To      string   `json:"to"`
	From    []string `json:"from,omitempty"`
	Denied  []string `json:"denied,omitempty"`
	Phase   string   `json:"phase"`
	Reason  string   `json:"reason,omitempty"`
}

// position returns the position of the rollout request's row.
func (s *Saved) position() store.Position {
	return store.Position{Era: store.Era(s.Era), Version: s.Version}
}

// EffectName implements step.Effect.
func (Publish) EffectName() string { return "publish" }

// EffectName implements step.Effect.
func (SendReport) EffectName() string { return "send-report" }

// EffectName implements step.Effect.
func (CheckPeers) EffectName() string { return "check-peers" }

// EffectName implements step.Effect.
func (ReadRows) EffectName() string { return "read-rows" }

// EffectName implements step.Effect.
func (ReadRequests) EffectName() string { return "read-requests" }

// EffectName implements step.Effect.
func (Write) EffectName() string { return "write" }
