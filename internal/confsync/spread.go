package confsync

import (
	"slices"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
)

// remoteTargets is how many daemons of another data centre are told.
const remoteTargets = 2

// spread tells a few peers of a version just applied, and, from the first
// polling daemon, the polling daemons of each other data centre. One of the
// peers is the next by instance id, so that each daemon is told by someone even
// if chance leaves it out. What this misses the applied ID in each gossip
// packet makes up for.
func (c *Core) spread(id manifest.ID, hops uint32) {
	if hops == 0 {
		return
	}
	if list := addresses(c.fanout()); len(list) > 0 {
		c.emit(SendNotice{Addresses: list, Notice: notice(id, hops-1)})
	}
	if c.peers.rank == 0 {
		c.spreadRemote(id)
	}
}

// fanout returns the next peer by instance id and random other ones.
func (c *Core) fanout() []peer {
	if len(c.peers.own) == 0 {
		return nil
	}
	next := c.peers.next()
	others := slices.Clone(c.peers.own)
	others = slices.DeleteFunc(others, func(p peer) bool { return p.instance == next.instance })
	return append([]peer{next}, c.pick(others, c.cfg.Fanout-1)...)
}

// next returns the peer of the own data centre whose instance id follows this
// one's, in a ring; there must be one.
func (v *peerView) next() peer {
	first, after := v.own[0], peer{}
	for _, p := range v.own {
		if p.instance < first.instance {
			first = p
		}
		if p.instance > v.cfg.Instance && (after.instance == "" || p.instance < after.instance) {
			after = p
		}
	}
	if after.instance == "" {
		return first
	}
	return after
}

func (c *Core) spreadRemote(id manifest.ID) {
	var list []string
	for _, name := range c.peers.remoteCentres() {
		list = append(list, addresses(ranked(c.peers.remote[name], "", remoteTargets))...)
	}
	if len(list) > 0 {
		c.emit(SendNotice{Addresses: list, Notice: notice(id, c.cfg.NoticeHops)})
	}
}

func notice(id manifest.ID, remaining uint32) *peerv1.ConfigNotice {
	return &peerv1.ConfigNotice{Id: idToProto(id), Remaining: remaining}
}
