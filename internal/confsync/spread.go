package confsync

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
)

// remoteTargets is how many daemons of another data centre are told.
const remoteTargets = 2

// spread tells a few peers of a version just applied, and, from the first
// polling daemon, the polling daemons of each other data centre. What this
// misses the applied ID in each gossip packet makes up for.
func (c *Core) spread(id manifest.ID, hops uint32) {
	if hops == 0 {
		return
	}
	own := append([]peer(nil), c.peers.own...)
	list := addresses(c.pick(own, c.cfg.Fanout))
	if len(list) > 0 {
		c.emit(SendNotice{Addresses: list, Notice: notice(id, hops-1)})
	}
	if c.peers.rank == 0 {
		c.spreadRemote(id)
	}
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
