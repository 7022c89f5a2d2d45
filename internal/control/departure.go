package control

import (
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// Departure identifies the incarnation of the local upstream whose leaving this daemon, or an
// earlier process of it, acknowledges. It is a part of the daemon's entry in the member table,
// so that it outlives all processes that know of it. The zero Departure is none.
type Departure struct {
	Upstream string `json:"upstream"`
	// StartTime is in Unix milliseconds; 0 for unknown.
	StartTime int64 `json:"start_time,omitempty"`
	// Deregistered is set if it has deregistered without having been draining.
	Deregistered bool `json:"deregistered,omitempty"`
	// DeregisteredAt is that of Upstream.
	DeregisteredAt int64 `json:"deregistered_at,omitempty"`
}

// departures is what is known of the departures of the local upstream.
type departures struct {
	// latest is the departure that the entry is to hold, and recorded is set once it does.
	latest   Departure
	recorded bool
}

// departure returns the departure of an upstream that is draining or has deregistered.
func (u *Upstream) departure() Departure {
	return Departure{
		Upstream: u.ID, StartTime: u.StartTime,
		Deregistered: u.State == UpstreamDeregistered, DeregisteredAt: u.deregisteredAt,
	}
}

// sameIncarnation reports whether both departures are of one incarnation. It may be draining
// first and deregister then.
func (d Departure) sameIncarnation(other Departure) bool {
	return d.Upstream == other.Upstream && d.StartTime == other.StartTime
}

// covers reports whether the report ev comes from the incarnation that departs, or from an earlier
// one with its ID. That one has ended, however late its reports arrive. Without a start time it is
// not known: the upstream may have started again under its ID.
func (d Departure) covers(ev UpstreamReport) bool {
	lastStart := d.StartTime
	if lastStart == 0 {
		lastStart = d.DeregisteredAt
	}
	return lastStart != 0 && ev.Upstream == d.Upstream && ev.StartTime <= lastStart
}

// upstream returns what the departure says of its upstream.
func (d Departure) upstream() Upstream {
	return Upstream{ID: d.Upstream, StartTime: d.StartTime, deregisteredAt: d.DeregisteredAt}
}

// recordDeparture writes the departure of the upstream, which is draining or has deregistered,
// to this daemon's entry. Its reports are acknowledged once that is done.
func (c *Core) recordDeparture() {
	departure := c.upstream.departure()
	if departure.sameIncarnation(c.departures.latest) {
		return
	}
	c.departures.latest, c.departures.recorded = departure, false
	c.emit(HoldAcknowledgement{})
	if c.membersComplete {
		c.writeSelf()
	}
}

// departurePending reports whether a departure is not on the store yet.
func (c *Core) departurePending() bool {
	return c.departures.latest != Departure{} && !c.departures.recorded
}

// departureRecorded applies that the entry on the store holds the departure.
func (c *Core) departureRecorded(departure Departure) {
	if !c.departurePending() || !departure.sameIncarnation(c.departures.latest) {
		return
	}
	c.departures.recorded = true
	c.emit(ReleaseAcknowledgement{})
	c.log(event.DepartureRecorded, false, step.F("upstream", departure.Upstream))
}

// ownDepartureRead applies the departure in this daemon's entry. In a new process it is the one
// that an earlier process has acknowledged.
func (c *Core) ownDepartureRead(departure Departure) {
	if departure == (Departure{}) {
		return
	}
	if c.departures.latest == (Departure{}) {
		c.departures.latest, c.departures.recorded = departure, true
		c.restoreDeparture(departure)
		return
	}
	c.departureRecorded(departure)
}

// restoreDeparture makes the upstream draining or deregistered again, unless another incarnation
// has reported.
func (c *Core) restoreDeparture(departure Departure) {
	known := &c.upstream
	same := departure.upstream().sameIncarnation(UpstreamReport{Upstream: known.ID, StartTime: known.StartTime})
	if known.State != UpstreamUnknown && !same || known.Draining() {
		return
	}
	known.ID, known.StartTime = departure.Upstream, departure.StartTime
	known.State, known.deregisteredAt = UpstreamDraining, departure.DeregisteredAt
	known.Unproven = false
	if known.Address == "" {
		known.Address = c.cfg.UpstreamAddress
	}
	if departure.Deregistered {
		known.State = UpstreamDeregistered
	}
	c.publishUpstream()
}

// proveUpstream is called with each complete read of the member table: it has shown whether an
// earlier process has acknowledged a departure.
func (c *Core) proveUpstream() {
	if c.upstream.Unproven {
		c.upstream.Unproven = false
		c.publishUpstream()
	}
}

// isUnproven reports whether an upstream that reports ready may be one whose departure an
// earlier process has acknowledged. While the store cannot be read, it counts as proven once its
// reports have gone on for a heartbeat interval: one that has left sends none, and a delayed
// one comes alone.
func (c *Core) isUnproven(before Upstream, sameIncarnation bool) bool {
	if c.membersComplete || sameIncarnation && !before.Unproven {
		return false
	}
	if !sameIncarnation || !before.Unproven {
		c.unprovenSince = c.now
		return true
	}
	return c.now-c.unprovenSince < c.cfg.HeartbeatInterval
}
