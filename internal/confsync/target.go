package confsync

import (
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// maxSources is how many holders of the wanted version are remembered.
const maxSources = 8

// source is a peer that holds the wanted version.
type source struct {
	address string
	remote  bool
	// notBefore is when a source that was out of budget may be asked again.
	notBefore time.Duration
	failed    bool
}

// target is the newest version known and not yet held. The zero target wants
// nothing.
type target struct {
	id manifest.ID
	// platform is set when the platform's own head named the version.
	platform bool
	sources  []source
	// inForce is when a peer last said that it has the version in force.
	inForce time.Duration
	// hops is how often the news may still be passed on.
	hops     uint32
	due      time.Duration
	failures int

	// inFlight is the attempt of the one fetch under way, or 0; from is its
	// source, empty for the platform.
	inFlight uint64
	from     string
	deadline time.Duration
}

// offerFrom tells where a version was heard of.
type offerFrom struct {
	// address is of a peer that holds it, or empty.
	address string
	// platform is set when it is the platform's head.
	platform bool
	// inForce is set when that peer has the version in force.
	inForce bool
	hops    uint32
}

// offer makes a version the target when it is greater than all known ones, and
// remembers who holds it.
func (c *Core) offer(id manifest.ID, from offerFrom) {
	if !c.admissible(id) {
		return
	}
	if c.pending != nil && c.pending.v.id.Version >= id.Version {
		return
	}
	if id.Version < c.target.id.Version {
		if !from.platform || !c.isRumour() {
			return
		}
		c.target.drop()
	}
	if id != c.target.id {
		c.retarget(id, from)
	}
	c.addSource(from)
}

// isRumour reports whether the target was only heard of from peers, cannot be
// had, and is in force nowhere as far as is known: the platform's own head,
// though lower, goes before it.
func (c *Core) isRumour() bool {
	unheard := c.now - c.target.inForce
	return !c.target.platform && c.target.failures >= c.cfg.PeerFetches && unheard >= c.cfg.RumourAfter
}

func (c *Core) retarget(id manifest.ID, from offerFrom) {
	c.target.id = id
	c.target.platform = false
	c.target.inForce = -c.cfg.RumourAfter
	c.target.sources = nil
	c.target.hops = 0
	c.target.failures = 0
	c.target.due = c.now + c.remoteDelay()
	c.emit(step.Log{Event: event.ConfigSeen, Fields: []step.Field{
		step.F("version", id),
		step.F("applied", c.Applied()),
		step.F("from", describe(from)),
	}})
}

func describe(from offerFrom) string {
	if from.platform {
		return "platform"
	}
	if from.address == "" {
		return "floor"
	}
	return from.address
}

func (c *Core) addSource(from offerFrom) {
	t := &c.target
	t.hops = max(t.hops, from.hops)
	t.platform = t.platform || from.platform
	if from.inForce {
		t.inForce = c.now
	}
	remote := c.peers.isRemote(from.address)
	if t.failures == 0 && !remote {
		t.due = min(t.due, c.now)
	}
	if from.address == "" || len(t.sources) >= maxSources {
		return
	}
	for _, known := range t.sources {
		if known.address == from.address {
			return
		}
	}
	t.sources = append(t.sources, source{address: from.address, remote: remote})
}

// remoteDelay is how long news from another data centre waits, so that a
// version crosses the link about once and spreads inside from there.
func (c *Core) remoteDelay() time.Duration {
	if c.peers.rank == 0 {
		return 0
	}
	if c.peers.polls() {
		return c.cfg.RemoteDelay
	}
	return 2*c.cfg.RemoteDelay + c.jitter(c.cfg.RemoteDelay)
}

// awaits reports whether the fetch in flight has this attempt.
func (t *target) awaits(attempt uint64) bool {
	return t.inFlight != 0 && t.inFlight == attempt
}

// drop wants nothing any more; a fetch in flight is ignored.
func (t *target) drop() { *t = target{} }

func (c *Core) noticeReceived(ev NoticeReceived) {
	c.floors.raise(ev.From, ev.ID)
	c.offer(ev.ID, offerFrom{address: ev.Address, hops: ev.Remaining})
}

func (c *Core) peerApplied(ev PeerApplied) {
	c.floors.raise(ev.Instance, ev.ID)
	if ev.ID == c.Applied() {
		return
	}
	c.offer(ev.ID, offerFrom{address: ev.Address, inForce: true, hops: c.cfg.NoticeHops})
}
