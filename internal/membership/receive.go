package membership

import (
	"errors"
	"fmt"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// dropLogInterval is the least time between two log lines for one kind of
// dropped packet.
const dropLogInterval = 10 * time.Second

// DropKind is why a packet or exchange was dropped.
type DropKind string

// The kinds of dropped packets.
const (
	DropOversize  DropKind = "oversize"
	DropMalformed DropKind = "malformed"
	DropForeign   DropKind = "foreign"
	DropBounds    DropKind = "bounds"
	DropReplayed  DropKind = "replayed"
)

// drops counts dropped packets by kind.
type drops struct {
	counts map[DropKind]uint64
	logged map[DropKind]time.Duration
}

func (d *drops) init() {
	d.counts = map[DropKind]uint64{}
	d.logged = map[DropKind]time.Duration{}
}

// Drops returns how many packets and exchanges were dropped, by kind.
func (c *Core) Drops() map[DropKind]uint64 {
	counts := make(map[DropKind]uint64, len(c.drops.counts))
	for kind, n := range c.drops.counts {
		counts[kind] = n
	}
	return counts
}

func dropKind(err error) DropKind {
	switch {
	case errors.Is(err, ErrOversize):
		return DropOversize
	case errors.Is(err, ErrForeign):
		return DropForeign
	case errors.Is(err, ErrBounds):
		return DropBounds
	case errors.Is(err, ErrReplayed):
		return DropReplayed
	}
	return DropMalformed
}

func (c *Core) drop(from string, err error) {
	kind := dropKind(err)
	c.drops.counts[kind]++
	last, seen := c.drops.logged[kind]
	if seen && c.now()-last < dropLogInterval {
		return
	}
	c.drops.logged[kind] = c.now()
	c.emit(step.Log{Event: event.PacketDropped, Warn: true, Fields: []step.Field{
		step.F("from", from),
		step.F("kind", kind),
		step.F("count", c.drops.counts[kind]),
		step.F("error", err),
	}})
}

// receive takes one decoded packet.
func (c *Core) receive(e PacketReceived) {
	packet := e.Packet
	if c.left {
		return
	}
	if err := c.checkSender(packet); err != nil {
		c.drop(e.From, err)
		return
	}
	c.prober.heard = c.now()
	via := c.packetOrigin(packet)
	for _, member := range packet.GetUpdates() {
		c.merge(member, via)
	}
	c.firstContact(e.From)
	c.heardApplied(packet.GetFrom(), packet.GetIncarnation(), packet.GetApplied(), packet.GetRefused())
	c.ahead(packet.GetFrom(), e.From, IDOf(packet.GetApplied()))
	if len(packet.GetQuarantined()) > 0 {
		c.emit(FingerprintsArrived{Fingerprints: packet.GetQuarantined()})
	}
	c.receiveBody(e.From, packet)
}

// packetOrigin tells how far to trust the updates on a packet: as news, unless
// it comes from another data centre.
func (c *Core) packetOrigin(packet *peerv1.Packet) origin {
	sender := c.table.entries[packet.GetFrom()]
	if sender != nil && !c.isLocal(sender.Record) {
		return viaDistant
	}
	return viaGossip
}

// checkSender drops what this instance sent itself, and what an earlier
// incarnation of the sender sent.
func (c *Core) checkSender(packet *peerv1.Packet) error {
	if packet.GetFrom() == c.cfg.Instance {
		return fmt.Errorf("%w: it names this instance as sender", ErrReplayed)
	}
	sender := c.table.entries[packet.GetFrom()]
	if sender != nil && packet.GetIncarnation() < sender.Incarnation {
		return fmt.Errorf("%w: incarnation %d, now %d", ErrReplayed, packet.GetIncarnation(), sender.Incarnation)
	}
	return nil
}

func (c *Core) receiveBody(from string, packet *peerv1.Packet) {
	switch body := packet.GetBody().(type) {
	case *peerv1.Packet_Ping:
		c.answerPing(from, packet)
	case *peerv1.Packet_Ack:
		if !c.acked(packet.GetFrom(), packet) {
			c.drops.counts[DropReplayed]++
		}
	case *peerv1.Packet_Nack:
		c.nacked(packet)
	case *peerv1.Packet_PingRequest:
		c.relayPing(from, packet)
	case *peerv1.Packet_AppliedReport:
		c.sendAck(from, packet.GetSeq())
	case *peerv1.Packet_ConfigNotice:
		c.emit(NoticeArrived{From: packet.GetFrom(), Address: from, Notice: body.ConfigNotice})
	}
}

func (c *Core) sendAck(address string, seq uint64) {
	packet := c.header()
	packet.Seq = seq
	packet.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	c.send(address, packet)
}

// answerPing acks a ping. A sender that does not know this instance, or that
// this daemon does not know as living, gets the records that put it right.
func (c *Core) answerPing(from string, packet *peerv1.Packet) {
	ack := c.header()
	ack.Seq = packet.GetSeq()
	ack.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	sender := c.table.entries[packet.GetFrom()]
	mistaken := packet.GetPing().GetTarget() != c.cfg.Instance || packet.GetAddress() != ""
	if mistaken || sender == nil {
		ack.Updates = append(ack.Updates, MemberOf(c.Self()))
	}
	if sender != nil && !sender.living() {
		ack.Updates = append(ack.Updates, MemberOf(sender.Record))
	}
	c.fill(ack)
	c.send(from, ack)
	if sender == nil {
		c.meet(from)
	}
}
