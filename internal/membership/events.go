package membership

import (
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// PacketReceived brings a decoded datagram.
type PacketReceived struct {
	// From is the host:port the datagram came from.
	From   string
	Packet *peerv1.Packet
}

// PacketRefused tells that a datagram did not decode; it is counted.
type PacketRefused struct {
	From string
	Err  error
}

// UpstreamAnnounced is what the local upstream told its daemon.
type UpstreamAnnounced struct {
	Service string
	Slots   int
	State   UpstreamState
	// TTL is for how long the announcement holds.
	TTL time.Duration
}

// AppliedChanged tells which configuration this daemon has in force.
type AppliedChanged struct {
	Config manifest.ID
}

// RefusedChanged tells which configuration this daemon refused last; nil when
// a newer one came into force.
type RefusedChanged struct {
	Refusal *peerv1.Refusal
}

// LeaveRequested begins a planned stop: the instance is marked leaving.
type LeaveRequested struct{}

// LeaveFinished ends a planned stop: the instance has left.
type LeaveFinished struct{}

// ReportsWanted asks the polling daemons of all data centres for their newest
// reports.
type ReportsWanted struct{}

// ExchangeRequested is a peer's ExchangeMembers call; a step.Reply with an
// ExchangeMembersResponse answers it.
type ExchangeRequested struct {
	Call    step.CallID
	Request *peerv1.ExchangeMembersRequest
}

// ExchangeAnswered is the end of a StartExchange: a response or an error.
type ExchangeAnswered struct {
	Address  string
	Response *peerv1.ExchangeMembersResponse
	Err      error
}

// ContactsRead is the end of a ReadContacts.
type ContactsRead struct {
	Rows []platform.Row
	Err  error
}

// ContactWritten is the end of a WriteContact.
type ContactWritten struct {
	Key string
	Err error
}

// EventName implements step.Event.
func (PacketReceived) EventName() string    { return "packet-received" }
func (PacketRefused) EventName() string     { return "packet-refused" }
func (UpstreamAnnounced) EventName() string { return "upstream-announced" }
func (AppliedChanged) EventName() string    { return "applied-changed" }
func (RefusedChanged) EventName() string    { return "refused-changed" }
func (LeaveRequested) EventName() string    { return "leave-requested" }
func (LeaveFinished) EventName() string     { return "leave-finished" }
func (ReportsWanted) EventName() string     { return "reports-wanted" }
func (ExchangeRequested) EventName() string { return "exchange-requested" }
func (ExchangeAnswered) EventName() string  { return "exchange-answered" }
func (ContactsRead) EventName() string      { return "contacts-read" }
func (ContactWritten) EventName() string    { return "contact-written" }
