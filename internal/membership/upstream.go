package membership

import (
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// upstream is what this daemon knows of its own upstream.
type upstream struct {
	// expires is when the last announcement lapses; 0 when there is none.
	expires time.Duration
	ttl     time.Duration
}

func (c *Core) upstreamAnnounced(e UpstreamAnnounced) {
	before := c.Self()
	c.upstream = upstream{expires: c.now() + e.TTL, ttl: e.TTL}
	c.changeSelf(func(r *Record) {
		r.Service = e.Service
		r.Slots = e.Slots
		r.UpstreamState = e.State
	})
	after := c.Self()
	if before.UpstreamState == after.UpstreamState && before.Service == after.Service {
		return
	}
	number := event.UpstreamState
	if before.UpstreamState == UpstreamNone || before.UpstreamState == UpstreamGone {
		number = event.UpstreamAnnounced
	}
	c.emit(step.Log{Event: number, Fields: []step.Field{
		step.F("service", e.Service),
		step.F("slots", e.Slots),
		step.F("state", e.State),
	}})
}

// upstreamTick lapses an announcement that was not renewed.
func (c *Core) upstreamTick() {
	if c.upstream.expires == 0 || c.now() < c.upstream.expires {
		return
	}
	c.upstream = upstream{}
	service := c.Self().Service
	c.changeSelf(func(r *Record) { r.UpstreamState = UpstreamGone })
	c.emit(step.Log{Event: event.UpstreamLapsed, Warn: true, Fields: []step.Field{step.F("service", service)}})
}

// upstreamPaused asks for a fresh announcement soon after a pause.
func (c *Core) upstreamPaused() {
	if c.upstream.expires == 0 {
		return
	}
	c.upstream.expires = min(c.upstream.expires, c.now()+c.upstream.ttl/2)
	c.upstreamTick()
}

// leaveRequested marks the instance as leaving, at once and everywhere.
func (c *Core) leaveRequested() {
	c.leaving = true
	c.changeSelf(func(r *Record) { r.Leaving = true })
	c.urgentTick()
}

// leaveFinished says good-bye; nothing is sent after it.
func (c *Core) leaveFinished() {
	c.changeSelf(func(r *Record) {
		r.Leaving = true
		r.Liveness = Left
	})
	c.urgentTick()
	c.left = true
}
