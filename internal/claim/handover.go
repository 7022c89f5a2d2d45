package claim

import (
	"maps"
	"slices"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// handOver is one message of claims that has not been answered.
type handOver struct {
	to   Member
	sent time.Duration
	// replica is set when the receiver is asked to know the claims as backup.
	replica bool
	entries []*entry
	// rest are the messages that follow this one.
	rest []*peerv1.HandOverClaimsRequest
}

func (c *Core) message(entries []*entry, replica bool) *peerv1.HandOverClaimsRequest {
	req := &peerv1.HandOverClaimsRequest{
		Mesh:        c.cfg.Mesh,
		From:        c.views.self,
		Incarnation: c.views.incarnation,
		TenureMs:    uint64(max(c.now.Now-c.tenureStart(), 0).Milliseconds()),
		Replica:     replica,
		Leaving:     c.leaving,
	}
	for _, e := range entries {
		req.Claims = append(req.Claims, e.held())
	}
	return req
}

func (c *Core) sendHandOver(h *handOver, req *peerv1.HandOverClaimsRequest) {
	id := c.id()
	req.ToIncarnation = h.to.Incarnation
	h.sent = c.now.Now
	c.handOvers[id] = h
	c.emit(HandOver{ID: id, To: h.to, Request: req})
}

// handed is how far a member has been told what concerns it.
type handed struct {
	done bool
	// retry is when to try again after a failure.
	retry time.Duration
}

// handOver tells each joiner what it now holds or backs up, once this daemon
// knows all of that itself; and in a planned stop, each member what falls to
// it.
func (c *Core) handOver() {
	if len(c.views.views) == 0 || !c.leaving && !c.whole() {
		return
	}
	for _, m := range c.views.current().members {
		state := c.handed[m.id()]
		if m.Instance == c.views.self || state.done || c.now.Now < state.retry || c.handingOverTo(m) {
			continue
		}
		if len(c.handOvers) >= c.cfg.MaxHandOversInFlight {
			return
		}
		c.handAllTo(m)
	}
}

func (c *Core) handingOverTo(to Member) bool {
	for _, h := range c.handOvers {
		if !h.replica && h.to.id() == to.id() {
			return true
		}
	}
	return false
}

// handAllTo sends a member all claims that concern it, in as many messages as
// it takes; the last one is marked complete.
func (c *Core) handAllTo(to Member) {
	entries := c.concerning(to.Instance)
	var messages []*peerv1.HandOverClaimsRequest
	for n := c.part(entries); n < len(entries); n = c.part(entries) {
		messages = append(messages, c.message(entries[:n], false))
		entries = entries[n:]
	}
	last := c.message(entries, false)
	last.Complete = c.whole()
	last.Live = c.views.current().instances
	messages = append(messages, last)
	c.sendHandOver(&handOver{to: to, rest: messages[1:]}, messages[0])
}

// part is how many of the entries fit into one message.
func (c *Core) part(entries []*entry) int {
	bytes := 0
	for n, e := range entries {
		bytes += claimSize
		if e.answer != nil {
			bytes += answerSize(e.answer)
		}
		if n > 0 && (n >= c.cfg.MaxHandOver || bytes > c.cfg.MaxHandOverBytes) {
			return n
		}
	}
	return len(entries)
}

// claimSize is about what a claim without an answer takes in a message, in
// bytes.
const claimSize = 256

// concerning returns the claims that a member must know: those whose holder it
// is now, and those not in the table whose backup it is.
func (c *Core) concerning(instance string) []*entry {
	current := c.views.current()
	if c.leaving {
		current = current.without(c.views.self)
	}
	var entries []*entry
	for _, e := range c.entries {
		if e.state != claimed && e.state != done {
			continue
		}
		holder, backup := current.ranks(e.key, c.cfg.DataCentre)
		if holder == instance || backup == instance && e.unwritten() {
			entries = append(entries, e)
		}
	}
	sortEntries(entries)
	return entries
}

// handedOver takes the answer to a hand-over.
func (c *Core) handedOver(ev HandedOver) {
	h := c.handOvers[ev.ID]
	if h == nil {
		return
	}
	if ev.Err != nil || ev.Response.GetRefused() {
		c.handOverFailed(ev.ID)
		return
	}
	delete(c.handOvers, ev.ID)
	switch {
	case h.replica:
		c.replicated(h)
	case len(h.rest) > 0:
		c.sendHandOver(&handOver{to: h.to, rest: h.rest[1:]}, h.rest[0])
	default:
		c.handed[h.to.id()] = handed{done: true}
		c.info(event.ClaimsHandedOff, step.F("to", h.to.Instance), step.F("leaving", c.leaving))
	}
}

// handOverFailed refuses the claims whose backup could not be told. Those
// granted before, and other hand-overs, are sent again later.
func (c *Core) handOverFailed(id uint64) {
	h := c.handOvers[id]
	delete(c.handOvers, id)
	if !h.replica {
		c.handed[h.to.id()] = handed{retry: c.now.Now + c.cfg.HandOverTimeout}
		return
	}
	for _, e := range h.entries {
		switch {
		case c.entries[e.key] != e:
			// Forgotten meanwhile.
		case e.state == replicating:
			c.abandon(e, code.ClaimTableUnavailable)
		case e.unwritten():
			c.unreplicated = append(c.unreplicated, e)
		}
	}
}

// handOverIDs returns the ids of the unanswered messages in order.
func (c *Core) handOverIDs() []uint64 {
	return slices.Sorted(maps.Keys(c.handOvers))
}

func (c *Core) expireHandOvers() {
	for _, id := range c.handOverIDs() {
		if c.now.Now >= c.handOvers[id].sent+c.cfg.HandOverTimeout {
			c.handOverFailed(id)
		}
	}
}

// handOverRequested takes claims from another holder.
func (c *Core) handOverRequested(call step.CallID, req *peerv1.HandOverClaimsRequest) {
	if !c.acceptsFrom(req) {
		c.reply(call, &peerv1.HandOverClaimsResponse{Refused: true})
		return
	}
	accepted := uint32(0)
	settled := true
	for _, held := range req.GetClaims() {
		taken, known := c.takeOver(held)
		if taken {
			accepted++
		}
		settled = settled && known
	}
	if !settled {
		c.reply(call, &peerv1.HandOverClaimsResponse{Accepted: accepted, Refused: true})
		return
	}
	if req.GetComplete() {
		tenure := time.Duration(req.GetTenureMs()) * time.Millisecond
		c.views.vouches[req.GetFrom()] = vouch{
			at:      c.now.Now,
			tenure:  c.now.Now - tenure,
			leaving: req.GetLeaving(),
			live:    req.GetLive(),
		}
	}
	c.reply(call, &peerv1.HandOverClaimsResponse{Accepted: accepted})
}

// acceptsFrom checks sender and claims before anything is taken. A replica is
// refused whole when this daemon does not see itself as the backup of the
// sender, doubts the sender, or knows the key under another attempt.
func (c *Core) acceptsFrom(req *peerv1.HandOverClaimsRequest) bool {
	if req.GetMesh() != c.cfg.Mesh || c.leaving || req.GetToIncarnation() != c.views.incarnation {
		return false
	}
	for _, held := range req.GetClaims() {
		if !validHeld(held) {
			return false
		}
	}
	if !req.GetReplica() {
		return true
	}
	sender, known := c.views.current().member(req.GetFrom())
	if !known || sender.Suspect || sender.Incarnation != req.GetIncarnation() {
		return false
	}
	for _, held := range req.GetClaims() {
		if !c.backs(req.GetFrom(), held) {
			return false
		}
	}
	return true
}

func validHeld(held *peerv1.HeldClaim) bool {
	_, keyOK := HashFrom(held.GetKey())
	_, fingerprintOK := HashFrom(held.GetFingerprint())
	return keyOK && fingerprintOK && validID(held.GetAttempt())
}

// takeOver remembers one claim of another holder. What this daemon decided
// itself stands. taken tells whether the claim is remembered now; known is false
// only when there was no room, so that this daemon could not bar its key.
func (c *Core) takeOver(held *peerv1.HeldClaim) (taken, known bool) {
	key, _ := HashFrom(held.GetKey())
	e := c.entries[key]
	if e != nil && !e.replica {
		c.mergeHeld(e, held)
		return e.attempt == held.GetAttempt() && e.state != releasing, true
	}
	if _, released := c.released[held.GetAttempt()]; released {
		return false, true
	}
	if e == nil && len(c.entries) >= c.cfg.MaxClaims {
		return false, false
	}
	if e == nil {
		e = &entry{key: key}
		c.entries[key] = e
	}
	c.extend(e)
	c.dropAnswer(e)
	e.state = claimed
	e.fingerprint, _ = HashFrom(held.GetFingerprint())
	e.attempt, e.executor, e.claimedAt = held.GetAttempt(), held.GetExecutor(), held.GetClaimedAt()
	e.written, e.revision = held.GetWritten(), held.GetRevision()
	e.foreign = true
	// The sender may have a write under way.
	e.maybeWritten = true
	e.replica = !c.views.holds(key, c.cfg.DataCentre)
	if held.GetDone() {
		e.state = done
		c.keepAnswer(e, held.GetAnswer())
	}
	if !e.replica && !e.written {
		c.listInsert(e)
	}
	return true, true
}

// mergeHeld adds what another holder knows about the same attempt.
func (c *Core) mergeHeld(e *entry, held *peerv1.HeldClaim) {
	if e.attempt != held.GetAttempt() || e.state != claimed || !held.GetDone() {
		return
	}
	e.state = done
	c.keepAnswer(e, held.GetAnswer())
}

// leave begins a planned stop: waiting claims are refused, and all that is
// held goes to the others.
func (c *Core) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	for _, e := range c.sortedEntries() {
		if e.state == queued || e.state == replicating {
			c.abandon(e, code.ClaimHolderNoTenure)
		}
	}
	for _, id := range c.handOverIDs() {
		if !c.handOvers[id].replica {
			// It tells what concerns a joiner, not what falls to a successor.
			delete(c.handOvers, id)
		}
	}
	clear(c.handed)
}

// Drained reports whether a planned stop has nothing left to hand over or to
// write. Without another daemon in the data centre only the table can take
// over.
func (c *Core) Drained() bool {
	if !c.leaving || c.flight != nil {
		return false
	}
	others := false
	for _, m := range c.views.current().members {
		if m.Instance == c.views.self {
			continue
		}
		others = true
		if !c.handed[m.id()].done {
			return false
		}
	}
	return others || len(c.inserts) == 0 && len(c.deletes) == 0
}
