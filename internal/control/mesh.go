package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/rollout"
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
	var connected, others []Member
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
	for service, members := range remote {
		chosen := c.chooseRemote(members, len(remote))
		if service == c.cfg.Self.Service {
			if c.rollouts[service] {
				chosen = c.chooseForRollout(members, chosen)
			}
			others = without(members, chosen)
		}
		connected = append(connected, chosen...)
	}
	c.publishedAt = c.now
	c.emit(PublishMembers{Members: connected, Others: others, Known: known, Remote: slices.Sorted(maps.Keys(remoteCentres)), Complete: c.membersComplete, OwnEntryRead: c.ownEntryRead})
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

const (
	// rolloutMeshFirst is the number of members of a service in a rollout to which all
	// others of it connect at once: the coordinator, its successors, and upstreams that
	// take part in the trial are among them.
	rolloutMeshFirst = 16
	// rolloutMeshSpread is the time over which the others follow, and
	// rolloutMeshInterval that between two steps: a hundred handshakes at once would
	// hold up requests on a small machine.
	rolloutMeshSpread   = 3 * time.Second
	rolloutMeshInterval = 250 * time.Millisecond
)

// applyRollouts applies which services have a rollout in progress.
func (c *Core) applyRollouts(services map[string]bool) {
	if own := c.cfg.Self.Service; services[own] && !c.rollouts[own] {
		c.rolloutSince = c.now
	}
	c.rollouts = services
	c.publishMembers()
}

// growRolloutMesh publishes the members again while those of a service in a rollout are
// added.
func (c *Core) growRolloutMesh() {
	growing := c.rollouts[c.cfg.Self.Service] && c.now-c.rolloutSince <= rolloutMeshSpread+rolloutMeshInterval
	if growing && c.now-c.publishedAt >= rolloutMeshInterval {
		c.publishMembers()
	}
}

// chooseForRollout returns the chosen members and those to which this daemon connects by
// now for the rollout of its service: the first in the order of the rollout, and a part
// of the others that grows to all of them.
func (c *Core) chooseForRollout(members, chosen []Member) []Member {
	all := slices.Clone(chosen)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(rollout.Rank(a.Instance), rollout.Rank(b.Instance))
	})
	grown := float64(c.now-c.rolloutSince) / float64(rolloutMeshSpread)
	for i, m := range members {
		due := i < rolloutMeshFirst || float64(c.pairRank(m)) <= grown*math.MaxUint64
		if due && !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return all
}

// without returns the members that are not chosen.
func without(members, chosen []Member) []Member {
	isChosen := make(map[string]bool, len(chosen))
	for _, m := range chosen {
		isChosen[m.Instance] = true
	}
	var left []Member
	for _, m := range members {
		if !isChosen[m.Instance] {
			left = append(left, m)
		}
	}
	return left
}

// pairRank returns the rendezvous hash of this daemon and m.
func (c *Core) pairRank(m Member) uint64 {
	return xxhash.Sum64String(c.cfg.Self.Instance + "\x00" + m.Instance)
}
