package confsync

import (
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// startPhase asks peers what this instance applied before it restarted and
// what they have in force. Nothing is applied before it is over.
type startPhase struct {
	over  bool
	began time.Duration
	// asked holds the addresses asked so far, and awaiting the attempts whose
	// answers are missing.
	asked    map[string]bool
	awaiting map[uint64]bool
	// answers counts the peers that answered and hold a configuration; the
	// others may have lost their memory together with this one.
	answers int

	// confirming is set once the platform's head is being read, and confirmed
	// once it was; confirmBy is until when it is waited for.
	confirming bool
	confirmBy  time.Duration
	confirmed  bool
}

func newStartPhase(now time.Duration) startPhase {
	s := startPhase{}
	s.reset(now)
	return s
}

// reset asks anew; a phase that is over stays so.
func (s *startPhase) reset(now time.Duration) {
	s.began = now
	s.asked = map[string]bool{}
	s.awaiting = map[uint64]bool{}
	s.answers = 0
}

// maxAsked bounds how many peers are asked while the member table fills.
func (cfg *Config) maxAsked() int { return 2 * (cfg.StartPeers + cfg.StartRemotePeers) }

// askStart asks the peers most likely to know this instance that have not been
// asked.
func (c *Core) askStart() {
	peers := ranked(c.peers.own, c.cfg.Instance, c.cfg.StartPeers)
	peers = append(peers, c.peers.rankedRemote(c.cfg.StartRemotePeers)...)
	for _, p := range peers {
		if c.start.asked[p.address] || len(c.start.asked) >= c.cfg.maxAsked() {
			continue
		}
		c.start.asked[p.address] = true
		attempt := c.askFloor(p.address, manifest.ID{})
		c.start.awaiting[attempt] = true
	}
}

// askFloor tells a peer what is about to be applied, or only asks when
// applying is zero.
func (c *Core) askFloor(address string, applying manifest.ID) uint64 {
	attempt := c.nextAttempt()
	c.emit(AskFloor{
		Attempt: attempt,
		Address: address,
		Request: &peerv1.RememberFloorRequest{
			Mesh:        c.cfg.Mesh,
			Instance:    c.cfg.Instance,
			Incarnation: c.cfg.Incarnation,
			Applying:    idToProto(applying),
		},
	})
	return attempt
}

func (c *Core) floorRemembered(ev FloorRemembered) {
	if c.start.awaiting[ev.Attempt] {
		c.startAnswered(ev)
		return
	}
	if c.pending != nil && c.pending.awaiting[ev.Attempt] {
		c.floorAnswered(ev)
	}
}

func (c *Core) startAnswered(ev FloorRemembered) {
	delete(c.start.awaiting, ev.Attempt)
	if ev.Err != nil {
		return
	}
	applied := idFromProto(ev.Response.GetApplied())
	if !applied.IsZero() {
		c.start.answers++
	}
	c.learnFloor(idFromProto(ev.Response.GetFloor()), ev.Address)
	c.offer(c.floor, offerFrom{hops: c.cfg.NoticeHops})
	c.offer(applied, offerFrom{address: ev.Address, inForce: true, hops: c.cfg.NoticeHops})
}

// advanceStart ends the phase when enough peers answered or time is up.
func (c *Core) advanceStart() {
	if c.start.over || !c.startEnds() || !c.confirmStart() {
		return
	}
	c.start.over = true
	c.poll.due = c.now + c.jitter(c.firstPoll())
	c.emit(step.Log{Event: event.ConfigFloorLearnt, Fields: []step.Field{
		step.F("floor", c.floor),
		step.F("newest", c.target.id),
		step.F("answers", c.start.answers),
		step.F("asked", len(c.start.asked)),
	}})
}

// startRead is the attempt of the one read of the head that a start makes; the
// numbers of other attempts begin at 1.
const startRead = 0

// confirmStart reads the platform's head, in a way that cannot be stale, before
// anything is applied: all peers that remember this instance may have lost
// their memory together with it. It reports true once the platform answered,
// or failed to in time.
func (c *Core) confirmStart() bool {
	s := &c.start
	if !s.confirming {
		s.confirming = true
		s.confirmBy = c.now + c.cfg.StartConfirm
		c.emit(ReadHead{Attempt: startRead, Confirm: true})
	}
	return s.confirmed || c.now >= s.confirmBy
}

// headConfirmed takes the head as the floor: what is accepted may have been in
// force here before the restart.
func (c *Core) headConfirmed(ev HeadRead) {
	if c.start.over || c.start.confirmed {
		return
	}
	c.start.confirmed = true
	if ev.Err != nil || ev.ID.Version < c.floor.Version {
		return
	}
	c.learnFloor(ev.ID, "platform")
	c.offer(ev.ID, offerFrom{hops: c.cfg.NoticeHops})
}

func (c *Core) startEnds() bool {
	elapsed := c.now - c.start.began
	if c.start.answers >= c.cfg.StartAnswers || elapsed >= c.cfg.StartWait {
		return true
	}
	if len(c.start.asked) == 0 {
		return elapsed >= c.cfg.StartAlone
	}
	return elapsed >= c.cfg.StartSettle && len(c.start.awaiting) == 0
}

// firstPoll returns the window of the first poll. A daemon that knows no peer
// may be one of many that start at once.
func (c *Core) firstPoll() time.Duration {
	if c.peers.size() == 1 {
		return c.cfg.StartJitter
	}
	return c.pollMean()
}
