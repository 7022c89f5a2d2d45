package confsync

import (
	"fmt"
	"slices"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// pendingApply is a compiled version that waits until a peer remembers it as
// this instance's floor.
type pendingApply struct {
	v        *version
	hops     uint32
	from     string
	round    int
	awaiting map[uint64]bool
	deadline time.Duration
}

// received takes a whole body from the fetch in flight: checks it, compiles it
// and begins to apply it.
func (c *Core) received(id manifest.ID, body []byte) {
	from := describe(offerFrom{address: c.target.from, platform: c.target.from == ""})
	if got := manifest.DigestOf(body); got != id.Digest || len(body) > c.cfg.MaxBody {
		detail := fmt.Sprintf("%d bytes from %s have digest %s", len(body), from, got.Short())
		c.refuse(event.ConfigRefused, Refusal{ID: id, Code: code.ApplyDigestMismatch, Detail: detail})
		c.fetchFailed(fmt.Errorf("digest mismatch: %s", detail))
		return
	}
	if !c.admissible(id) || c.pending != nil && c.pending.v.id.Version >= id.Version {
		c.target.inFlight = 0
		return
	}
	c.emit(step.Log{Event: event.ConfigFetched, Fields: []step.Field{
		step.F("version", id),
		step.F("from", from),
		step.F("bytes", len(body)),
	}})
	hops := c.target.hops
	c.settle(id)
	table, err := c.compile(body)
	if err != nil {
		c.refuseForGood(event.ConfigRefused, Refusal{ID: id, Code: code.ApplyCompileFailed, Detail: err.Error()})
		return
	}
	c.pending = &pendingApply{v: &version{id: id, table: table, body: body}, hops: hops, from: from}
	c.nextRound()
}

// settle ends the fetch; a target greater than what arrived stays.
func (c *Core) settle(id manifest.ID) {
	if c.target.id.Version <= id.Version {
		c.target.drop()
		return
	}
	c.target.inFlight = 0
}

// compile turns a panic into an error, so that a bad version is a refusal.
func (c *Core) compile(body []byte) (table *manifest.Table, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			table = nil
			err = fmt.Errorf("compiling panicked: %v", cause)
		}
	}()
	return c.cfg.Compile(body)
}

// nextRound tells peers what is about to be applied, more of them with each
// round. It is applied without an answer when there is no peer or the last
// round is over.
func (c *Core) nextRound() {
	p := c.pending
	p.round++
	if p.round > c.cfg.FloorRounds {
		c.swap(0)
		return
	}
	peers := c.peers.floorPeers(c.cfg.FloorPeers * p.round)
	if len(peers) == 0 {
		c.swap(0)
		return
	}
	p.awaiting = map[uint64]bool{}
	p.deadline = c.now + c.cfg.FloorTimeout
	for _, peer := range peers {
		p.awaiting[c.askFloor(peer.address, p.v.id)] = true
	}
}

func (c *Core) restartRounds() {
	c.pending.round = 0
	c.nextRound()
}

func (c *Core) advancePending() {
	if c.pending != nil && c.now >= c.pending.deadline {
		c.nextRound()
	}
}

func (c *Core) floorAnswered(ev FloorRemembered) {
	p := c.pending
	delete(p.awaiting, ev.Attempt)
	if ev.Err != nil {
		if len(p.awaiting) == 0 {
			c.nextRound()
		}
		return
	}
	remembered := idFromProto(ev.Response.GetFloor())
	if remembered.Version >= p.v.id.Version && remembered != p.v.id {
		c.abandon(remembered, ev.Address)
		return
	}
	c.swap(1)
	c.offer(idFromProto(ev.Response.GetApplied()), offerFrom{address: ev.Address, inForce: true, hops: c.cfg.NoticeHops})
}

// abandon gives up a version that a peer's memory of this instance rules out,
// and wants the remembered one in its place.
func (c *Core) abandon(remembered manifest.ID, address string) {
	id := c.pending.v.id
	c.pending = nil
	c.learnFloor(remembered, address)
	ev, reason := event.ConfigRefused, code.ApplyBelowFloor
	if remembered.Version == id.Version {
		ev, reason = event.ConfigSecondDigest, code.ApplySecondDigest
	}
	c.refuseForGood(ev, Refusal{
		ID:     id,
		Code:   reason,
		Detail: "a peer remembers that this instance applied " + remembered.String(),
	})
	c.offer(remembered, offerFrom{hops: c.cfg.NoticeHops})
}

// swap puts the pending version in force as a whole.
func (c *Core) swap(witnesses int) {
	p := c.pending
	c.pending = nil
	if p.v.id.Version <= c.Applied().Version || p.v.id.Version < c.floor.Version {
		return
	}
	if c.applied != nil {
		// Deltas need no more than the body of a version that was replaced.
		c.applied.table = nil
	}
	c.applied = p.v
	c.floor = p.v.id
	c.keep(p.v)
	c.serve.forget()
	c.refused.overcome(p.v.id)
	c.emit(Applied{ID: p.v.id, Table: p.v.table, Body: p.v.body})
	c.emit(step.Log{Event: event.ConfigApplied, Fields: []step.Field{
		step.F("version", p.v.id),
		step.F("from", p.from),
		step.F("floor_peers", witnesses),
	}})
	c.spread(p.v.id, p.hops)
}

// keep adds a version to the recent ones. Of those before it only the body is
// kept, as a base for deltas.
func (c *Core) keep(v *version) {
	for _, earlier := range c.recent {
		earlier.table = nil
		earlier.whole = nil
	}
	c.recent = append(c.recent, v)
	if excess := len(c.recent) - c.cfg.History; excess > 0 {
		c.recent = slices.Delete(c.recent, 0, excess)
	}
}

// held returns a recent version that is still kept, or nil.
func (c *Core) held(id manifest.ID) *version {
	for _, v := range c.recent {
		if v.id == id {
			return v
		}
	}
	return nil
}
