package membership

import (
	"fmt"
	"slices"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// origin is how a record came in.
type origin uint8

const (
	// viaGossip is a piggybacked update: recent news.
	viaGossip origin = iota
	// viaExchange is a table of this data centre: it may be old.
	viaExchange
	// viaDistant is a table or packet of another data centre.
	viaDistant
	// viaMinority is a table of an instance that sees fewer of its own data
	// centre than others there do.
	viaMinority
)

// merge takes a checked member into the table if it is newer.
func (c *Core) merge(member *peerv1.Member, via origin) {
	r := recordOf(member)
	if r.Instance == c.cfg.Instance {
		c.hearOfSelf(r)
		return
	}
	r = c.believed(r, via)
	old := c.table.entries[r.Instance]
	if old == nil {
		c.mergeNew(r, via)
		return
	}
	if !r.Newer(old.Record) {
		return
	}
	if c.doubts(old, r, via) {
		return
	}
	c.apply(r)
}

// doubts reports whether a newer record is not to be taken over. Whether a
// neighbour lives is decided inside the data centre: it is asked instead.
func (c *Core) doubts(old *entry, r Record, via origin) bool {
	dies := r.Liveness == Dead && old.living()
	if !c.isLocal(r) {
		return dies && via == viaMinority
	}
	revives := old.Liveness == Dead && r.Liveness == Alive && r.Incarnation == old.Incarnation
	if dies && via != viaGossip || revives && via >= viaDistant {
		c.prober.verify(r.Instance)
		return true
	}
	return false
}

// believed reduces a claim to what its origin may claim: suspicion is local
// and recent, or nothing.
func (c *Core) believed(r Record, via origin) Record {
	if r.Liveness == Suspect && (via != viaGossip || !c.isLocal(r)) {
		r.Liveness = Alive
	}
	return r
}

func (c *Core) mergeNew(r Record, via origin) {
	gone := r.Liveness == Dead || r.Liveness == Left
	if gone && via != viaGossip {
		return
	}
	if len(c.table.entries) >= MaxRecords {
		c.drop(r.Address, fmt.Errorf("%w: member table is full", ErrBounds))
		return
	}
	if !gone && r.Address == c.cfg.Address {
		r.Liveness = Dead
	}
	c.apply(r)
}

func (c *Core) isLocal(r Record) bool {
	return r.DataCentre == c.cfg.DataCentre
}

// apply puts a record of another instance in the table and passes it on.
func (c *Core) apply(r Record) {
	var before Record
	if old := c.table.entries[r.Instance]; old != nil {
		before = old.Record
	}
	if !c.settleAddress(&r) {
		return
	}
	c.table.put(r, c.now())
	c.followSuspicion(r)
	c.broadcast(r)
	c.pushIfUrgent(before, r)
	c.logChange(before, r)
}

// settleAddress lets the newest incarnation have the address it names. It
// reports false when the record is a known tombstone's equal and says nothing.
func (c *Core) settleAddress(r *Record) bool {
	if r.Liveness != Alive && r.Liveness != Suspect {
		return true
	}
	holder := c.table.at(r.Address)
	if holder == nil || holder.Instance == r.Instance {
		return true
	}
	if holder.Incarnation > r.Incarnation || holder.Instance == c.cfg.Instance {
		r.Liveness = Dead
		old := c.table.entries[r.Instance]
		return old == nil || r.Newer(old.Record)
	}
	replaced := holder.Record
	replaced.Liveness = Dead
	c.apply(replaced)
	return true
}

func (c *Core) logChange(before, after Record) {
	if before.Liveness == after.Liveness && before.Incarnation == after.Incarnation {
		return
	}
	numbers := map[Liveness]event.Number{
		Alive:   event.MemberJoined,
		Suspect: event.MemberSuspected,
		Dead:    event.MemberDead,
		Left:    event.MemberLeft,
	}
	c.emit(step.Log{Event: numbers[after.Liveness], Fields: []step.Field{
		step.F("instance", after.Instance),
		step.F("data_centre", after.DataCentre),
		step.F("address", after.Address),
		step.F("incarnation", after.Incarnation),
		step.F("sequence", after.Sequence),
	}})
}

// hearOfSelf answers claims about this instance that are not its own.
func (c *Core) hearOfSelf(r Record) {
	self := c.Self()
	if c.left || r.Incarnation < self.Incarnation {
		return
	}
	if r.Incarnation == self.Incarnation {
		doubted := r.Liveness != Alive && r.Sequence >= self.Sequence
		if !doubted && r.Sequence <= self.Sequence {
			return
		}
		self.Sequence = r.Sequence + 1
	} else {
		self.Incarnation = r.Incarnation + 1
		self.Sequence = 1
	}
	c.putSelf(self)
	c.prober.worse(1)
	c.urgent.add(c.cfg.Instance, 1, c.now())
	c.emit(step.Log{Event: event.MemberRefuted, Fields: []step.Field{
		step.F("claimed", r.Liveness),
		step.F("incarnation", self.Incarnation),
		step.F("sequence", self.Sequence),
	}})
}

// putSelf stores this instance's own record and passes it on.
func (c *Core) putSelf(r Record) {
	c.table.put(r, c.now())
	c.broadcast(r)
}

// changeSelf raises the sequence with a change to the own record.
func (c *Core) changeSelf(change func(*Record)) {
	self := c.Self()
	before := self
	change(&self)
	if self == before {
		return
	}
	self.Sequence++
	c.putSelf(self)
	c.pushIfUrgent(before, self)
}

// retentionTick forgets tombstones, and data centres nobody has heard of for
// long.
func (c *Core) retentionTick() {
	if c.now() < c.exchanges.nextRetention {
		return
	}
	c.exchanges.nextRetention = c.now() + retentionInterval
	var expired []string
	for _, e := range c.table.entries {
		if c.expired(e) {
			expired = append(expired, e.Instance)
		}
	}
	slices.Sort(expired)
	for _, instance := range expired {
		c.forget(instance)
	}
}

// forget drops all that is known of an instance.
func (c *Core) forget(instance string) {
	address := c.addressOf(instance)
	c.table.drop(instance)
	c.table.version++
	delete(c.suspects, instance)
	delete(c.gossip.updates, instance)
	c.forgetApplied(instance, address)
}

func (c *Core) expired(e *entry) bool {
	if e.Instance == c.cfg.Instance {
		return false
	}
	if !e.living() {
		return c.now()-e.changed > c.cfg.Retention
	}
	if c.isLocal(e.Record) {
		return false
	}
	silent := c.now() - max(e.changed, c.exchanges.heard[e.DataCentre])
	return silent > c.cfg.Retention
}
