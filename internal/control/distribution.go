package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// localArrivalWait is how long a version reported by a remote daemon may take
// to reach a local peer before it is read from the store. A transfer between
// data centres costs more than a store read.
const localArrivalWait = 150 * time.Millisecond

// peerVersion handles the version that a peer has in force. If it is newer than
// the version in force and the one being fetched, it is fetched immediately if the
// peer is local; if the peer is remote, readRemoteVersion obtains it later.
func (c *Core) peerVersion(ev PeerConfigVersion) {
	if ev.Version <= max(c.version, c.fetching) {
		return
	}
	if c.members[ev.Instance].DataCentre == c.cfg.Self.DataCentre {
		c.fetch(ev.Instance, ev.Version)
		return
	}
	if ev.Version > c.remoteVersion {
		if c.remoteVersion <= c.version {
			c.remoteReadAt = c.now + localArrivalWait
		}
		c.remoteVersion, c.remoteSource = ev.Version, ev.Instance
	}
}

// fetchLimit is longer than a fetch takes. The event that ends one is lost if the
// queue of events is full.
const fetchLimit = 3 * time.Second

func (c *Core) fetch(instance string, version uint64) {
	c.fetching, c.fetchEnds = version, c.now+fetchLimit
	c.emit(FetchConfig{Instance: instance, Version: version})
	c.log(event.ConfigSeen, false, step.F("version", version), step.F("from", instance))
}

// endFetch makes room for the next fetch.
func (c *Core) endFetch() { c.fetching = 0 }

// readRemoteVersion obtains a version that has not reached the local data centre
// within localArrivalWait: first from the store and, if that does not return it
// within twice that time, from the remote daemon that reported it.
func (c *Core) readRemoteVersion() {
	if c.remoteVersion <= c.version || c.now < c.remoteReadAt {
		return
	}
	if c.fetching >= c.remoteVersion {
		// A fetch from a peer is in progress and will end in an event.
		return
	}
	if c.remoteSource != "" {
		c.emit(ReadConfig{})
		c.remoteReadAt = c.now + 2*localArrivalWait
		c.fallbackSource, c.remoteSource = c.remoteSource, ""
		return
	}
	c.remoteReadAt = c.now + 2*localArrivalWait
	c.fetch(c.fallbackSource, c.remoteVersion)
}

// rank orders the daemons of a data centre; all daemons compute the same order.
func rank(instance string) uint64 { return xxhash.Sum64String(instance) }
