package confsync

import (
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// maxIDs is how many versions' digests are remembered.
const maxIDs = 256

// idLog remembers the digest first seen under each recent version.
type idLog struct {
	digests map[uint64]manifest.Digest
}

func newIDLog() idLog {
	return idLog{digests: map[uint64]manifest.Digest{}}
}

// note remembers the ID and reports whether it agrees with what was seen.
func (l *idLog) note(id manifest.ID) bool {
	if known, seen := l.digests[id.Version]; seen {
		return known == id.Digest
	}
	l.prefer(id)
	return true
}

// prefer remembers the ID in place of another digest under its version.
func (l *idLog) prefer(id manifest.ID) {
	l.digests[id.Version] = id.Digest
	if len(l.digests) > maxIDs {
		l.forgetLowest()
	}
}

func (l *idLog) forgetLowest() {
	lowest := ^uint64(0)
	for version := range l.digests {
		lowest = min(lowest, version)
	}
	delete(l.digests, lowest)
}

// Bounds of the refusals that are remembered.
const (
	maxRefusals = 64
	// alarmInterval is the shortest time between two alarms about one refusal.
	alarmInterval = time.Minute
)

type refusalKey struct {
	id   manifest.ID
	code code.Code
}

// refusals remembers what was refused.
type refusals struct {
	alarmed map[refusalKey]time.Duration
	final   map[manifest.ID]bool
	newest  Refusal
}

func newRefusals() refusals {
	return refusals{alarmed: map[refusalKey]time.Duration{}, final: map[manifest.ID]bool{}}
}

func (r *refusals) current() (Refusal, bool) {
	return r.newest, r.newest.Code != code.OK
}

// overcome forgets the newest refusal once a version above it is in force.
func (r *refusals) overcome(applied manifest.ID) {
	if r.newest.ID.Version < applied.Version || r.newest.ID == applied {
		r.newest = Refusal{}
	}
}

// refuse records and raises a refusal; each is raised at most once a minute.
func (c *Core) refuse(ev event.Number, r Refusal) {
	c.refused.newest = r
	key := refusalKey{r.ID, r.Code}
	if raised, again := c.refused.alarmed[key]; again && c.now-raised < alarmInterval {
		return
	}
	if len(c.refused.alarmed) >= maxRefusals {
		clear(c.refused.alarmed)
	}
	c.refused.alarmed[key] = c.now
	c.emit(Refused(r))
	c.emit(step.Log{Event: ev, Warn: true, Fields: []step.Field{
		step.F("version", r.ID),
		step.F("applied", c.Applied()),
		step.F("code", r.Code),
		step.F("detail", r.Detail),
	}})
}

// refuseForGood refuses a version that is never tried again.
func (c *Core) refuseForGood(ev event.Number, r Refusal) {
	if len(c.refused.final) >= maxRefusals {
		clear(c.refused.final)
	}
	c.refused.final[r.ID] = true
	c.refuse(ev, r)
}

func (c *Core) refuseSecondDigest(id manifest.ID) {
	c.refuse(event.ConfigSecondDigest, Refusal{
		ID:     id,
		Code:   code.ApplySecondDigest,
		Detail: "known digest is " + c.ids.digests[id.Version].Short(),
	})
}

// admissible reports whether a version may be applied over the one in force,
// and raises a second digest under a known version.
func (c *Core) admissible(id manifest.ID) bool {
	if id.IsZero() {
		return false
	}
	if !c.ids.note(id) {
		c.refuseSecondDigest(id)
		return false
	}
	if id.Version <= c.Applied().Version || id.Version < c.floor.Version {
		return false
	}
	return !c.refused.final[id]
}

// clearHead forgets that the platform's head went back, once it is current.
func (c *Core) clearHead() {
	reason := c.refused.newest.Code
	if reason == code.ApplyOlderHead || reason == code.ApplyBelowFloor {
		c.refused.newest = Refusal{}
		c.emit(RefusalCleared{})
	}
}
