package claim

import (
	"math"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// Two questions are asked of the past before a key is granted.
//
// informed: could somebody else have granted the key from memory within the
// window, without this daemon knowing? A grant from memory is known to the
// key's holder and its backup when it is given, so a daemon that was one of
// the two under every view of the window, or to whom the holder of a view
// handed over, knows of all. It is asked before every grant, since the table
// does not have the claims granted from memory.
//
// tenured: could somebody else have granted the key through the table within
// the horizon? It is asked before a grant from memory, when the table cannot
// be read. It needs that this daemon was the holder under every view of the
// horizon, and that no instance went silent in it: one that is cut off, and
// not dead, goes on granting through the table.

// informed reports whether this daemon knows every claim that may have been
// granted from memory under the key within the window.
func (c *Core) informed(key Hash) bool {
	h := &c.views
	from := c.now.Now - c.window()
	end := c.now.Now
	for i := len(h.views) - 1; i >= 0; i-- {
		v := &h.views[i]
		if end <= from {
			return true
		}
		holder, backup := v.ranks(key, c.cfg.DataCentre)
		if holder != h.self && backup != h.self {
			_, vouched := c.lastVouch(key, holder, v.since, end)
			return vouched
		}
		end = v.since
	}
	return end <= from || c.informedAtStart(key)
}

// informedAtStart judges the time before this daemon's first view: no grant
// from memory can have been given when the marker was absent, and the one that
// held the key before a joiner came tells it.
func (c *Core) informedAtStart(key Hash) bool {
	if c.marker.absentAtStart {
		return true
	}
	_, vouched := c.firstVouch(key)
	return vouched
}

// firstVouch returns what the one that held the key before this daemon came
// handed over.
func (c *Core) firstVouch(key Hash) (vouch, bool) {
	return c.vouchOf(c.holderWithoutSelf(key, c.views.current().instances), key)
}

// lastVouch returns what the holder of a past view handed over when it left
// within the time of that view.
func (c *Core) lastVouch(key Hash, holder string, from, to time.Duration) (vouch, bool) {
	v, ok := c.vouchOf(holder, key)
	return v, ok && v.leaving && v.at >= from && v.at <= to
}

// vouchOf returns what an instance handed over, if that bears on the key: if
// the instance held it in its own view.
func (c *Core) vouchOf(instance string, key Hash) (vouch, bool) {
	v, ok := c.views.vouches[instance]
	return v, ok && c.holderWithoutSelf(key, v.live) == instance
}

// holderWithoutSelf is who would hold the key if this daemon were not among
// the instances.
func (c *Core) holderWithoutSelf(key Hash, instances []string) string {
	others := make([]string, 0, len(instances))
	for _, instance := range instances {
		if instance != c.views.self {
			others = append(others, instance)
		}
	}
	holder, _ := ranked(key, others)
	return holder
}

// tenured reports whether nobody else can have granted the key within the
// horizon.
func (c *Core) tenured(key Hash) bool {
	h := &c.views
	from := c.now.Now - c.cfg.Horizon
	if h.tenureSince > from && h.tenureSince != h.began {
		return false
	}
	end := c.now.Now
	for i := len(h.views) - 1; i >= 0; i-- {
		v := &h.views[i]
		if end <= from {
			return true
		}
		holder, _ := v.ranks(key, c.cfg.DataCentre)
		if holder != h.self {
			vouch, ok := c.lastVouch(key, holder, v.since, end)
			return ok && vouch.tenure <= from
		}
		end = v.since
	}
	if end <= from {
		return true
	}
	vouch, ok := c.firstVouch(key)
	return ok && vouch.tenure <= from
}

// whole reports whether this daemon knows every claim granted from memory
// under all keys that it holds, so that it can vouch for them to others. With
// one instance lost it was the backup for all that it gained.
func (c *Core) whole() bool {
	h := &c.views
	from := c.now.Now - c.window()
	if h.homesChanged >= 0 && h.homesChanged > from {
		return false
	}
	lost := 0
	for _, at := range h.losses {
		if at > from {
			lost++
		}
	}
	return lost <= 1 && (h.began <= from || c.marker.absentAtStart || c.vouchedByAll())
}

// vouchedByAll reports whether all others alive have handed over.
func (c *Core) vouchedByAll() bool {
	others := 0
	for _, m := range c.views.current().members {
		if m.Instance == c.views.self {
			continue
		}
		others++
		if _, ok := c.views.vouches[m.Instance]; !ok {
			return false
		}
	}
	return others > 0
}

func (c *Core) anySuspect() bool {
	for _, m := range c.views.current().members {
		if m.Suspect {
			return true
		}
	}
	return false
}

// tenureStart is from when on this daemon's tenure counts, for the one that it
// hands over to. It does not reach back beyond a loss: what a lost instance
// granted through the table is known to nobody, and the receiver may be the
// process that takes its place.
func (c *Core) tenureStart() time.Duration {
	h := &c.views
	start := h.tenureSince
	if start == h.began && c.vouchedByAll() {
		start = c.inheritedTenure()
	}
	if len(h.losses) > 0 {
		start = max(start, h.losses[len(h.losses)-1])
	}
	return start
}

// inheritedTenure is the latest start of tenure among those that handed over.
func (c *Core) inheritedTenure() time.Duration {
	inherited := time.Duration(math.MinInt64)
	for _, m := range c.views.current().members {
		if m.Instance != c.views.self {
			inherited = max(inherited, c.views.vouches[m.Instance].tenure)
		}
	}
	return inherited
}

func (c *Core) resetTenure(why string) {
	c.views.tenureSince = c.now.Now
	c.warn(event.ClaimTenure, step.F("why", why))
}

// viewChanged takes a new view.
func (c *Core) viewChanged(ev ViewChanged) {
	diff := c.views.set(c.now.Now, ev, c.cfg.MaxViews)
	for _, id := range diff.lost {
		delete(c.handed, id)
		delete(c.views.vouches, id.instance)
		c.views.losses = append(c.views.losses, c.now.Now)
	}
	if diff.homes {
		c.views.homesChanged = c.now.Now
	}
	if diff.cutOff {
		c.resetTenure("instance-lost")
	} else if diff.homes {
		c.resetTenure("homes-changed")
	}
	if diff.moved || len(diff.joined) > 0 {
		c.rangeMoved()
	}
}

// rangeMoved refuses what this daemon may no longer grant, takes over the
// copies it kept for a holder that went, and tells new backups.
func (c *Core) rangeMoved() {
	for _, id := range c.handOverIDs() {
		if c.handOvers[id].replica {
			c.handOverFailed(id)
		}
	}
	for _, e := range c.sortedEntries() {
		if !c.views.holds(e.key, c.cfg.DataCentre) || !e.unwritten() {
			continue
		}
		e.replica = false
		c.listInsert(e)
		c.replicate(e)
	}
}
