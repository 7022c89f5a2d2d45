package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// Core is the reducer of a claim holder. It is used by one goroutine.
type Core struct {
	cfg Config
	// now and out are the moment and the effects of the step under way.
	now step.Moment
	out []step.Effect

	views   viewHistory
	entries map[Hash]*entry
	expiry  []expiring
	// parked are the entries with repeats waiting.
	parked []*entry
	// released holds attempts that are never granted any more.
	released      map[string]struct{}
	releasedOrder []releasedAttempt

	inserts []*entry
	deletes []*entry
	flight  *transaction
	table   tableHealth
	marker  marker

	// replicas are claims to be sent to each backup at the end of the step.
	replicas  map[string][]*entry
	handOvers map[uint64]*handOver
	// unreplicated are claims granted from memory whose new backup has not been
	// told.
	unreplicated []*entry
	// handed is how far each member has been told what concerns it.
	handed map[memberID]handed
	nextID uint64

	answers     []*entry
	answerBytes int
	waiting     int
	leaving     bool
	stats       Stats
}

type expiring struct {
	at    time.Duration
	entry *entry
}

type releasedAttempt struct {
	at      time.Duration
	attempt string
}

// New returns a holder that has just started and knows nothing.
func New(cfg Config, now step.Moment) *Core {
	return &Core{
		cfg:       cfg,
		now:       now,
		views:     newViewHistory(now.Now),
		entries:   make(map[Hash]*entry),
		released:  make(map[string]struct{}),
		replicas:  make(map[string][]*entry),
		handOvers: make(map[uint64]*handOver),
		handed:    make(map[memberID]handed),
	}
}

// Step takes one event and returns the work to be done.
func (c *Core) Step(now step.Moment, ev step.Event) []step.Effect {
	c.now = now
	c.out = nil
	switch ev := ev.(type) {
	case step.Tick:
		c.tick()
	case step.Paused:
		c.paused(ev)
	case ViewChanged:
		c.viewChanged(ev)
	case AcquireRequested:
		c.acquire(ev.Call, ev.Request)
	case FinishRequested:
		c.finish(ev.Call, ev.Request)
	case HandOverRequested:
		c.handOverRequested(ev.Call, ev.Request)
	case TableWritten:
		c.tableWritten(ev)
	case TableRead:
		c.tableRead(ev)
	case HandedOver:
		c.handedOver(ev)
	case LeaveRequested:
		c.leave()
	}
	c.flushReplicas()
	c.handOver()
	c.pump()
	return c.out
}

// Stats returns the counts and sizes at the last step.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Claims = len(c.entries)
	stats.Waiting = c.waiting
	stats.Answers = len(c.answers)
	stats.PlatformAway = c.table.away
	stats.Tenure = c.now.Now - c.views.tenureSince
	return stats
}

// tick does what time makes due.
func (c *Core) tick() {
	c.expireFlight()
	c.expireHandOvers()
	c.replicateAgain()
	c.expireWaiters()
	c.expireEntries()
	c.views.trim(c.now.Now - c.window())
}

// paused forgets every conclusion that was drawn before the process stood
// still: a transaction in flight is written anew, replicas under way are
// refused, and tenure begins again.
func (c *Core) paused(ev step.Paused) {
	c.resetTenure("paused")
	if ev.Gap >= c.cfg.Horizon {
		c.views.forget(c.now.Now)
		c.marker = marker{}
	}
	if c.flight != nil {
		c.flightLost()
	}
	for _, id := range c.handOverIDs() {
		c.handOverFailed(id)
	}
}

func (c *Core) emit(effect step.Effect) { c.out = append(c.out, effect) }

func (c *Core) id() uint64 {
	c.nextID++
	return c.nextID
}

func (c *Core) reply(call step.CallID, message proto.Message) {
	c.emit(step.Reply{Call: call, Message: message})
}

func (c *Core) warn(number event.Number, fields ...step.Field) {
	c.emit(step.Log{Event: number, Warn: true, Fields: fields})
}

func (c *Core) info(number event.Number, fields ...step.Field) {
	c.emit(step.Log{Event: number, Fields: fields})
}

func (c *Core) decide(call step.CallID, outcome peerv1.ClaimOutcome, why code.Code, retry time.Duration, answer *peerv1.StoredAnswer) {
	c.reply(call, &peerv1.AcquireClaimResponse{
		Outcome:      outcome,
		Answer:       answer,
		Code:         uint32(why),
		RetryAfterMs: uint32(retry.Milliseconds()),
		Holder:       c.views.self,
	})
}

// refuse tells a caller that nothing was granted.
func (c *Core) refuse(call step.CallID, key Hash, why code.Code) {
	c.stats.Refused++
	c.info(event.ClaimRefused, step.F("key", key), step.F("code", why))
	c.decide(call, peerv1.ClaimOutcome_CLAIM_OUTCOME_REFUSED, why, c.cfg.RetryAfter, nil)
}

// expireEntries forgets keys and released attempts whose time is over.
func (c *Core) expireEntries() {
	for len(c.expiry) > 0 && c.expiry[0].at <= c.now.Now {
		e := c.expiry[0].entry
		c.expiry = c.expiry[1:]
		if c.entries[e.key] == e && e.expires <= c.now.Now {
			c.forget(e)
		}
	}
	for len(c.releasedOrder) > 0 && c.releasedOrder[0].at <= c.now.Now {
		delete(c.released, c.releasedOrder[0].attempt)
		c.releasedOrder = c.releasedOrder[1:]
	}
}

// add puts a new entry into memory for the time that its key is remembered.
func (c *Core) add(e *entry) {
	c.entries[e.key] = e
	c.extend(e)
}

// extend remembers the entry for another horizon.
func (c *Core) extend(e *entry) {
	e.expires = c.now.Now + c.cfg.Horizon
	c.expiry = append(c.expiry, expiring{at: e.expires, entry: e})
}

// forget removes an entry; those waiting for it ask again.
func (c *Core) forget(e *entry) {
	if c.entries[e.key] != e {
		return
	}
	delete(c.entries, e.key)
	c.dropAnswer(e)
	c.replyReleases(e, true)
	for _, call := range e.grants {
		c.refuse(call, e.key, code.ClaimTableUnavailable)
	}
	waiters := e.waiters
	e.grants, e.waiters = nil, nil
	c.waiting -= len(waiters)
	for _, w := range waiters {
		w.request.WaitMs = uint32(max(w.deadline-c.now.Now, 0).Milliseconds())
		c.acquire(w.call, w.request)
	}
}
