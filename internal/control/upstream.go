package control

import (
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// UpstreamState is the last known state of the local upstream.
type UpstreamState uint8

// The states of an upstream.
const (
	// UpstreamUnknown: it has not reported to this process.
	UpstreamUnknown UpstreamState = iota
	// UpstreamReady: it accepts requests.
	UpstreamReady
	// UpstreamDraining: it finishes its running requests and accepts no new ones.
	UpstreamDraining
	// UpstreamDeregistered: it has reported that it is ending.
	UpstreamDeregistered
	// UpstreamSilent: it was ready and its reports have stopped.
	UpstreamSilent
)

// String returns the state's name in logs.
func (s UpstreamState) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone", "silent"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Upstream is the state of the local upstream: the process beside this daemon
// that runs requests. Except where noted, fields come from its last report.
type Upstream struct {
	// ID and StartTime together identify one incarnation, that is, one run of the
	// upstream's process.
	ID string
	// StartTime is its start time in Unix milliseconds; 0 for unknown.
	StartTime int64
	Service   string
	// Version is that of its program; empty if unknown.
	Version string
	// Address is host:port.
	Address string
	// Slots is the number of requests that it runs at a time.
	Slots int
	State UpstreamState
	// Unreachable is set for unreachablePause after it accepted no connection.
	Unreachable bool
	// Stalled is set from an UpstreamStalled event until its next report.
	Stalled bool
	// Unproven is set while it is not known whether an earlier process of this daemon has
	// acknowledged that it leaves.
	Unproven bool
	// sequence is the sequence number of its last report.
	sequence uint64
	// lateSequence is that of the last report of this incarnation that was ignored since
	// then; 0 if none was.
	lateSequence uint64
	// deregisteredAt is when it deregistered, in Unix milliseconds; set only if
	// its start time is unknown. The upstream runs on the same machine, so its
	// later start times are comparable.
	deregisteredAt int64
}

// AcceptsRequests reports whether the upstream may be given requests.
func (u Upstream) AcceptsRequests() bool {
	return u.State == UpstreamReady && !u.Unreachable && !u.Stalled && !u.Unproven && u.Slots > 0
}

// Draining reports whether the upstream is draining or has deregistered.
func (u Upstream) Draining() bool {
	return u.State == UpstreamDraining || u.State == UpstreamDeregistered
}

// UpstreamReport is a report that the local upstream sent about itself.
type UpstreamReport struct {
	// Upstream is its ID. It may be the same after a restart.
	Upstream string
	// StartTime is its start time in Unix milliseconds of its own clock; 0 for
	// unknown.
	StartTime int64
	Service   string
	// Version is that of its program; empty if unknown.
	Version string
	// Address is host:port.
	Address string
	Slots   int
	State   UpstreamState
	// Sequence increases with each report of one incarnation.
	Sequence uint64
}

// EventName implements step.Event.
func (UpstreamReport) EventName() string { return "upstream-report" }

// upstreamReport applies a report of the upstream. A late report, one of an
// earlier incarnation, or one with another address or service than the configured one,
// changes nothing.
func (c *Core) upstreamReport(ev UpstreamReport) {
	if ev.State == UpstreamDeregistered {
		c.deregister(ev)
		return
	}
	if c.cfg.UpstreamAddress != "" && ev.Address != c.cfg.UpstreamAddress {
		c.log(event.UpstreamIgnored, true, step.F("upstream", ev.Upstream), step.F("address", ev.Address), step.F("why", "not the configured address"))
		return
	}
	sameIncarnation := c.upstream.sameIncarnation(ev)
	if c.otherService(ev, sameIncarnation) {
		c.log(event.UpstreamIgnored, true, step.F("upstream", ev.Upstream), step.F("service", ev.Service), step.F("why", "not the configured service"))
		return
	}
	if c.outdated(ev, sameIncarnation) {
		c.log(event.UpstreamIgnored, false, step.F("upstream", ev.Upstream), step.F("sequence", ev.Sequence), step.F("why", "outdated"))
		if sameIncarnation {
			c.upstream.lateSequence = ev.Sequence
		}
		return
	}
	before := c.upstream
	c.lastHeartbeat = c.now
	c.upstream = Upstream{
		ID: ev.Upstream, StartTime: ev.StartTime, Service: ev.Service, Version: ev.Version, Address: ev.Address,
		Slots: ev.Slots, State: ev.State, sequence: ev.Sequence,
	}
	if sameIncarnation {
		c.upstream.Unreachable = before.Unreachable && c.now < c.unreachableUntil
	}
	if ev.State == UpstreamReady {
		c.upstream.Unproven = c.isUnproven(before, sameIncarnation)
	}
	if !c.upstream.Unreachable {
		c.unreachableUntil = 0
	}
	changed := before
	changed.sequence, changed.lateSequence = ev.Sequence, 0
	if changed != c.upstream {
		c.publishUpstream()
	}
	if c.upstream.Draining() {
		c.recordDeparture()
	}
}

// otherService reports whether ev has another service than the configured one, and so comes from
// another writer. That the known upstream is draining counts in any case: its service may have
// been changed in the settings while it runs.
func (c *Core) otherService(ev UpstreamReport, sameIncarnation bool) bool {
	if c.service == "" || ev.Service == c.service {
		return false
	}
	return ev.State != UpstreamDraining || !sameIncarnation
}

// sameIncarnation reports whether ev comes from the incarnation u. If u
// deregistered with an unknown start time, only a start time after the
// deregistration identifies a new incarnation.
func (u Upstream) sameIncarnation(ev UpstreamReport) bool {
	if u.ID != ev.Upstream {
		return false
	}
	if u.StartTime == 0 && u.deregisteredAt != 0 {
		return ev.StartTime <= u.deregisteredAt
	}
	return u.StartTime == ev.StartTime
}

// outdated reports whether ev is older than the known state. An incarnation
// that is draining or has deregistered never becomes ready again, and one that reports
// draining is draining, however late the report is.
func (c *Core) outdated(ev UpstreamReport, sameIncarnation bool) bool {
	known := &c.upstream
	departed := c.departures.latest.covers(ev) || known.Draining() && known.departure().covers(ev)
	if ev.State == UpstreamReady && departed {
		return true
	}
	if known.State == UpstreamUnknown {
		return false
	}
	if !sameIncarnation {
		// The clock of a new upstream may be behind that of the known one, so
		// an earlier start time is accepted once the known one has stopped
		// reporting.
		return ev.StartTime < known.StartTime && c.now-c.lastHeartbeat < takeoverHeartbeats*c.cfg.HeartbeatInterval
	}
	late := ev.Sequence <= known.sequence
	switch {
	case known.Draining():
		return late || ev.State == UpstreamReady
	case late && ev.State == UpstreamDraining && ev.StartTime != 0:
		return false
	}
	return late && !c.sequenceResumed(ev)
}

// sequenceResumed reports whether a report with an earlier sequence shows that the known one
// was not the upstream's: nobody has continued that for some time, and the reports behind it
// go on. A single delayed report shows nothing.
func (c *Core) sequenceResumed(ev UpstreamReport) bool {
	known := &c.upstream
	return known.lateSequence != 0 && ev.Sequence > known.lateSequence && c.now-c.lastHeartbeat >= takeoverHeartbeats*c.cfg.HeartbeatInterval
}

// deregister marks the upstream as deregistered, even if it has not reported to
// this process. It ignores the deregistration of another upstream or of an
// earlier incarnation.
func (c *Core) deregister(ev UpstreamReport) {
	known := &c.upstream
	other := known.State != UpstreamUnknown && (known.ID != ev.Upstream || ev.StartTime != 0 && ev.StartTime < known.StartTime)
	if other {
		c.log(event.UpstreamIgnored, false, step.F("upstream", ev.Upstream), step.F("why", "deregistration of another upstream"))
		return
	}
	known.ID = ev.Upstream
	if ev.StartTime != 0 {
		known.StartTime = ev.StartTime
	}
	if known.StartTime == 0 {
		known.deregisteredAt = c.wall
	}
	if known.State != UpstreamDeregistered {
		known.State = UpstreamDeregistered
		c.publishUpstream()
	}
	c.recordDeparture()
}

// upstreamWasDraining restores the draining state that a peer recorded before
// this process started. It applies only to the known incarnation, or to any if
// none has reported yet.
func (c *Core) upstreamWasDraining(ev DrainRecordReceived) {
	if ev.ID != "" && ev.StartTime != 0 {
		c.restoreDeparture(Departure{Upstream: ev.ID, StartTime: ev.StartTime})
	}
}

// upstreamLeaving stops sending requests to an upstream that has announced its end. An
// announcement of an earlier incarnation changes nothing.
func (c *Core) upstreamLeaving(ev UpstreamLeaving) {
	known := &c.upstream
	if known.ID != ev.ID || known.StartTime != ev.StartTime || known.State == UpstreamUnknown || known.Draining() {
		return
	}
	known.State = UpstreamDraining
	c.publishUpstream()
}

// upstreamUnreachable stops sending requests to an upstream that accepted no
// connection, for unreachablePause.
func (c *Core) upstreamUnreachable(ev UpstreamUnreachable) {
	if ev.ID != c.upstream.ID || c.upstream.Unreachable || c.upstream.State != UpstreamReady {
		return
	}
	c.upstream.Unreachable = true
	c.unreachableUntil = c.now + unreachablePause
	c.publishUpstream()
}

// upstreamStalled stops sending requests to the upstream until its next report:
// an unresponsive upstream keeps its connections open and would hold each
// request until the deadline.
func (c *Core) upstreamStalled(ev UpstreamStalled) {
	if ev.ID != c.upstream.ID || c.upstream.Stalled || c.upstream.State != UpstreamReady {
		return
	}
	c.upstream.Stalled = true
	c.publishUpstream()
}

// publishUpstream publishes the upstream's state to the data path and logs it.
// It first clears Unreachable if the pause has ended.
func (c *Core) publishUpstream() {
	if c.unreachableUntil == 0 {
		c.upstream.Unreachable = false
	}
	c.emit(SetUpstream{Upstream: c.upstream})
	c.log(event.UpstreamState, false, step.F("upstream", c.upstream.ID), step.F("state", c.upstream.State),
		step.F("lost", c.upstream.Unreachable), step.F("stalled", c.upstream.Stalled), step.F("sequence", c.upstream.sequence))
}
