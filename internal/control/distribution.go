package control

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// localArrivalWait is how long a version that no running local peer has reported may take
// to reach one, before it is obtained elsewhere. A transfer between data centres costs more
// than a store read.
const localArrivalWait = 150 * time.Millisecond

// configSource is a peer that has a newer configuration than the one in force.
type configSource struct {
	// version is the one that the peer has in force.
	version uint64
	// stopping is set once the peer has begun a planned stop. A fetch from it may be lost.
	stopping bool
}

// sourceKind says where a source is. Those with lower values are asked before others with the
// same version.
type sourceKind int

const (
	localSource sourceKind = iota
	localStoppingSource
	remoteSource
	remoteStoppingSource
)

func (c *Core) sourceKind(instance string) sourceKind {
	kind := remoteSource
	if c.members[instance].DataCentre == c.cfg.Self.DataCentre {
		kind = localSource
	}
	if c.sources[instance].stopping {
		kind++
	}
	return kind
}

// peerVersion handles the version that a peer has in force.
func (c *Core) peerVersion(ev PeerConfigVersion) {
	if ev.Version <= c.version {
		delete(c.sources, ev.Instance)
		return
	}
	c.sources[ev.Instance] = configSource{version: ev.Version, stopping: ev.Stopping}
	pursued := c.fetching
	if c.sourceKind(ev.Instance) != localSource {
		pursued = max(pursued, c.remoteVersion)
	}
	if ev.Version > pursued {
		c.seekConfig()
	}
}

// seekConfig obtains the newest version that peers have reported, unless it is in force or
// being fetched. It is fetched at once from a local peer that does not stop. If there is none,
// readRemoteVersion obtains it later.
func (c *Core) seekConfig() {
	if instance := c.newestSource(localSource); c.sources[instance].version > max(c.version, c.fetching) {
		c.fetch(instance, c.sources[instance].version)
	}
	newest := c.sources[c.newestSource(remoteStoppingSource)].version
	if newest <= max(c.version, c.fetching, c.remoteVersion) {
		return
	}
	if c.remoteVersion <= c.version {
		c.remoteReadAt = c.now + localArrivalWait
	}
	c.remoteVersion, c.storeAsked = newest, false
}

// newestSource returns the peer with the newest version among those of a kind up to last, or
// "" if there is none.
func (c *Core) newestSource(last sourceKind) string {
	newest := ""
	for instance := range c.sources {
		if c.sourceKind(instance) <= last && (newest == "" || c.compareSources(instance, newest) < 0) {
			newest = instance
		}
	}
	return newest
}

// compareSources orders peers by their versions, the newest first, then by their kinds, then
// by an order that is different at each daemon: they do not all ask the same peer.
func (c *Core) compareSources(a, b string) int {
	if order := cmp.Compare(c.sources[b].version, c.sources[a].version); order != 0 {
		return order
	}
	if order := cmp.Compare(c.sourceKind(a), c.sourceKind(b)); order != 0 {
		return order
	}
	return cmp.Compare(c.pairRank(Member{Instance: a}), c.pairRank(Member{Instance: b}))
}

// dropOldSources forgets the peers that have nothing newer than the version in force.
func (c *Core) dropOldSources() {
	for instance, source := range c.sources {
		if source.version <= c.version {
			delete(c.sources, instance)
		}
	}
}

// fetchLimit is longer than a fetch takes. The event that ends one is lost if the
// queue of events is full.
const fetchLimit = 3 * time.Second

func (c *Core) fetch(instance string, version uint64) {
	c.fetching, c.fetchingFrom, c.fetchEnds = version, instance, c.now+fetchLimit
	c.emit(FetchConfig{Instance: instance, Version: version})
	c.log(event.ConfigSeen, false, step.F("version", version), step.F("from", instance))
}

// endFetch makes room for the next fetch.
func (c *Core) endFetch() { c.fetching, c.fetchingFrom = 0, "" }

// fetchLost ends the fetch from a peer, if there is one, that has not brought its version.
// Another peer with a newer version is asked at once, and this one when it reports it again.
func (c *Core) fetchLost(instance string) {
	if c.fetching == 0 || instance != c.fetchingFrom {
		return
	}
	delete(c.sources, instance)
	c.endFetch()
	c.seekConfig()
}

// fetchReturned ends the fetch from a peer that has returned a version, which may be another
// one than it had reported.
func (c *Core) fetchReturned(instance string, version uint64) {
	switch {
	case instance != c.fetchingFrom:
	case version < c.fetching:
		c.fetchLost(instance)
	default:
		c.endFetch()
	}
}

// readRemoteVersion obtains a version that no running local peer has reported within
// localArrivalWait: from a local peer that stops, or else first from the store and, if that
// does not return it within twice that time, from a peer of another data centre.
func (c *Core) readRemoteVersion() {
	if c.remoteVersion <= c.version || c.now < c.remoteReadAt {
		return
	}
	if c.fetching >= c.remoteVersion {
		// A fetch from a peer is in progress and will end in an event.
		return
	}
	c.remoteReadAt = c.now + 2*localArrivalWait
	source := c.newestSource(remoteStoppingSource)
	switch isLocal := source != "" && c.sourceKind(source) < remoteSource; {
	case !isLocal && !c.storeAsked:
		c.storeAsked = true
		c.emit(ReadConfig{})
	case source != "":
		c.fetch(source, c.sources[source].version)
	default:
		// Until a peer reports it again, nobody is known to have it.
		c.remoteVersion = 0
	}
}

// rank orders the daemons of a data centre; all daemons compute the same order.
func rank(instance string) uint64 { return xxhash.Sum64String(instance) }
