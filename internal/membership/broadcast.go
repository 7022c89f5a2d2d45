package membership

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

const (
	// maxQueued bounds the updates waiting to be piggybacked; tables are
	// compared for what is dropped.
	maxQueued = 1024
)

// update is a record on its way through the data centre.
type update struct {
	member *peerv1.Member
	size   int
	sent   int
	order  uint64
}

// gossip holds what is passed on with other packets.
type gossip struct {
	updates      map[string]*update
	order        uint64
	fingerprints []*waitingFingerprint
}

func (g *gossip) init() {
	g.updates = map[string]*update{}
}

// broadcast queues a record to be passed on; it replaces an older one.
func (c *Core) broadcast(r Record) {
	member := MemberOf(r)
	c.gossip.order++
	c.gossip.updates[r.Instance] = &update{
		member: member,
		size:   proto.Size(member) + 3,
		order:  c.gossip.order,
	}
	if len(c.gossip.updates) > maxQueued {
		c.gossip.dropMostSent()
	}
}

func (g *gossip) dropMostSent() {
	waiting := g.inOrder()
	for _, u := range waiting[maxQueued*3/4:] {
		delete(g.updates, u.member.GetInstance())
	}
}

// inOrder returns the updates, least sent and newest first.
func (g *gossip) inOrder() []*update {
	waiting := make([]*update, 0, len(g.updates))
	for _, u := range g.updates {
		waiting = append(waiting, u)
	}
	slices.SortFunc(waiting, func(a, b *update) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return int(b.order) - int(a.order)
	})
	return waiting
}

// transmitLimit is how often one update is passed on by each daemon.
func (c *Core) transmitLimit() int {
	return c.cfg.RetransmitFactor * max(1, int(math.Ceil(c.decades())))
}

// fill adds waiting updates to a packet while there is room.
func (c *Core) fill(packet *peerv1.Packet) {
	c.fillFingerprints(packet)
	if len(c.gossip.updates) == 0 {
		return
	}
	room := min(c.cfg.PiggybackBytes, MaxPacketBytes-proto.Size(packet)-3)
	limit := c.transmitLimit()
	for _, u := range c.gossip.inOrder() {
		if u.size > room {
			continue
		}
		room -= u.size
		packet.Updates = append(packet.Updates, u.member)
		u.sent++
		if u.sent >= limit {
			delete(c.gossip.updates, u.member.GetInstance())
		}
	}
}
