package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

const (
	// farTotal is about how many connections to other data centres a daemon
	// keeps over all services: with those inside the data centre their buffers
	// and signs fit into what a daemon may use.
	farTotal = 240
	// maxFar and minFar bound those for one service: enough to have some left
	// when a data centre is cut off, and to share out what the own one cannot
	// take.
	maxFar = 8
	minFar = 2
)

// publishMembers tells the data path with which daemons to keep a connection:
// all of the own data centre, and a few elsewhere for each service.
func (c *Core) publishMembers() {
	c.greetings = false
	var connected []Member
	far := map[string][]Member{}
	known := 0
	for key, row := range c.members {
		if row.Instance == "" || key == c.cfg.Self.Instance {
			continue
		}
		known++
		if row.DataCentre == c.cfg.Self.DataCentre {
			connected = append(connected, row.Member)
			continue
		}
		far[row.Service] = append(far[row.Service], row.Member)
	}
	for _, members := range far {
		connected = append(connected, c.chooseFar(members, len(far))...)
	}
	c.emit(PublishMembers{Members: connected, Known: known})
	c.updateDuty()
	c.log(event.MembersChanged, false, step.F("members", known), step.F("connected", len(connected)))
}

// chooseFar takes the daemons of one of the services in other data centres that
// are first in an order of this daemon's own. Daemons choose differently, so that
// each is chosen by about as many, and a new member changes little.
func (c *Core) chooseFar(members []Member, services int) []Member {
	wanted := min(max(farTotal/services, minFar), maxFar)
	if len(members) <= wanted {
		return members
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(c.pairRank(a), c.pairRank(b))
	})
	return members[:wanted]
}

func (c *Core) pairRank(m Member) uint64 {
	return xxhash.Sum64String(c.cfg.Self.Instance + "\x00" + m.Instance)
}
