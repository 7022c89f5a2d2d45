package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// client is the state of a customer at a daemon that asks the owner for tokens.
type client struct {
	// held is the number of tokens in hand, usable until heldUntil.
	held      int
	heldUntil time.Duration
	// refusedUntil is until when requests are refused without asking.
	refusedUntil time.Duration
	// unavailableUntil is until when the owner is not asked, because it did not
	// answer, and noRelayUntil until when no other daemon is asked to pass messages
	// on to it.
	unavailableUntil time.Duration
	noRelayUntil     time.Duration
	// asking is set while a message to the owner is unanswered; awaiting counts the
	// requests that wait for its answer, and backlog those that waited for the one
	// before.
	asking   bool
	awaiting int
	backlog  int
	// arrived, returned and used are reported with the next message.
	arrived  int
	returned int
	used     int
	// returnedAt is when returned last changed.
	returnedAt time.Duration
	arrivals   estimate
	// ownLevel is the level, as of ownAt, of the tokens that this daemon may use
	// without the owner; ownAt is 0 before the first use.
	ownLevel float64
	ownAt    time.Duration
}

// Take decides on one request of a customer. It is called again for the same request,
// with again set, after Ask and Await.
func (l *Limiter) Take(now time.Duration, name string, again bool) Decision {
	l.advance(now)
	c := l.customer(now, name)
	if c == nil {
		return Decision{Action: Admit}
	}
	if !again {
		c.arrived++
		c.arrivals.add(now, 1, arrivalTime)
	}
	c.expire(now)
	if c.held > 0 {
		c.held--
		return admit(c, now, false)
	}
	if c.refusedUntil > now {
		return Decision{Action: Refuse, Wait: c.refusedUntil - now}
	}
	if !l.views.known() {
		return Decision{Action: Refuse, Wait: minRefusal, NoOwner: true}
	}
	switch l.ownerOf(c) {
	case "":
		return Decision{Action: Refuse, Wait: minRefusal, NoOwner: true}
	case l.cfg.Instance:
		return l.takeAsOwner(now, c)
	}
	return l.askOwner(now, c, Message{To: c.owner})
}

// takeAsOwner decides on a request at the daemon that owns the bucket.
func (l *Limiter) takeAsOwner(now time.Duration, c *customer) Decision {
	if c.bucket == nil {
		if to := l.keeperOf(now, c); to != "" {
			return l.askOwner(now, c, Message{To: to, Request: Request{Relayed: true}})
		}
		if to := l.takeoverFrom(now, c); to != "" {
			return l.askOwner(now, c, Message{To: to, Request: Request{Takeover: true}})
		}
		l.newBucket(now, c, 0)
	}
	reply := l.grant(now, c, c.report(now, Request{Tokens: 1}))
	if reply.Tokens > 0 {
		return admit(c, now, false)
	}
	return Decision{Action: Refuse, Wait: reply.Wait}
}

func admit(c *customer, now time.Duration, own bool) Decision {
	return Decision{Action: Admit, Token: Token{Customer: c.name, taken: now, own: own}, own: own}
}

// askOwner returns the decision to ask for tokens, or to wait for the answer to
// another request's message. While the owner does not answer, another daemon is asked
// to pass the message on. If that does not help either, the decision is takeOwn's.
func (l *Limiter) askOwner(now time.Duration, c *customer, message Message) Decision {
	if c.unavailableUntil > now {
		message.To = l.views.nextTo(c.name, message.To)
		if c.noRelayUntil > now || message.To == "" || message.Relayed || message.Takeover {
			return l.takeOwn(now, c)
		}
	}
	if c.asking {
		c.awaiting++
		return Decision{Action: Await}
	}
	c.asking = true
	ahead := prefetchShare * c.arrivals.value(now, arrivalTime) * holdTime.Seconds()
	message.Customer = c.name
	message.Tokens = 1 + c.backlog + int(ahead)
	message.Share = c.share
	c.backlog = 0
	message.Request = c.report(now, message.Request)
	return Decision{Action: Ask, Message: message}
}

// report moves what is to be reported into a request to the owner.
func (c *customer) report(now time.Duration, r Request) Request {
	if now-c.returnedAt > returnTime {
		c.returned = 0
	}
	r.Arrived, r.Returned, r.Used = c.arrived, c.returned, c.used
	c.arrived, c.returned, c.used = 0, 0, 0
	return r
}

// expire takes tokens out of use that were held for too long.
func (c *customer) expire(now time.Duration) {
	if c.held == 0 || now < c.heldUntil {
		return
	}
	if now-c.heldUntil < returnTime-holdTime {
		c.returned, c.returnedAt = c.returned+c.held, now
	}
	c.held = 0
}

// Replied processes the outcome of a message that Take returned. Ok is false if there
// was no answer within the time limit. All requests with Await are then decided again.
func (l *Limiter) Replied(now time.Duration, sent Message, reply Reply, ok bool) {
	l.advance(now)
	c := l.customers[sent.Customer]
	if c == nil {
		return
	}
	c.asking = false
	c.backlog, c.awaiting = c.awaiting, 0
	if sent.Takeover {
		l.tookOver(now, c, sent, reply, ok)
	}
	if sent.Takeover && !reply.Kept {
		// What was reported is for the bucket, which this daemon has now.
		c.arrived, c.returned, c.used = c.arrived+sent.Arrived, c.returned+sent.Returned, c.used+sent.Used
		return
	}
	if !ok {
		// The message may not have arrived; requests that ran must not be forgotten.
		c.used += sent.Used
	}
	if !ok || reply.Declined {
		if now < c.unavailableUntil {
			c.noRelayUntil = now + retryRelay
		} else {
			c.unavailableUntil = now + retryOwner
		}
		c.keeper = ""
		l.note(Note{Kind: NoteUnavailable, Customer: c.name, Owner: sent.To})
		return
	}
	l.learnShare(c, reply.Share)
	if reply.Tokens > 0 {
		c.held += reply.Tokens
		c.heldUntil = now + holdTime
	}
	if reply.Wait > 0 {
		c.refusedUntil = now + reply.Wait
	}
}

// TakeOwn decides on a request whose owner has not answered in time: it may run if
// this daemon's own small share has a token left. Otherwise the caller may go on
// waiting for the owner.
func (l *Limiter) TakeOwn(now time.Duration, name string) Decision {
	l.advance(now)
	c := l.customer(now, name)
	if c == nil {
		return Decision{Action: Admit}
	}
	return l.takeOwn(now, c)
}

// takeOwn uses the daemon's own share, which is the rate divided by the number of
// daemons. It starts at a fraction of one token that differs between daemons, so that
// the first tokens of all daemons come one after another, at the rate. Until this daemon
// has read the members it has none: it may not know how many daemons share the rate.
func (l *Limiter) takeOwn(now time.Duration, c *customer) Decision {
	if l.views.present().MembersUnread {
		return Decision{Action: Refuse, Wait: minRefusal, own: true}
	}
	rate := c.limit.Rate / float64(max(l.views.present().Daemons, len(l.views.present().Members)+1))
	if c.ownAt == 0 || now-c.ownAt > settleTime {
		c.ownLevel = fraction(xxhash.Sum64String(l.cfg.Instance + "\x00" + c.name))
	} else {
		c.ownLevel = min(c.ownLevel+rate*(now-c.ownAt).Seconds(), max(1, rate))
	}
	c.ownAt = now
	if c.ownLevel < 1 {
		wait := time.Duration((1 - c.ownLevel) / rate * float64(time.Second))
		return Decision{Action: Refuse, Wait: min(wait, maxRefusal), own: true}
	}
	c.ownLevel--
	c.used++
	return admit(c, now, true)
}

// fraction maps a hash to [0,1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// Return gives back the token of a request that has not run and will not.
func (l *Limiter) Return(now time.Duration, token Token) {
	l.advance(now)
	c := l.customers[token.Customer]
	if c == nil || now-token.taken > returnTime {
		return
	}
	switch {
	case token.own:
		c.used = max(c.used-1, 0)
	case c.bucket != nil:
		c.bucket.put(1)
	default:
		c.returned, c.returnedAt = c.returned+1, now
	}
}
