// Package control is the one reducer over all events of a daemon. It mounts
// the reducers of membership, configuration, claims and quarantine, hands each
// event to the one it is for, and turns what one of them tells into events for
// the others. What is left over is work for the daemon.
//
// Core does no I/O, reads no clock and draws no random numbers of its own.
package control

import (
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/confsync"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/routing"
	"godwitmount/internal/step"
)

// Config holds the settings of the mounted reducers.
type Config struct {
	Membership membership.Config
	Sync       confsync.Config
	Claim      claim.Config
	Quarantine quarantine.Config
	// Release is the daemon's release, for status.
	Release string
}

// Core is the reducer. It is used by one goroutine.
type Core struct {
	cfg        Config
	members    *membership.Core
	sync       *confsync.Core
	claims     *claim.Core
	quarantine *quarantine.Core

	// dirty is set when members changed since the last snapshot.
	dirty bool
	// local is the own record that the data path was last told of.
	local   membership.Record
	events  []step.Event
	effects []step.Effect
	moment  step.Moment
}

// New returns the Core of a process that just started.
func New(cfg Config, m step.Moment) *Core {
	return &Core{
		cfg:        cfg,
		members:    membership.New(cfg.Membership, m),
		sync:       confsync.New(cfg.Sync, m),
		claims:     claim.New(cfg.Claim, m),
		quarantine: quarantine.New(cfg.Quarantine, m),
		dirty:      true,
		moment:     m,
	}
}

// Step takes one event and returns the work it asks for, in order.
func (c *Core) Step(m step.Moment, ev step.Event) []step.Effect {
	c.moment = m
	c.effects = nil
	c.events = append(c.events[:0], ev)
	for len(c.events) > 0 {
		next := c.events[0]
		c.events = c.events[1:]
		c.dispatch(next)
	}
	return c.effects
}

// dispatch gives an event to the reducers it is for.
func (c *Core) dispatch(ev step.Event) {
	switch ev := ev.(type) {
	case step.Tick:
		c.toAll(ev)
		c.refresh()
	case step.Paused:
		c.toAll(ev)
	case StatusRequested:
		c.status(ev)
	case LeaveRequested:
		c.leave()
	case UpstreamLost:
		c.upstreamLost(ev)
	default:
		c.route(ev)
	}
}

// route gives an event to the one reducer that owns its type.
func (c *Core) route(ev step.Event) {
	switch ev.(type) {
	case confsync.MembersChanged, confsync.HeadRead, confsync.NoticeReceived,
		confsync.PeerApplied, confsync.PeerFetched, confsync.ObjectFetched,
		confsync.FloorRemembered, confsync.FetchRequested, confsync.FloorRequested:
		c.collect(c.sync.Step(c.moment, ev))
	case claim.ViewChanged, claim.AcquireRequested, claim.FinishRequested,
		claim.HandOverRequested, claim.TableWritten, claim.TableRead,
		claim.HandedOver, claim.LeaveRequested:
		c.collect(c.claims.Step(c.moment, ev))
	case quarantine.Crashed, quarantine.Cleared, quarantine.FingerprintsArrived:
		c.collect(c.quarantine.Step(c.moment, ev))
	default:
		c.collect(c.members.Step(c.moment, ev))
	}
}

func (c *Core) toAll(ev step.Event) {
	c.collect(c.members.Step(c.moment, ev))
	c.collect(c.sync.Step(c.moment, ev))
	c.collect(c.claims.Step(c.moment, ev))
	c.collect(c.quarantine.Step(c.moment, ev))
}

// collect keeps the effects that are the daemon's work and turns the others
// into events.
func (c *Core) collect(effects []step.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case step.Reply:
			c.reply(e)
		case membership.TableChanged:
			c.tableChanged()
		case membership.PeerAhead:
			c.tell(confsync.PeerApplied{Instance: e.Instance, Address: e.Address, ID: e.Config})
		case membership.NoticeArrived:
			c.noticeArrived(e)
		case membership.FingerprintsArrived:
			c.tell(quarantine.FingerprintsArrived{Fingerprints: e.Fingerprints})
		case quarantine.Spread:
			c.tell(membership.SpreadFingerprints{Fingerprints: e.Fingerprints, Origin: e.Origin})
		case confsync.SendNotice:
			c.sendNotice(e)
		case confsync.Applied:
			c.applied(e)
		case confsync.Refused:
			c.refused(e)
		case confsync.RefusalCleared:
			c.tell(membership.RefusedChanged{})
		default:
			c.effects = append(c.effects, effect)
		}
	}
}

// maxKnownFingerprints is how many messages about suspect requests an answered
// exchange carries.
const maxKnownFingerprints = 16

// reply adds the suspect requests to an answered exchange, so that a daemon
// that was cut off or has just started learns of those it missed.
func (c *Core) reply(e step.Reply) {
	if response, ok := e.Message.(*peerv1.ExchangeMembersResponse); ok {
		response.Quarantined = c.quarantine.Known(maxKnownFingerprints)
	}
	c.emit(e)
}

func (c *Core) tell(ev step.Event) { c.events = append(c.events, ev) }

func (c *Core) emit(effect step.Effect) { c.effects = append(c.effects, effect) }

func (c *Core) noticeArrived(e membership.NoticeArrived) {
	id := membership.IDOf(e.Notice.GetId())
	if id.IsZero() {
		return
	}
	c.tell(confsync.NoticeReceived{
		From:      e.From,
		Address:   e.Address,
		ID:        id,
		Remaining: e.Notice.GetRemaining(),
	})
}

// sendNotice turns one notice into a datagram for each address.
func (c *Core) sendNotice(e confsync.SendNotice) {
	for _, address := range e.Addresses {
		packet := c.members.Packet()
		packet.Body = &peerv1.Packet_ConfigNotice{ConfigNotice: e.Notice}
		c.emit(membership.SendPacket{Address: address, Packet: packet})
	}
}

// applied swaps to the new configuration as a whole, at once.
func (c *Core) applied(e confsync.Applied) {
	c.publish(e.ID, e.Table)
	c.tell(membership.AppliedChanged{Config: e.ID})
	if _, refused := c.sync.Refused(); !refused {
		c.tell(membership.RefusedChanged{})
	}
	c.emit(ConfigInForce{ID: e.ID})
}

func (c *Core) refused(e confsync.Refused) {
	c.tell(membership.RefusedChanged{Refusal: &peerv1.Refusal{
		Id:     membership.ConfigIDOf(e.ID),
		Code:   uint32(e.Code),
		Detail: e.Detail,
	}})
	c.emit(ConfigRefused{ID: e.ID, Code: e.Code})
}

// tableChanged notes that the snapshot is out of date; a change of the local
// upstream takes effect at once.
func (c *Core) tableChanged() {
	c.dirty = true
	self := c.members.Self()
	if self.Service != c.local.Service || self.Slots != c.local.Slots || self.UpstreamState != c.local.UpstreamState {
		c.emit(LocalUpstream{Service: self.Service, Slots: self.Slots, State: self.UpstreamState})
	}
	c.local = self
}

// refresh rebuilds what is made from the member table, at most once a tick.
func (c *Core) refresh() {
	if !c.dirty {
		return
	}
	c.dirty = false
	records := c.members.Records()
	c.emit(MembersKnown{Records: records})
	c.tell(confsync.MembersChanged{Self: c.members.Self(), Members: records})
	if table := c.sync.Table(); table != nil {
		c.publish(c.sync.Applied(), table)
	}
}

// publish makes the snapshot and the claim views for a configuration.
func (c *Core) publish(id manifest.ID, table *manifest.Table) {
	self, records := c.members.Self(), c.members.Records()
	c.emit(PublishSnapshot{Snapshot: routing.Build(id, table, self, records, c.moment.Now)})
	c.emit(PublishClaimView{View: claimView(id, table, self, records)})
	c.tell(holderView(id, table, self, records))
}

// leave begins a planned stop.
func (c *Core) leave() {
	c.tell(membership.LeaveRequested{})
	c.tell(claim.LeaveRequested{})
}

// upstreamLost marks the local upstream gone until it announces itself again.
func (c *Core) upstreamLost(e UpstreamLost) {
	self := c.members.Self()
	if self.UpstreamState == membership.UpstreamNone || self.UpstreamState == membership.UpstreamGone {
		return
	}
	c.tell(membership.UpstreamAnnounced{
		Service: self.Service,
		Slots:   self.Slots,
		State:   membership.UpstreamGone,
		TTL:     upstreamLostTTL,
	})
}

// upstreamLostTTL is how long the loss of the local upstream is announced for;
// the upstream's own next announcement replaces it.
const upstreamLostTTL = time.Minute
