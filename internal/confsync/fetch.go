package confsync

import (
	"errors"
	"fmt"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// objectBudget spaces the last-resort reads of bodies from the platform.
type objectBudget struct {
	next time.Duration
}

// advanceFetch keeps at most one fetch of the target under way.
func (c *Core) advanceFetch() {
	t := &c.target
	if t.id.IsZero() {
		return
	}
	if t.id.Version <= c.Applied().Version {
		t.drop()
		return
	}
	if t.inFlight != 0 {
		if c.now >= t.deadline {
			c.fetchFailed(errTimeout)
		}
		return
	}
	if c.now < t.due {
		return
	}
	c.fetch()
}

func (c *Core) fetch() {
	if c.prefersPlatform() {
		c.fetchObject()
		return
	}
	if address := c.nextSource(); address != "" {
		c.fetchFromPeer(address)
		return
	}
	if c.mayReadObject() {
		c.fetchObject()
		return
	}
	if address := c.anyPeer(); address != "" {
		c.fetchFromPeer(address)
		return
	}
	c.fetchObject()
}

// prefersPlatform reports whether the body is read from the platform first:
// when this daemon found it there, or when the alternative is a link between
// data centres. After a failure peers have their turn.
func (c *Core) prefersPlatform() bool {
	t := &c.target
	if !c.PlatformReachable() || t.failures%2 == 1 {
		return false
	}
	return t.platform || c.peers.polls() && !t.hasLocal()
}

func (t *target) hasLocal() bool {
	for _, s := range t.sources {
		if !s.remote && !s.failed {
			return true
		}
	}
	return false
}

// nextSource returns a holder to ask, one of the own data centre if possible.
func (c *Core) nextSource() string {
	var local, remote []peer
	for _, s := range c.target.sources {
		switch {
		case s.failed || c.now < s.notBefore:
		case s.remote:
			remote = append(remote, peer{address: s.address})
		default:
			local = append(local, peer{address: s.address})
		}
	}
	return firstAddress(c.pick(local, 1), c.pick(remote, 1))
}

// anyPeer returns a random peer that may hold the version, or a newer one than
// is in force.
func (c *Core) anyPeer() string {
	if own := append([]peer(nil), c.peers.own...); len(own) > 0 {
		return firstAddress(c.pick(own, 1))
	}
	return firstAddress(c.pick(c.peers.remotePeers(), 1))
}

func firstAddress(lists ...[]peer) string {
	for _, list := range lists {
		if len(list) > 0 {
			return list[0].address
		}
	}
	return ""
}

// mayReadObject reports whether peers have failed often enough and the budget
// allows a read from the platform.
func (c *Core) mayReadObject() bool {
	if c.target.failures < c.cfg.PeerFetches || c.now < c.object.next {
		return false
	}
	if !c.peers.polls() {
		c.object.next = c.now + c.around(c.cfg.ObjectInterval*time.Duration(c.peers.size()))
	}
	return true
}

func (c *Core) begin(from string) uint64 {
	t := &c.target
	t.inFlight = c.nextAttempt()
	t.from = from
	t.deadline = c.now + c.fetchTimeout()
	return t.inFlight
}

// fetchTimeout grows with failures, so that a body that is slow to carry
// arrives in the end.
func (c *Core) fetchTimeout() time.Duration {
	const longest = 4
	return c.cfg.FetchTimeout * time.Duration(min(1+c.target.failures, longest))
}

func (c *Core) fetchObject() {
	attempt := c.begin("")
	c.emit(FetchObject{Attempt: attempt, ID: c.target.id})
}

func (c *Core) fetchFromPeer(address string) {
	attempt := c.begin(address)
	c.emit(FetchFromPeer{Attempt: attempt, Address: address, Request: &peerv1.FetchConfigRequest{
		Mesh: c.cfg.Mesh,
		From: c.cfg.Instance,
		Have: idToProto(c.Applied()),
	}})
}

func (c *Core) fetchFailed(err error) {
	t := &c.target
	c.emit(step.Log{Event: event.ConfigFetchFailed, Warn: true, Fields: []step.Field{
		step.F("version", t.id),
		step.F("from", describe(offerFrom{address: t.from, platform: t.from == ""})),
		step.F("failures", t.failures+1),
		step.F("error", err),
	}})
	t.inFlight = 0
	t.failures++
	for i := range t.sources {
		if t.sources[i].address == t.from {
			t.sources[i].failed = true
		}
	}
	if t.failures >= c.cfg.FetchFailures {
		t.drop()
		return
	}
	const firstShare = 16
	t.due = c.now + c.jitter(backoff(c.cfg.FetchBackoff/firstShare, c.cfg.FetchBackoff, t.failures))
}

func (c *Core) objectFetched(ev ObjectFetched) {
	if !c.target.awaits(ev.Attempt) {
		return
	}
	if ev.Err != nil {
		c.raiseDigestError(ev.ID, ev.Err)
		c.fetchFailed(ev.Err)
		return
	}
	c.received(ev.ID, ev.Body)
}

// raiseDigestError refuses a version whose body the platform holds damaged.
func (c *Core) raiseDigestError(id manifest.ID, err error) {
	var coded interface{ Code() code.Code }
	if errors.As(err, &coded) && coded.Code() == code.ApplyDigestMismatch {
		c.refuse(event.ConfigRefused, Refusal{ID: id, Code: coded.Code(), Detail: err.Error()})
	}
}

func (c *Core) peerFetched(ev PeerFetched) {
	if !c.target.awaits(ev.Attempt) {
		return
	}
	if ev.Err != nil {
		c.fetchFailed(ev.Err)
		return
	}
	c.learnFloor(idFromProto(ev.Response.GetFloor()), ev.Address)
	if pause := ev.Response.GetRetryAfterMs(); pause > 0 {
		c.postpone(ev.Address, time.Duration(pause)*time.Millisecond)
		return
	}
	id := idFromProto(ev.Response.GetId())
	if !c.admissible(id) || len(ev.Response.GetBody()) == 0 {
		c.fetchFailed(fmt.Errorf("peer offers %s, nothing newer", id))
		return
	}
	body, err := c.expand(ev.Response)
	if err != nil {
		c.fetchFailed(err)
		return
	}
	c.received(id, body)
}

// expand turns a response into the whole body; its digest is not yet checked.
func (c *Core) expand(resp *peerv1.FetchConfigResponse) ([]byte, error) {
	base := idFromProto(resp.GetBase())
	if base.IsZero() {
		return c.cfg.ApplyDelta(nil, resp.GetBody())
	}
	held := c.held(base)
	if held == nil {
		return nil, fmt.Errorf("delta from %s, which is not held", base)
	}
	return c.cfg.ApplyDelta(held.body, resp.GetBody())
}

// maxPause bounds what a peer may ask to wait.
const maxPause = 5 * time.Second

// postpone takes the next source, or waits when there is none.
func (c *Core) postpone(address string, pause time.Duration) {
	pause = min(pause, maxPause)
	t := &c.target
	t.inFlight = 0
	for i := range t.sources {
		if t.sources[i].address == address {
			t.sources[i].notBefore = c.now + pause + c.jitter(pause)
		}
	}
	t.due = c.now
	if c.nextSource() == "" {
		t.due = c.now + c.jitter(2*pause)
	}
}
