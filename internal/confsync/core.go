package confsync

import (
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// version is a configuration whose body matched its digest and compiled.
type version struct {
	id    manifest.ID
	table *manifest.Table
	body  []byte
	// whole is the compressed body, made when first served.
	whole []byte
}

// Refusal is a version that is not followed, and why.
type Refusal struct {
	ID     manifest.ID
	Code   code.Code
	Detail string
}

// Core is the reducer. It is used by one goroutine.
type Core struct {
	cfg    Config
	now    time.Duration
	random uint64
	effect []step.Effect
	// attempts numbers the requests that await an answer; an answer under
	// another number than the one awaited is ignored.
	attempts uint64

	peers   peerView
	applied *version
	recent  []*version
	floor   manifest.ID
	floors  floorBook
	ids     idLog
	refused refusals
	start   startPhase
	poll    poller
	target  target
	object  objectBudget
	pending *pendingApply
	serve   server
}

// New returns the Core of a process that just started and holds nothing.
func New(cfg Config, m step.Moment) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:     cfg,
		now:     m.Now,
		random:  m.Random,
		floors:  newFloorBook(cfg.MaxFloors),
		ids:     newIDLog(),
		refused: newRefusals(),
		start:   newStartPhase(m.Now),
		serve:   newServer(cfg, m.Now),
	}
	c.peers = newPeerView(cfg)
	return c
}

// Step takes one event and returns the work it asks for.
func (c *Core) Step(m step.Moment, ev step.Event) []step.Effect {
	c.now = m.Now
	c.random = m.Random
	c.effect = nil
	c.handle(ev)
	c.advance()
	return c.effect
}

func (c *Core) handle(ev step.Event) {
	switch ev := ev.(type) {
	case MembersChanged:
		c.membersChanged(ev)
	case HeadRead:
		c.headRead(ev)
	case NoticeReceived:
		c.noticeReceived(ev)
	case PeerApplied:
		c.peerApplied(ev)
	case PeerFetched:
		c.peerFetched(ev)
	case ObjectFetched:
		c.objectFetched(ev)
	case FloorRemembered:
		c.floorRemembered(ev)
	case FetchRequested:
		c.fetchRequested(ev)
	case FloorRequested:
		c.floorRequested(ev)
	case step.Paused:
		c.paused()
	}
}

// advance does what has come due; every event may find something.
func (c *Core) advance() {
	c.advanceStart()
	if !c.start.over {
		return
	}
	c.advancePoll()
	c.advanceFetch()
	c.advancePending()
}

// paused treats everything in flight as lapsed and asks anew what is current.
func (c *Core) paused() {
	c.poll.inFlight = 0
	c.poll.due = c.now
	if !c.peers.polls() {
		c.poll.due = c.now + c.jitter(c.cfg.StartJitter)
	}
	c.target.inFlight = 0
	c.target.due = c.now
	c.start.reset(c.now)
	c.askStart()
	if c.pending != nil {
		c.restartRounds()
	}
}

// Applied returns the version in force, or the zero ID.
func (c *Core) Applied() manifest.ID {
	if c.applied == nil {
		return manifest.ID{}
	}
	return c.applied.id
}

// Table returns the compiled version in force, or nil.
func (c *Core) Table() *manifest.Table {
	if c.applied == nil {
		return nil
	}
	return c.applied.table
}

// Body returns the body in force, which must not be changed, or nil.
func (c *Core) Body() []byte {
	if c.applied == nil {
		return nil
	}
	return c.applied.body
}

// Ready reports whether a version at or above the floor is in force.
func (c *Core) Ready() bool {
	return c.applied != nil && c.applied.id.Version >= c.floor.Version
}

// Floor returns the highest version this instance is known to have applied,
// also before it restarted.
func (c *Core) Floor() manifest.ID { return c.floor }

// Polling reports whether this daemon polls the platform for its data centre.
func (c *Core) Polling() bool { return c.peers.polls() }

// PlatformReachable reports whether the last poll was answered; it is true
// before the first one.
func (c *Core) PlatformReachable() bool { return c.poll.failures == 0 }

// Refused returns the newest version that was refused and has not been
// overcome by a greater one, if any.
func (c *Core) Refused() (Refusal, bool) { return c.refused.current() }

func (c *Core) emit(e step.Effect) { c.effect = append(c.effect, e) }

func (c *Core) nextAttempt() uint64 {
	c.attempts++
	return c.attempts
}
