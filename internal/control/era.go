package control

import (
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

const (
	// minReadSpread is the shortest time over which the daemons spread their reads
	// of the member table after the store has come back from an older copy.
	minReadSpread = time.Second
	// readsPerSecond is the number of such reads per second, of all daemons
	// together, by which minReadSpread grows with the fleet. Each read may be
	// followed by a write.
	readsPerSecond = 100
)

// eraState is what the reducer knows of the store's era. An era ends when the store
// comes back from an older copy, without what was written since that copy.
type eraState struct {
	// current is the latest era in an answer of the store to this daemon; known is
	// set from the first answer on.
	current store.Era
	known   bool
	// advanced is set once the store has come back from an older copy while this
	// process ran.
	advanced bool
	// resync is the latest era for which a read of the member table was scheduled;
	// resyncAt is the time of that read, 0 for none.
	resync   store.Era
	resyncAt time.Duration
}

// membersReadIn records a complete read of the member table in an era. The
// scheduled read is not needed any more.
func (e *eraState) membersReadIn(era store.Era) {
	if era >= e.resync {
		e.resyncAt = 0
	}
}

// storeEra applies the era of an answer of the store to this daemon.
func (c *Core) storeEra(era store.Era) {
	before := c.era
	if before.known && era <= before.current {
		return
	}
	c.era.current, c.era.known = era, true
	c.emit(PublishStoreEra{Era: era, Advanced: before.known})
	if !before.known {
		c.era.resync = max(c.era.resync, era)
		return
	}
	c.era.advanced = true
	c.log(event.StoreEraAdvanced, true, step.F("era", era), step.F("before", before.current))
	c.scheduleResync(era)
}

// peerStoreEra applies the era that a peer has seen. It only makes this daemon ask
// the store, whose answer decides: this daemon may be cut off from the store, and a
// wrong number changes nothing.
func (c *Core) peerStoreEra(ev PeerStoreEra) {
	if !c.era.known || ev.Era <= c.era.current {
		return
	}
	c.scheduleResync(ev.Era)
}

// scheduleResync schedules a read of the member table for an era, once for each.
// If the store has lost this daemon's entry, the read makes it write the entry
// again.
func (c *Core) scheduleResync(era store.Era) {
	if era <= c.era.resync {
		return
	}
	c.era.resync = era
	c.era.resyncAt = c.now + c.readDelay()
}

// readDelay returns this daemon's share of the time over which all daemons spread
// their reads.
func (c *Core) readDelay() time.Duration {
	const steps = 1 << 10
	spread := max(minReadSpread, time.Duration(len(c.members))*time.Second/readsPerSecond)
	return spread * time.Duration(rank(c.cfg.Self.Instance)%steps+1) / steps
}

// readMembersWhenDue requests the scheduled read of the member table.
func (c *Core) readMembersWhenDue() {
	if c.era.resyncAt == 0 || c.now < c.era.resyncAt {
		return
	}
	c.era.resyncAt = 0
	c.emit(ReadMembers{})
}
