// Package event defines the catalogue of numbered log events. Each log line of
// the daemon has the number and the name of one of them. A test in docscheck
// compares docs/EVENTS.md with the catalogue.
package event

import "go.uber.org/zap"

// Number identifies a log event. The thousands are groups: 1xxx process, 2xxx
// configuration, 3xxx daemons and upstreams, 4xxx requests, 6xxx quarantine, 7xxx
// store, 8xxx rollouts, 9xxx customers.
type Number uint16

// The log events.
const (
	DaemonStarted      Number = 1001
	DaemonReady        Number = 1002
	DaemonStopping     Number = 1003
	DaemonStopped      Number = 1004
	ProcessPaused      Number = 1005
	ListenFailed       Number = 1006
	SettingsReread     Number = 1007
	ReducerPanicked    Number = 1008
	EventQueueOverflow Number = 1009
	LogLinesDropped    Number = 1010

	ConfigSeen    Number = 2001
	ConfigApplied Number = 2003
	ConfigRefused Number = 2004
	WatchDuty     Number = 2005
	ConfigOlder   Number = 2006

	MembersChanged   Number = 3001
	MemberUnreadable Number = 3002
	PeerUp           Number = 3003
	PeerDown         Number = 3004
	UpstreamState    Number = 3007
	UpstreamSilent   Number = 3008
	UpstreamIgnored  Number = 3009
	ReportRefused    Number = 3010
	MemberRestored   Number = 3011
	PeerDisconnected Number = 3012
	UpstreamNotice   Number = 3013
	SessionResumed   Number = 3014
	SessionMoved     Number = 3015

	WatchTurns Number = 3018

	DepartureRecorded Number = 3019

	CallRouted   Number = 4001
	CallExecuted Number = 4002
	CallAnswered Number = 4003
	CallRetried  Number = 4004

	RequestPanicked Number = 4005
	CallUnanswered  Number = 4006
	CallHedged      Number = 4007

	RequestCrashed Number = 6001

	KeysUnproven Number = 9001
	KeysProven   Number = 9002

	QuotaExceeded         Number = 9021
	QuotaOwner            Number = 9022
	QuotaShareMoved       Number = 9023
	QuotaOwnerUnavailable Number = 9024
	QuotaPaused           Number = 9025
	QuotaMembersUnread    Number = 9026

	StoreLost        Number = 7001
	StoreRecovered   Number = 7002
	StoreHistoryGone Number = 7003
	StoreEraAdvanced Number = 7004
	StoreEraMissing  Number = 7005
	StoreCallFailed  Number = 7006

	StoreRowUnreadable Number = 7007

	RolloutSeen           Number = 8001
	RolloutRejected       Number = 8002
	RolloutPhase          Number = 8003
	RolloutEvidence       Number = 8004
	RolloutCoordinator    Number = 8005
	RolloutWritten        Number = 8006
	RolloutUpstreamClosed Number = 8007
	RolloutWaiting        Number = 8008
	RolloutRowInvalid     Number = 8009
)

// Info describes one event.
type Info struct {
	Number Number
	// Name is the event's stable name, the message of its log lines.
	Name string
	// Text is a one-sentence description, as in docs/EVENTS.md.
	Text string
}

var catalogue = []Info{
	{DaemonStarted, "daemon-started", "The process started and listens for connections."},
	{DaemonReady, "daemon-ready", "The daemon has a configuration and accepts requests."},
	{DaemonStopping, "daemon-stopping", "A planned stop began."},
	{DaemonStopped, "daemon-stopped", "The process stops; the line says how many requests are still in flight."},
	{ProcessPaused, "process-paused", "The process did not run for some time."},
	{ListenFailed, "listen-failed", "A listening address could not be opened or served."},
	{SettingsReread, "settings-reread", "The settings file was read again; the line says whether it changed, or why it was rejected."},
	{ReducerPanicked, "reducer-panicked", "A step of the reducer panicked; its event was dropped."},
	{EventQueueOverflow, "event-queue-overflow", "The control event queue was full; an event was dropped."},
	{LogLinesDropped, "log-lines-dropped", "Log lines were dropped because there were too many; the line says how many."},

	{ConfigSeen, "config-seen", "A peer has applied a newer configuration version."},
	{ConfigApplied, "config-applied", "A configuration version was applied."},
	{ConfigRefused, "config-refused", "A configuration version was rejected as a whole; the line says why."},
	{WatchDuty, "watch-duty", "This daemon started or stopped watching the store for configurations."},
	{ConfigOlder, "config-older", "The store holds an older configuration than the one in force, which stays."},

	{MembersChanged, "members-changed", "The member table changed."},
	{MemberUnreadable, "member-unreadable", "A row of the member table cannot be decoded; the previous row stays in use."},
	{PeerUp, "peer-up", "Another daemon is reachable."},
	{PeerDown, "peer-down", "Another daemon is unreachable; the line says why."},
	{UpstreamState, "upstream-state", "The state of the local upstream changed."},
	{UpstreamSilent, "upstream-silent", "The local upstream's heartbeats stopped; it gets no requests until the next one."},
	{UpstreamIgnored, "upstream-ignored", "A report was ignored because it was outdated or came from another upstream."},
	{ReportRefused, "report-refused", "A report of an upstream could not be decoded or was not applied in time; the line says which."},
	{MemberRestored, "member-restored", "A member that had left is in the older copy that the store came back from; it is not used."},
	{PeerDisconnected, "peer-disconnected", "A connection that another daemon had opened to this one ended; the line says why and how many requests it had."},
	{UpstreamNotice, "upstream-notice", "The upstream's answers say something new about it: a limit of requests a second, or that it is leaving."},
	{SessionResumed, "session-resumed", "The requests on a lost or silent connection to a peer were resumed on a new one; the line says what became of them."},
	{SessionMoved, "session-moved", "A peer has moved its requests to a new connection; the line says how many run on and how many were cancelled."},
	{WatchTurns, "watch-turns", "This store watcher takes turns with another one of its data centre, or watches alone from now on."},
	{DepartureRecorded, "departure-recorded", "The departure of the local upstream is on the store; its reports of it are acknowledged from now on."},

	{CallRouted, "call-routed", "A request was sent to an upstream; the line says why this one was chosen."},
	{CallExecuted, "call-executed", "The executing daemon ran or refused a request."},
	{CallAnswered, "call-answered", "A request received its final answer."},
	{CallRetried, "call-retried", "A request is retried on another upstream; the line says why."},
	{RequestPanicked, "request-panicked", "Handling a peer's request panicked; the peer was told that it may have run."},
	{CallUnanswered, "call-unanswered", "A caller's connection ended before the answer to a request; the line says at which stage and who closed it."},
	{CallHedged, "call-hedged", "The peer of a request in flight is silent; the line says whether the request is sent to another upstream as well, or why not."},

	{RequestCrashed, "request-crashed", "A request was running when the upstream crashed; it is refused after its second crash."},

	{StoreLost, "store-lost", "The platform's store became unavailable."},
	{StoreRecovered, "store-recovered", "The platform's store is available again."},
	{StoreHistoryGone, "store-history-gone", "The store no longer has the requested changes; the whole table is read again."},
	{StoreEraAdvanced, "store-era-advanced", "The store came back from an older copy; the member table is read again."},
	{StoreEraMissing, "store-era-missing", "The store's answers carry no valid era; it counts as era 0."},
	{StoreCallFailed, "store-call-failed", "A call to the store failed while it is unavailable; the line says how, after how long and on which connection."},
	{StoreRowUnreadable, "store-row-unreadable", "Rows of the store cannot be read; what is known of them stays in use, and the others are applied."},

	{RolloutSeen, "rollout-seen", "A new rollout request is known; the line says from whom."},
	{RolloutRejected, "rollout-rejected", "A rollout request is invalid or names an unknown service; no requests are moved."},
	{RolloutPhase, "rollout-phase", "A rollout entered a phase; the line says why and who decided."},
	{RolloutEvidence, "rollout-evidence", "The coordinator compared the new version with the old one."},
	{RolloutCoordinator, "rollout-coordinator", "This daemon began or ceased to coordinate a rollout."},
	{RolloutWritten, "rollout-written", "A phase of a rollout was written to the store, or the write failed; the line says why."},
	{RolloutUpstreamClosed, "rollout-upstream-closed", "The local upstream of the new version fails beyond doubt; it gets no requests in the rollout."},
	{RolloutWaiting, "rollout-waiting", "The next phase of a rollout waits for something; the line says for what."},
	{RolloutRowInvalid, "rollout-row-invalid", "The row of a rollout's phase cannot be read; it is written again."},
	{KeysUnproven, "keys-unproven", "Requests with customers' keys are refused because no recent proof of the configuration is known."},
	{KeysProven, "keys-proven", "Requests with customers' keys are served again."},

	{QuotaExceeded, "quota-exceeded", "Requests of a customer are refused because they are beyond its allowance; the line says how many since the last one."},
	{QuotaOwner, "quota-owner", "This daemon keeps the token bucket of a customer for its data centre from now on."},
	{QuotaShareMoved, "quota-share-moved", "The data centre's share of a customer's allowance changed; the line says by how much."},
	{QuotaOwnerUnavailable, "quota-owner-unavailable", "The daemon that keeps a customer's token bucket did not answer; this daemon's own small share is used."},
	{QuotaPaused, "quota-paused", "The process did not run for a while; its token buckets were dropped, since another daemon may keep them."},
	{QuotaMembersUnread, "quota-members-unread", "Requests of a customer with a limit are refused: the daemon has not read its own entry of the member table and knows no other one that grants tokens."},
}

var byNumber = indexByNumber()

func indexByNumber() map[Number]Info {
	m := make(map[Number]Info, len(catalogue))
	for _, info := range catalogue {
		m[info.Number] = info
	}
	return m
}

// All returns the catalogue in ascending order.
func All() []Info {
	return append([]Info(nil), catalogue...)
}

// String returns the event's name, or "unknown-event" for a number that isn't in
// the catalogue.
func (n Number) String() string {
	if info, ok := byNumber[n]; ok {
		return info.Name
	}
	return "unknown-event"
}

// Field returns the zap field "event" with the event's number.
func (n Number) Field() zap.Field {
	return zap.Uint16("event", uint16(n))
}

// Info logs the event at info level, with its name as message.
func (n Number) Info(log *zap.Logger, fields ...zap.Field) {
	log.Info(n.String(), append([]zap.Field{n.Field()}, fields...)...)
}

// Warn logs the event at warning level, with its name as message.
func (n Number) Warn(log *zap.Logger, fields ...zap.Field) {
	log.Warn(n.String(), append([]zap.Field{n.Field()}, fields...)...)
}

// Error logs the event at error level, with its name as message.
func (n Number) Error(log *zap.Logger, fields ...zap.Field) {
	log.Error(n.String(), append([]zap.Field{n.Field()}, fields...)...)
}
