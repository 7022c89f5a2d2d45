// Package quarantine keeps requests that crash upstreams away from them.
//
// A request that is in flight when an upstream crashes becomes a suspect. From
// its second crash on, wherever these happened, it is refused at once. Suspects
// run one at a time at an upstream, so that a crash finds at most one of them
// in flight; a request that ends without a crash is cleared. Suspects and
// clearances spread by gossip with a time to live.
package quarantine

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// Config holds the bounds of a quarantine.
type Config struct {
	// Instance is the own instance id; it makes crash ids unique.
	Instance string
	// TTL is how long a fingerprint is remembered after its last crash.
	TTL time.Duration
	// Threshold is from how many crashes on a request is refused.
	Threshold int
	// MaxFingerprints is how many are remembered; the ones that expire first
	// make room.
	MaxFingerprints int
	// MaxCrashIDs is how many crashes are told apart for one fingerprint.
	MaxCrashIDs int
}

// DefaultConfig returns the defaults for an instance.
func DefaultConfig(instance string) Config {
	return Config{
		Instance:        instance,
		TTL:             10 * time.Minute,
		Threshold:       2,
		MaxFingerprints: 1024,
		MaxCrashIDs:     4,
	}
}

// Crashed tells that the local upstream crashed with a request in flight.
type Crashed struct {
	Fingerprint claim.Hash
	// Crash numbers the crashes that this process saw; all requests in flight
	// at one crash carry the same number.
	Crash uint64
}

// Cleared tells that a suspect ended without a crash.
type Cleared struct {
	Fingerprint claim.Hash
}

// FingerprintsArrived carries what other daemons tell.
type FingerprintsArrived struct {
	Fingerprints []*peerv1.Fingerprint
}

// EventName implements step.Event.
func (Crashed) EventName() string { return "request-crashed" }

// EventName implements step.Event.
func (Cleared) EventName() string { return "request-cleared" }

// EventName implements step.Event.
func (FingerprintsArrived) EventName() string { return "fingerprints-arrived" }

// Spread asks to pass fingerprints on to other daemons. One with no crashes
// clears the crash ids it names.
type Spread struct {
	Fingerprints []*peerv1.Fingerprint
	// Origin is set when the news began here, not with another daemon.
	Origin bool
}

// SetChanged carries what the data path refuses and watches from now on.
type SetChanged struct {
	Entries map[claim.Hash]Entry
}

// EffectName implements step.Effect.
func (Spread) EffectName() string { return "spread-fingerprints" }

// EffectName implements step.Effect.
func (SetChanged) EffectName() string { return "quarantine-changed" }

// suspect is one fingerprint with the crashes it was in flight at.
type suspect struct {
	crashes []string
	// cleared are crashes that it was found innocent of.
	cleared []string
	// expires is on the wall clock, in Unix milliseconds.
	expires int64
}

// Core is the reducer. It is used by one goroutine.
type Core struct {
	cfg Config
	now step.Moment
	// process tells this process's crash numbers from those of an earlier one.
	process  uint64
	suspects map[claim.Hash]*suspect
	// nextKnown is where the next call of Known begins.
	nextKnown int
	changed   bool
	out       []step.Effect
	spread    []*peerv1.Fingerprint
}

// New returns a quarantine without suspects.
func New(cfg Config, now step.Moment) *Core {
	return &Core{cfg: cfg, process: uint64(now.Wall.UnixMilli()), suspects: make(map[claim.Hash]*suspect)}
}

// Step takes one event and returns the work to be done.
func (c *Core) Step(now step.Moment, ev step.Event) []step.Effect {
	c.now = now
	c.out, c.spread, c.changed = nil, nil, false
	switch ev := ev.(type) {
	case step.Tick:
		c.expire()
	case Crashed:
		c.crashed(ev)
	case Cleared:
		c.cleared(ev)
	case FingerprintsArrived:
		for _, fingerprint := range ev.Fingerprints {
			c.merge(fingerprint)
		}
	}
	if len(c.spread) > 0 {
		_, told := ev.(FingerprintsArrived)
		c.out = append(c.out, Spread{Fingerprints: c.spread, Origin: !told})
	}
	if c.changed {
		c.out = append(c.out, SetChanged{Entries: c.entries()})
	}
	return c.out
}

// crashed counts a crash that happened here.
func (c *Core) crashed(ev Crashed) {
	id := fmt.Sprintf("%s/%x/%d", c.cfg.Instance, c.process, ev.Crash)
	expires := c.now.Wall.Add(c.cfg.TTL).UnixMilli()
	c.log(event.RequestCrashed, ev.Fingerprint, step.F("crash", id))
	if !c.addCrashes(ev.Fingerprint, []string{id}, expires) {
		return
	}
	c.pass(ev.Fingerprint)
}

// cleared forgets the crashes that a request has proved innocent of, and tells
// the others.
func (c *Core) cleared(ev Cleared) {
	s := c.suspects[ev.Fingerprint]
	if s == nil || len(s.crashes) == 0 {
		return
	}
	cleared := s.crashes
	c.clear(s, cleared)
	c.spread = append(c.spread, &peerv1.Fingerprint{
		Hash:     ev.Fingerprint[:],
		Expires:  s.expires,
		CrashIds: cleared,
	})
}

func (c *Core) clear(s *suspect, ids []string) {
	for _, id := range ids {
		if !slices.Contains(s.cleared, id) && len(s.cleared) < 2*c.cfg.MaxCrashIDs {
			s.cleared = append(s.cleared, id)
		}
	}
	s.crashes = slices.DeleteFunc(slices.Clone(s.crashes), func(id string) bool {
		return slices.Contains(ids, id)
	})
	c.changed = true
}

// merge takes what another daemon tells, and passes on what was new.
func (c *Core) merge(told *peerv1.Fingerprint) {
	hash, ok := claim.HashFrom(told.GetHash())
	latest := c.now.Wall.Add(c.cfg.TTL).UnixMilli()
	expires := min(told.GetExpires(), latest)
	if !ok || expires <= c.now.Wall.UnixMilli() || len(told.GetCrashIds()) > 2*c.cfg.MaxCrashIDs {
		return
	}
	if told.GetCrashes() == 0 {
		c.mergeCleared(hash, told.GetCrashIds(), expires)
		return
	}
	if c.addCrashes(hash, told.GetCrashIds(), expires) {
		c.pass(hash)
	}
}

func (c *Core) mergeCleared(hash claim.Hash, ids []string, expires int64) {
	s := c.suspect(hash, expires)
	before := len(s.cleared)
	c.clear(s, ids)
	if len(s.cleared) > before {
		c.spread = append(c.spread, &peerv1.Fingerprint{Hash: hash[:], Expires: expires, CrashIds: ids})
	}
}

// addCrashes adds the crashes that are new and not cleared, and reports
// whether there were any.
func (c *Core) addCrashes(hash claim.Hash, ids []string, expires int64) bool {
	s := c.suspect(hash, expires)
	before := len(s.crashes)
	for _, id := range ids {
		fresh := !slices.Contains(s.crashes, id) && !slices.Contains(s.cleared, id)
		if fresh && len(s.crashes) < c.cfg.MaxCrashIDs {
			s.crashes = append(s.crashes, id)
		}
	}
	if len(s.crashes) == before {
		return false
	}
	s.expires = max(s.expires, expires)
	c.changed = true
	if before < c.cfg.Threshold && len(s.crashes) >= c.cfg.Threshold {
		c.log(event.RequestQuarantined, hash, step.F("crashes", len(s.crashes)))
	}
	return true
}

// suspect returns the record of a fingerprint, made when there is none.
func (c *Core) suspect(hash claim.Hash, expires int64) *suspect {
	s := c.suspects[hash]
	if s == nil {
		c.makeRoom()
		s = &suspect{expires: expires}
		c.suspects[hash] = s
	}
	return s
}

// makeRoom drops what expires first when the memory is full.
func (c *Core) makeRoom() {
	if len(c.suspects) < c.cfg.MaxFingerprints {
		return
	}
	hashes := c.hashes()
	first := slices.MinFunc(hashes, func(a, b claim.Hash) int {
		return int(c.suspects[a].expires - c.suspects[b].expires)
	})
	delete(c.suspects, first)
	c.changed = true
}

func (c *Core) hashes() []claim.Hash {
	return slices.SortedFunc(maps.Keys(c.suspects), func(a, b claim.Hash) int {
		return bytes.Compare(a[:], b[:])
	})
}

func (c *Core) expire() {
	now := c.now.Wall.UnixMilli()
	for hash, s := range c.suspects {
		if s.expires <= now {
			delete(c.suspects, hash)
			c.changed = true
		}
	}
}

// pass spreads what is known of a fingerprint.
func (c *Core) pass(hash claim.Hash) {
	c.spread = append(c.spread, c.suspects[hash].message(hash))
}

func (c *Core) entries() map[claim.Hash]Entry {
	entries := make(map[claim.Hash]Entry, len(c.suspects))
	for hash, s := range c.suspects {
		if len(s.crashes) == 0 {
			continue
		}
		entries[hash] = Entry{
			Refused: len(s.crashes) >= c.cfg.Threshold,
			Expires: time.UnixMilli(s.expires),
		}
	}
	return entries
}

func (c *Core) log(number event.Number, hash claim.Hash, fields ...step.Field) {
	fields = append([]step.Field{step.F("fingerprint", hash)}, fields...)
	c.out = append(c.out, step.Log{Event: number, Warn: true, Fields: fields})
}
