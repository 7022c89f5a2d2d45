package quota

import (
	"math"
	"time"
)

const (
	// pullBelow is the level, as a share of the bucket's depth, below which a larger
	// share is pulled if the demand is above pullDemand of the rate.
	pullBelow  = 0.25
	pullDemand = 0.7
	// askHeadroom and keepHeadroom are the shares, as multiples of the demand, up to
	// which a data centre pulls and below which it gives nothing away. Between them,
	// shares do not move back and forth.
	askHeadroom  = 1.4
	keepHeadroom = 1.25
	// maxPullShare bounds what is pulled at once, minPullShare what is worth it.
	maxPullShare = 0.2
	minPullShare = 0.005
	// levelingShare is the part of the difference of two shares that the larger one
	// gives away without regard to its demand.
	levelingShare = 0.25
	// pullInterval is the time between two pulls for a customer. It grows by the
	// factor pullGrowth, up to maxPullInterval, while they yield less than half of
	// what is wanted. It is longer than a share may be on its way.
	pullInterval    = 250 * time.Millisecond
	pullGrowth      = 4
	maxPullInterval = 8 * time.Second
	// unknownInterval is the time between two pulls while the share is not known,
	// and unknownTime the time after which a share is assumed although some data
	// centres do not answer.
	unknownInterval = 300 * time.Millisecond
	unknownTime     = time.Second
)

// pullState is the state of the pulls for one customer.
type pullState struct {
	// running is set from Tick's request for a pull to PullDone.
	running bool
	// next is the earliest time of the next pull; interval is the time between the
	// last two.
	next     time.Duration
	interval time.Duration
	// since is when the first pull for this bucket began; valid while begun is set.
	since time.Duration
	begun bool
	// unaccounted is the part of the movable share that no data centre had when
	// all last answered.
	unaccounted float64
}

// Pull is one attempt to get a larger share of a customer's allowance. The data
// centres are asked one after another.
type Pull struct {
	Customer string
	// need is what is still wanted, given what was obtained.
	need  float64
	given float64
	// asked counts the data centres that were asked.
	asked int
	// sum is the movable share of the data centres that answered, after they gave;
	// unknown counts those that do not know theirs, silent those without an answer.
	sum     float64
	unknown int
	silent  int
}

// wantsPull reports whether a pull is due for the customer.
func (l *Limiter) wantsPull(now time.Duration, c *customer) bool {
	b := c.bucket
	if b == nil || b.pull.running || now < b.pull.next || l.views.dataCentres() == 1 {
		return false
	}
	if c.share.Version == 0 {
		// The answers of the other data centres tell which share is left for this one.
		return true
	}
	busy := b.demand.value(now, demandTime) > pullDemand*b.rate
	return busy && b.level < pullBelow*b.depth && l.need(now, c) >= minPullShare
}

// need returns by how much the share is smaller than the demand asks for.
func (l *Limiter) need(now time.Duration, c *customer) float64 {
	demand := c.bucket.demand.value(now, demandTime) / c.limit.Rate
	return min(min(demand*askHeadroom, 1)-l.share(c), movableShare-c.share.Movable, maxPullShare)
}

// BeginPull starts a pull for a customer that Tick returned. It returns nil if this
// daemon no longer has the bucket.
func (l *Limiter) BeginPull(now time.Duration, name string) *Pull {
	c := l.customers[name]
	if c == nil || c.bucket == nil {
		return nil
	}
	state := &c.bucket.pull
	state.running = true
	if !state.begun {
		state.begun, state.since = true, now
	}
	pull := &Pull{Customer: name}
	if c.share.Version > 0 {
		pull.need = max(l.need(now, c), 0)
	}
	return pull
}

// PullRequest returns the message to the next data centre.
func (l *Limiter) PullRequest(p *Pull) Request {
	r := Request{Customer: p.Customer, Pull: true, Need: p.need}
	if c := l.customers[p.Customer]; c != nil {
		r.Share = c.share
	}
	return r
}

// PullReplied processes the answer of one data centre; ok is false if there was none.
func (l *Limiter) PullReplied(now time.Duration, p *Pull, reply Reply, ok bool) {
	l.advance(now)
	p.asked++
	if !ok || reply.Declined {
		p.silent++
		return
	}
	if reply.Share.Version == 0 {
		p.unknown++
	}
	p.sum += reply.Share.Movable
	c := l.customers[p.Customer]
	if c == nil || c.bucket == nil || reply.Given <= 0 {
		return
	}
	l.changeShare(now, c, reply.Given)
	p.given += reply.Given
	p.need = max(p.need-reply.Given, 0)
}

// Satisfied reports whether no other data centre need be asked.
func (p *Pull) Satisfied() bool { return p.given > 0 && p.need < minPullShare }

// changeShare adds to the data centre's movable share.
func (l *Limiter) changeShare(now time.Duration, c *customer, change float64) {
	c.share = Share{Movable: min(max(c.share.Movable+change, 0), movableShare), Version: c.share.Version + 1}
	l.refreshBuckets(now)
	l.note(Note{Kind: NoteShare, Customer: c.name, Share: l.share(c), Change: change})
}

// PullDone ends a pull.
func (l *Limiter) PullDone(now time.Duration, p *Pull) {
	l.advance(now)
	c := l.customers[p.Customer]
	if c == nil || c.bucket == nil {
		return
	}
	state := &c.bucket.pull
	state.running = false
	if c.share.Version == 0 {
		l.claim(now, c, p)
		state.next = now + unknownInterval
		return
	}
	p.given += l.settle(now, c, p)
	if p.given > p.need || state.unaccounted >= minPullShare {
		// Also what is unaccounted for is there to be had, if the next pull confirms it.
		state.interval = pullInterval
	} else {
		state.interval = min(max(pullGrowth*state.interval, pullInterval), maxPullInterval)
	}
	state.next = now + state.interval
}

// claim sets a share that is not known: at most an equal part, and at most what the
// others leave. Data centres that do not know their share or do not answer are taken
// to have an equal part. The latter are waited for at first.
func (l *Limiter) claim(now time.Duration, c *customer, p *Pull) {
	if p.silent > 0 && now-c.bucket.pull.since < unknownTime {
		return
	}
	equal := movableShare / l.views.dataCentres()
	others := p.sum + float64(p.unknown+p.silent)*equal
	l.changeShare(now, c, min(equal, max(movableShare-others, 0)))
}

// settle corrects the sum of all shares, given the answers of all data centres. What
// none of them has was lost with a message or with all daemons of one. What two pulls
// have found is divided by the number of data centres and added here, since the others
// may do the same. What is beyond the whole is removed here. It returns what was added.
func (l *Limiter) settle(now time.Duration, c *customer, p *Pull) float64 {
	state := &c.bucket.pull
	if p.silent > 0 || p.unknown > 0 || p.asked < len(l.views.present().Remote) {
		state.unaccounted = 0
		return 0
	}
	before := state.unaccounted
	state.unaccounted = movableShare - p.sum - c.share.Movable
	change := min(before, state.unaccounted) / l.views.dataCentres()
	if state.unaccounted < 0 {
		change = state.unaccounted
	}
	if max(change, -change) < minPullShare {
		return 0
	}
	state.unaccounted -= change
	l.changeShare(now, c, change)
	return max(change, 0)
}

// handlePull gives a part of this data centre's share to another one. It gives what
// is beyond its own demand, or a part of the difference if it has the larger share.
func (l *Limiter) handlePull(now time.Duration, c *customer, r Request) (Reply, *Message) {
	if l.ownerOf(c) != l.cfg.Instance {
		if r.Relayed || c.owner == "" {
			return Reply{Declined: true}, nil
		}
		return Reply{}, relay(c.owner, r)
	}
	if c.bucket == nil {
		if l.takeoverFrom(now, c) != "" {
			// The daemon that has the bucket hands it over at the next request of a
			// caller. Until then this one may not know the share.
			if c.share.Version == 0 {
				l.newBucket(now, c, 0)
			}
			return Reply{Share: c.share}, nil
		}
		l.newBucket(now, c, 0)
	}
	if c.share.Version == 0 || r.Need < minPullShare {
		return Reply{Share: c.share}, nil
	}
	spare := min(l.share(c)-l.reserved(now, c), c.share.Movable)
	leveling := (c.share.Movable - r.Share.Movable) * levelingShare
	given := min(max(spare, leveling, 0), r.Need)
	if given < minPullShare {
		return Reply{Share: c.share}, nil
	}
	l.changeShare(now, c, -given)
	return Reply{Share: c.share, Given: given}, nil
}

// reserved returns the share below which a data centre gives nothing away: its demand,
// with room for growth and for the error of the estimate, which is large for small
// customers.
func (l *Limiter) reserved(now time.Duration, c *customer) float64 {
	demand := c.bucket.demand.value(now, demandTime)
	return (demand*keepHeadroom + math.Sqrt(demand/demandTime.Seconds())) / c.limit.Rate
}
