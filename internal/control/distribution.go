package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// nearTime is how long a version that a daemon of another data centre has may
// take to arrive in the own one before it is read from the store: the way
// between data centres is dearer than a read.
const nearTime = 150 * time.Millisecond

// peerHeard brings in a newer configuration: from a peer of the own data
// centre, or soon from the store.
func (c *Core) peerHeard(ev PeerHeard) {
	if ev.Version <= max(c.version, c.fetching) {
		return
	}
	if c.members[ev.Instance].DataCentre == c.cfg.Self.DataCentre {
		c.fetch(ev.Instance, ev.Version)
		return
	}
	if ev.Version > c.wanted {
		if c.wanted <= c.version {
			c.wantedAt = c.now + nearTime
		}
		c.wanted, c.wantedFrom = ev.Version, ev.Instance
	}
}

func (c *Core) fetch(instance string, version uint64) {
	c.fetching = version
	c.emit(FetchConfig{Instance: instance, Version: version})
	c.log(event.ConfigSeen, false, step.F("version", version), step.F("from", instance))
}

// readWanted reads a version that did not arrive in the own data centre: from
// the store, and when that has not helped either, from the daemon that has it.
func (c *Core) readWanted() {
	if c.wanted <= c.version || c.now < c.wantedAt {
		return
	}
	if c.fetching >= c.wanted {
		// A peer has been asked; its answer, or the failure, will come.
		return
	}
	if c.wantedFrom != "" {
		c.emit(ReadConfig{})
		c.wantedAt = c.now + 2*nearTime
		c.fetchNext, c.wantedFrom = c.wantedFrom, ""
		return
	}
	c.wantedAt = c.now + 2*nearTime
	c.fetch(c.fetchNext, c.wanted)
}

// watchers is how many daemons of a data centre wait at the store: one, and one
// for when that one is cut off, frozen or turned away by the store.
const watchers = 2

// updateDuty decides which daemons wait at the store for configurations: the
// first of each data centre by rank. Each daemon decides for itself by whom it
// can reach and whom the store answers; daemons that see things differently only
// wait where another one waits as well.
func (c *Core) updateDuty() {
	own := rank(c.cfg.Self.Instance)
	before := 0
	for key, known := range c.members {
		near := known.Instance != "" && known.DataCentre == c.cfg.Self.DataCentre
		if near && key != c.cfg.Self.Instance && c.up[key] && !c.turnedAway[key] && rank(key) < own {
			before++
		}
	}
	if on := before < watchers; on != c.duty {
		c.duty = on
		c.emit(SetDuty{On: on})
		c.log(event.WatchDuty, false, step.F("on", on), step.F("before", before))
	}
}

// rank orders the daemons of a data centre in a way that is the same for all.
func rank(instance string) uint64 { return xxhash.Sum64String(instance) }
