package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Handle processes a message of another daemon. If forward is not nil, that message
// is to be sent first; its outcome is passed to Forwarded, which returns the reply.
func (l *Limiter) Handle(now time.Duration, from string, r Request) (reply Reply, forward *Message) {
	l.advance(now)
	c := l.customer(now, r.Customer)
	if c == nil || !l.views.known() {
		// The configurations of the two daemons differ for a moment.
		return Reply{Declined: true}, nil
	}
	if r.Pull {
		return l.handlePull(now, c, r)
	}
	l.learnShare(c, r.Share)
	if r.Takeover {
		return l.handOver(now, c, from, r), nil
	}
	if l.ownerOf(c) != l.cfg.Instance {
		switch {
		case c.bucket != nil:
			// The new owner has not asked for it yet.
			return l.grant(now, c, r), nil
		case r.Relayed || c.owner == "":
			return Reply{Declined: true}, nil
		}
		return Reply{}, relay(c.owner, r)
	}
	if c.bucket == nil {
		if to := l.keeperOf(now, c); to != "" && !r.Relayed {
			return Reply{}, relay(to, r)
		}
		if to := l.takeoverFrom(now, c); to != "" {
			r.Takeover = true
			return Reply{}, &Message{To: to, Request: r}
		}
		l.newBucket(now, c, 0)
	}
	return l.grant(now, c, r), nil
}

func relay(to string, r Request) *Message {
	r.Relayed = true
	return &Message{To: to, Request: r}
}

// Forwarded returns the reply to a message for which Handle returned forward.
func (l *Limiter) Forwarded(now time.Duration, sent Message, reply Reply, ok bool) Reply {
	l.advance(now)
	c := l.customer(now, sent.Customer)
	if c == nil {
		return Reply{Declined: true}
	}
	if sent.Takeover {
		l.tookOver(now, c, sent, reply, ok)
		if reply.Kept {
			return reply
		}
		r := sent.Request
		r.Takeover = false
		return l.grant(now, c, r)
	}
	if !ok {
		return Reply{Declined: true}
	}
	if !sent.Pull {
		l.learnShare(c, reply.Share)
	}
	return reply
}

// takeoverFrom returns the daemon to ask for the bucket before this daemon acts as
// its owner, or "" if it has owned it for so long that no other can hold it.
func (l *Limiter) takeoverFrom(now time.Duration, c *customer) string {
	if now-l.views.ownedSince(c.name) >= settleTime {
		return ""
	}
	return l.views.previous(c.name)
}

// keeperOf returns the daemon that still keeps the bucket, or "".
func (l *Limiter) keeperOf(now time.Duration, c *customer) string {
	if c.keeper != "" && now < c.keptUntil && l.views.reaches(c.keeper) {
		return c.keeper
	}
	return ""
}

// tookOver processes the outcome of a Takeover. If the other daemon has not kept the
// bucket, this one has it from then on.
func (l *Limiter) tookOver(now time.Duration, c *customer, sent Message, reply Reply, ok bool) {
	if !ok {
		reply = Reply{}
	}
	l.learnShare(c, reply.Share)
	switch {
	case reply.Kept:
		c.keeper, c.keptUntil = sent.To, now+keptTime
	case c.bucket == nil:
		l.newBucket(now, c, reply.Tokens)
	default:
		c.bucket.put(float64(reply.Tokens))
	}
}

// handOver answers a Takeover. The bucket is kept, and tokens are granted from it,
// while this daemon does not take the sender for the new owner, because it does not reach
// it or has not heard that it has read the members: others in the same position still ask
// here.
func (l *Limiter) handOver(now time.Duration, c *customer, to string, r Request) Reply {
	if c.bucket == nil {
		return Reply{Share: c.share}
	}
	if !l.views.maySucceed(to) {
		reply := l.grant(now, c, r)
		reply.Kept = true
		return reply
	}
	c.bucket.refill(now)
	tokens := int(max(c.bucket.level, 0))
	c.bucket = nil
	return Reply{Tokens: tokens, Share: c.share}
}

// grant answers a request for tokens from this daemon's bucket.
func (l *Limiter) grant(now time.Duration, c *customer, r Request) Reply {
	b := c.bucket
	b.refill(now)
	b.demand.add(now, r.Arrived, demandTime)
	b.put(float64(r.Returned))
	b.charge(float64(r.Used))
	reply := Reply{Tokens: b.take(now, r.Tokens), Share: c.share}
	if reply.Tokens < r.Tokens {
		b.refusals++
		reply.Wait = max(b.wait(), jitter(c.name, l.cfg.Instance, b.refusals))
	}
	return reply
}

// jitter returns the least time for which a refusal holds, 0.5 to 1.5 of minRefusal.
// If it were constant, daemons that ask right after another one would always find the
// bucket empty.
func jitter(name, instance string, n uint64) time.Duration {
	var digest xxhash.Digest
	digest.ResetWithSeed(n)
	_, _ = digest.WriteString(name + "\x00" + instance)
	return time.Duration((0.5 + fraction(digest.Sum64())) * float64(minRefusal))
}
