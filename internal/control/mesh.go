package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

const (
	// maxRemoteTotal is the approximate number of connections to other data
	// centres that a daemon keeps over all services. Together with the
	// connections inside the data centre, their buffers and pings then stay
	// within the daemon's resource limits. minRemotePerService takes precedence,
	// so that more than maxRemoteTotal/minRemotePerService services exceed it.
	maxRemoteTotal = 240
	// maxRemotePerService and minRemotePerService bound the connections to
	// other data centres for one service: enough that some remain when a data
	// centre is cut off, and that load which the local data centre cannot handle
	// is spread over several upstreams.
	maxRemotePerService = 8
	minRemotePerService = 2
)

// publishMembers publishes the members and logs that they have changed.
func (c *Core) publishMembers() {
	known, connected := c.publish()
	c.log(event.MembersChanged, false, step.F("members", known), step.F("connected", connected))
}

// publish publishes the daemons to stay connected to: all of the local data centre,
// and a few in other data centres for each service. It then decides again whether this
// daemon is a store watcher. It returns the numbers of known members and of those to
// stay connected to.
func (c *Core) publish() (known, connections int) {
	c.publishPending = false
	var connected []Member
	remote := map[string][]Member{}
	remoteCentres := map[string]bool{}
	for key, row := range c.members {
		if row.Instance == "" || key == c.cfg.Self.Instance {
			continue
		}
		known++
		if row.DataCentre == c.cfg.Self.DataCentre {
			connected = append(connected, row.Member)
			continue
		}
		remote[row.Service] = append(remote[row.Service], row.Member)
		remoteCentres[row.DataCentre] = true
	}
	for _, members := range remote {
		connected = append(connected, c.chooseRemote(members, len(remote))...)
	}
	c.emit(PublishMembers{Members: connected, Known: known, Remote: slices.Sorted(maps.Keys(remoteCentres)), Complete: c.membersComplete})
	c.updateStoreWatcher()
	return known, len(connected)
}

// chooseRemote selects the remote members of one service to connect to, by
// rendezvous hashing: each daemon ranks the members by a hash of its own and
// the member's instance name and selects those with the lowest hashes. Each
// member is then chosen by about the same number of daemons, and a new member
// changes few choices. The parameter services is the number of services with
// remote members.
func (c *Core) chooseRemote(members []Member, services int) []Member {
	limit := min(max(maxRemoteTotal/services, minRemotePerService), maxRemotePerService)
	if len(members) <= limit {
		return members
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(c.pairRank(a), c.pairRank(b))
	})
	return members[:limit]
}

// pairRank returns the rendezvous hash of this daemon and m.
func (c *Core) pairRank(m Member) uint64 {
	return xxhash.Sum64String(c.cfg.Self.Instance + "\x00" + m.Instance)
}
