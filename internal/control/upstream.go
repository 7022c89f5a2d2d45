package control

import (
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// UpstreamState is what is known of the upstream beside the daemon.
type UpstreamState uint8

// The states of an upstream.
const (
	// UpstreamUnknown: it has not reported to this process.
	UpstreamUnknown UpstreamState = iota
	// UpstreamReady: it takes requests.
	UpstreamReady
	// UpstreamDraining: it finishes what it has and takes nothing new.
	UpstreamDraining
	// UpstreamGone: it has said that it ends.
	UpstreamGone
	// UpstreamSilent: its reports have stopped.
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

// Upstream is the upstream beside the daemon.
type Upstream struct {
	// ID names one incarnation, together with Born.
	ID      string
	Born    int64
	Service string
	Address string
	Slots   int
	State   UpstreamState
	// Lost is set while it breaks connections.
	Lost bool
	// Stalled is set while it answers nothing, until its next report.
	Stalled  bool
	sequence uint64
	// leftAt is when it said that it ends, in Unix milliseconds of this
	// machine, if it did not say when it started.
	leftAt int64
}

// Takes tells whether the upstream may be given requests.
func (u Upstream) Takes() bool {
	return u.State == UpstreamReady && !u.Lost && !u.Stalled && u.Slots > 0
}

// Leaving tells whether the upstream has said that it leaves.
func (u Upstream) Leaving() bool { return u.State == UpstreamDraining || u.State == UpstreamGone }

// UpstreamReport is what an upstream says of itself.
type UpstreamReport struct {
	// Upstream is its id. A new start may have the id of the one before.
	Upstream string
	// Born is when it started, in Unix milliseconds of its own clock, or 0.
	Born    int64
	Service string
	Address string
	Slots   int
	State   UpstreamState
	// Sequence grows with each report of one incarnation.
	Sequence uint64
}

// EventName implements step.Event.
func (UpstreamReport) EventName() string { return "upstream-report" }

// report takes a report of the upstream. A late one, or one of an earlier
// incarnation, changes nothing.
func (c *Core) report(ev UpstreamReport) {
	if ev.State == UpstreamGone {
		c.leave(ev)
		return
	}
	if c.cfg.UpstreamAddress != "" && ev.Address != c.cfg.UpstreamAddress {
		c.log(event.UpstreamIgnored, true, step.F("upstream", ev.Upstream), step.F("address", ev.Address), step.F("why", "other address"))
		return
	}
	sameLife := c.upstream.sameLife(ev)
	if c.outdated(ev, sameLife) {
		c.log(event.UpstreamIgnored, false, step.F("upstream", ev.Upstream), step.F("sequence", ev.Sequence), step.F("why", "outdated"))
		return
	}
	before := c.upstream
	c.lastBeat = c.now
	c.upstream = Upstream{
		ID: ev.Upstream, Born: ev.Born, Service: ev.Service, Address: ev.Address,
		Slots: ev.Slots, State: ev.State, sequence: ev.Sequence,
	}
	if sameLife {
		c.upstream.Lost = before.Lost && c.now < c.lostUntil
	}
	if !c.upstream.Lost {
		c.lostUntil = 0
	}
	changed := before
	changed.sequence = ev.Sequence
	if changed != c.upstream {
		c.publishUpstream()
	}
}

// sameLife tells whether a report comes from the incarnation that is known. One
// that left without saying when it started is told from its successor by what
// started after that.
func (u Upstream) sameLife(ev UpstreamReport) bool {
	if u.ID != ev.Upstream {
		return false
	}
	if u.Born == 0 && u.leftAt != 0 {
		return ev.Born <= u.leftAt
	}
	return u.Born == ev.Born
}

// outdated tells whether a report is older than what is known. A leaving
// upstream does not come back in the same life.
func (c *Core) outdated(ev UpstreamReport, sameLife bool) bool {
	known := &c.upstream
	if known.State == UpstreamUnknown {
		return false
	}
	if !sameLife {
		// The clock of a new upstream may be behind; then the one that is
		// known has fallen silent.
		return ev.Born < known.Born && c.now-c.lastBeat < lapsedBeats*c.cfg.Heartbeat
	}
	if ev.Sequence <= known.sequence {
		return true
	}
	return known.Leaving() && ev.State == UpstreamReady
}

// leave takes the news that the upstream ends. One that has not reported to
// this process is gone all the same.
func (c *Core) leave(ev UpstreamReport) {
	known := &c.upstream
	other := known.State != UpstreamUnknown && (known.ID != ev.Upstream || ev.Born != 0 && ev.Born < known.Born)
	if other {
		c.log(event.UpstreamIgnored, false, step.F("upstream", ev.Upstream), step.F("why", "leaving of another one"))
		return
	}
	known.ID = ev.Upstream
	if ev.Born != 0 {
		known.Born = ev.Born
	}
	if known.Born == 0 {
		known.leftAt = c.wall
	}
	if known.State != UpstreamGone {
		known.State = UpstreamGone
		c.publishUpstream()
	}
}

// reminded takes what peers remember from before this process started: an
// upstream that was leaving goes on leaving.
func (c *Core) reminded(ev UpstreamReminded) {
	known := &c.upstream
	other := known.State != UpstreamUnknown && (known.ID != ev.ID || known.Born != ev.Born)
	if ev.ID == "" || ev.Born == 0 || other || known.Leaving() {
		return
	}
	known.ID, known.Born = ev.ID, ev.Born
	known.State = UpstreamDraining
	c.publishUpstream()
}

// upstreamLost leaves an upstream alone that took no connection.
func (c *Core) upstreamLost(ev UpstreamLost) {
	if ev.ID != c.upstream.ID || c.upstream.Lost || c.upstream.State != UpstreamReady {
		return
	}
	c.upstream.Lost = true
	c.lostUntil = c.now + lostPause
	c.publishUpstream()
}

// upstreamStalled leaves an upstream alone until it reports: one that has gone
// dark keeps its connections and would hold each request until its deadline.
func (c *Core) upstreamStalled(ev UpstreamStalled) {
	if ev.ID != c.upstream.ID || c.upstream.Stalled || c.upstream.State != UpstreamReady {
		return
	}
	c.upstream.Stalled = true
	c.publishUpstream()
}

func (c *Core) publishUpstream() {
	if c.lostUntil == 0 {
		c.upstream.Lost = false
	}
	c.emit(SetUpstream{Upstream: c.upstream})
	c.log(event.UpstreamState, false, step.F("upstream", c.upstream.ID), step.F("state", c.upstream.State),
		step.F("lost", c.upstream.Lost), step.F("stalled", c.upstream.Stalled), step.F("sequence", c.upstream.sequence))
}
