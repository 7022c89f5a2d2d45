// Package event holds the catalogue of numbered log events. Each log line of
// the daemon and the tool carries the number and name of one of them. The
// catalogue in docs/EVENTS.md is checked against this package.
package event

import "go.uber.org/zap"

// Number identifies a kind of log line. The thousands group them: 1xxx
// process, 2xxx configuration, 3xxx membership, 4xxx calls, 5xxx claims, 6xxx
// quarantine, 7xxx platform, 8xxx stand-ins.
type Number uint16

// The events.
const (
	DaemonStarted      Number = 1001
	DaemonReady        Number = 1002
	DaemonStopping     Number = 1003
	DaemonStopped      Number = 1004
	ProcessPaused      Number = 1005
	ListenFailed       Number = 1006
	SettingsRefused    Number = 1007
	ReducerPanicked    Number = 1008
	EventQueueOverflow Number = 1009

	ConfigSeen          Number = 2001
	ConfigFetched       Number = 2002
	ConfigApplied       Number = 2003
	ConfigRefused       Number = 2004
	ConfigOlderHead     Number = 2005
	ConfigSecondDigest  Number = 2006
	ConfigFetchFailed   Number = 2007
	ConfigPollerChanged Number = 2008
	ConfigFloorLearnt   Number = 2009
	ConfigServed        Number = 2010

	MemberJoined      Number = 3001
	MemberSuspected   Number = 3002
	MemberDead        Number = 3003
	MemberLeft        Number = 3004
	MemberRefuted     Number = 3005
	UpstreamAnnounced Number = 3006
	UpstreamState     Number = 3007
	UpstreamLapsed    Number = 3008
	PacketDropped     Number = 3009
	ExchangeFailed    Number = 3010
	PeersRowWritten   Number = 3011
	FirstContact      Number = 3012

	CallRouted        Number = 4001
	CallAdmitted      Number = 4002
	CallAnswered      Number = 4003
	CallRetried       Number = 4004
	CallFenced        Number = 4005
	UpstreamEjected   Number = 4006
	UpstreamReturned  Number = 4007
	CallLogDropped    Number = 4008
	CallAnswerAborted Number = 4009

	ClaimGranted    Number = 5001
	ClaimRefused    Number = 5002
	ClaimReleased   Number = 5003
	ClaimTenure     Number = 5004
	ClaimsWritten   Number = 5005
	ClaimsHandedOff Number = 5006

	RequestCrashed     Number = 6001
	RequestQuarantined Number = 6002

	PlatformLost      Number = 7001
	PlatformRecovered Number = 7002
	PlatformSlow      Number = 7003

	StandinRan Number = 8001
)

// Info is one row of the catalogue.
type Info struct {
	Number Number
	Name   string
	// Text says in one sentence what the line tells.
	Text string
}

var catalogue = []Info{
	{DaemonStarted, "daemon-started", "The process started and listens."},
	{DaemonReady, "daemon-ready", "The daemon holds a configuration and takes calls."},
	{DaemonStopping, "daemon-stopping", "A planned stop began."},
	{DaemonStopped, "daemon-stopped", "The process ends; nothing was cut off."},
	{ProcessPaused, "process-paused", "The process stood still; leases held before are treated as lapsed."},
	{ListenFailed, "listen-failed", "A listening address could not be opened."},
	{SettingsRefused, "settings-refused", "The settings file has errors."},
	{ReducerPanicked, "reducer-panicked", "A step panicked; the event was dropped."},
	{EventQueueOverflow, "event-queue-overflow", "The control queue was full and an event was dropped."},

	{ConfigSeen, "config-seen", "A newer version became known, and from whom."},
	{ConfigFetched, "config-fetched", "A version's body arrived, as a delta or whole."},
	{ConfigApplied, "config-applied", "A version is in force."},
	{ConfigRefused, "config-refused", "A version was refused whole, and why."},
	{ConfigOlderHead, "config-older-head", "The platform's head is below the version in force; it is not followed."},
	{ConfigSecondDigest, "config-second-digest", "A second digest was seen under a known version; it is not followed."},
	{ConfigFetchFailed, "config-fetch-failed", "A version could not be fetched from a source."},
	{ConfigPollerChanged, "config-poller-changed", "This daemon began or ceased to poll the platform for its data centre."},
	{ConfigFloorLearnt, "config-floor-learnt", "Peers told what this instance applied before it restarted."},
	{ConfigServed, "config-served", "A version was served to a peer."},

	{MemberJoined, "member-joined", "An instance became known."},
	{MemberSuspected, "member-suspected", "An instance did not answer probes."},
	{MemberDead, "member-dead", "A suspected instance did not refute in time."},
	{MemberLeft, "member-left", "An instance left in a planned stop."},
	{MemberRefuted, "member-refuted", "This instance refuted a suspicion of itself."},
	{UpstreamAnnounced, "upstream-announced", "The local upstream announced itself."},
	{UpstreamState, "upstream-state", "The local upstream's state changed."},
	{UpstreamLapsed, "upstream-lapsed", "The local upstream's announcement ran out."},
	{PacketDropped, "packet-dropped", "A gossip packet was malformed, oversized, foreign or replayed."},
	{ExchangeFailed, "exchange-failed", "An exchange of member tables failed."},
	{PeersRowWritten, "peers-row-written", "This instance wrote its address to the data centre's contact row."},
	{FirstContact, "first-contact", "A first peer answered, and where its address came from."},

	{CallRouted, "call-routed", "A call was given to an upstream, and why that one."},
	{CallAdmitted, "call-admitted", "An executing daemon admitted or refused a call."},
	{CallAnswered, "call-answered", "A call got its final answer."},
	{CallRetried, "call-retried", "A call is tried on another upstream."},
	{CallFenced, "call-fenced", "An attempt was fenced, and whether it had started."},
	{UpstreamEjected, "upstream-ejected", "An upstream is passed over because of its failures."},
	{UpstreamReturned, "upstream-returned", "An ejected upstream is tried again."},
	{CallLogDropped, "call-log-dropped", "Decision lines were dropped because the log could not keep up."},
	{CallAnswerAborted, "call-answer-aborted", "An answer ended early and the caller's connection was closed."},

	{ClaimGranted, "claim-granted", "The claim holder granted a key."},
	{ClaimRefused, "claim-refused", "The claim holder refused a key, and why."},
	{ClaimReleased, "claim-released", "A claim was released after its attempt was proved not run."},
	{ClaimTenure, "claim-tenure", "The claim holder's tenure began anew, and why."},
	{ClaimsWritten, "claims-written", "A group of claims was written to the platform's table."},
	{ClaimsHandedOff, "claims-handed-off", "Claims were handed to the next holder."},

	{RequestCrashed, "request-crashed", "A request was in flight when an upstream crashed."},
	{RequestQuarantined, "request-quarantined", "A request that crashed upstreams is refused from now on."},

	{PlatformLost, "platform-lost", "The platform stopped answering."},
	{PlatformRecovered, "platform-recovered", "The platform answers again."},
	{PlatformSlow, "platform-slow", "The platform answered slowly."},

	{StandinRan, "standin-ran", "The upstream stand-in begins to run a request."},
}

var byNumber = index()

func index() map[Number]Info {
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

// String returns the event's name.
func (n Number) String() string {
	if info, ok := byNumber[n]; ok {
		return info.Name
	}
	return "unknown-event"
}

// Field returns the zap field that carries the event's number.
func (n Number) Field() zap.Field {
	return zap.Uint16("event", uint16(n))
}

// Info logs the event at info level, under its name.
func (n Number) Info(log *zap.Logger, fields ...zap.Field) {
	log.Info(n.String(), append([]zap.Field{n.Field()}, fields...)...)
}

// Warn logs the event at warning level, under its name.
func (n Number) Warn(log *zap.Logger, fields ...zap.Field) {
	log.Warn(n.String(), append([]zap.Field{n.Field()}, fields...)...)
}

// Error logs the event at error level, under its name.
func (n Number) Error(log *zap.Logger, fields ...zap.Field) {
	log.Error(n.String(), append([]zap.Field{n.Field()}, fields...)...)
}
