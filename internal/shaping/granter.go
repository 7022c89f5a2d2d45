package shaping

import (
	"math"
	"slices"
	"time"
)

const (
	// PartBytes is the size of a part, and that from which a frame is sent in parts. The
	// slowest network links in use transmit a part in a few milliseconds.
	PartBytes = 8 << 10
	// maxOutstandingBytes is the largest number of granted bytes of one frame that have
	// not arrived. A sender that is slower than this link reserves no more of it.
	maxOutstandingBytes = 4 * PartBytes
	// releaseAfter is the time without an arrival after which the granted parts of a
	// frame reserve no capacity any more.
	releaseAfter = time.Second
	// inboundBurstTime is shorter than burstTime: what several senders were granted may
	// arrive together, and small frames must not wait for longer than 30 ms behind it.
	inboundBurstTime = 8 * time.Millisecond
	// unpacedWindow is the time constant of the mean rate of what arrives without a
	// grant, and minPacedShare the smallest share of the link's rate that is expected to
	// be left for what is granted.
	unpacedWindow = time.Second
	minPacedShare = 0.2
)

// Kind is the kind of a large frame.
type Kind uint8

// Kinds of large frames.
const (
	// ConfigurationFrame is late for all requests if it is late.
	ConfigurationFrame Kind = iota
	// ReplyFrame is any other frame that is never refused.
	ReplyFrame
	// RequestFrame is refused if it cannot arrive in time.
	RequestFrame
)

// Announcement describes a large frame that a peer is about to send.
type Announcement struct {
	Kind Kind
	// Bytes is the size of the frame.
	Bytes int
	// GoalLeft and DeadlineLeft are the times left to a request's goal, 0 or less once
	// that is past, and to its deadline.
	GoalLeft, DeadlineLeft time.Duration
}

// timeLeft returns the time in which a request has to arrive.
func (a *Announcement) timeLeft() time.Duration {
	if a.GoalLeft > 0 {
		return a.GoalLeft
	}
	return a.DeadlineLeft
}

// Transfer is an announced frame of which not all has arrived.
type Transfer struct {
	kind Kind
	// goal is when a request is past its goal.
	goal time.Duration
	// large is set for a frame of more than one part.
	large bool
	// ungranted is the number of bytes that are not granted, outstanding that of those
	// that are granted and have not arrived.
	ungranted, outstanding int
	// released is the part of outstanding that reserves no capacity.
	released int
	// progress is when bytes last arrived, or were granted while none were outstanding.
	progress time.Duration
	// grant is called with the bytes that are granted; only Inbound uses it.
	grant func(bytes int)
}

// rank returns the priority of the frame: lower goes first. A frame of one part delays
// large ones little and would wait long behind them.
func (t *Transfer) rank(now time.Duration) int {
	rank := 0
	switch {
	case t.kind == ConfigurationFrame:
		return 0
	case t.kind == ReplyFrame || now < t.goal:
		rank = 1
	default:
		rank = 3
	}
	if t.large {
		rank++
	}
	return rank
}

// stalled reports whether granted parts have not arrived in time.
func (t *Transfer) stalled() bool { return t.released > 0 }

// reserved returns the bytes that are expected to arrive.
func (t *Transfer) reserved() int { return t.outstanding - t.released }

// Grant is a permission to send more bytes of a frame.
type Grant struct {
	Transfer *Transfer
	Bytes    int
}

// Granter decides when peers send the parts of large frames to this machine, so that
// these do not exceed the rate of its network link together with what arrives unasked.
// It is not safe for concurrent use. Times are on one monotonic clock.
type Granter struct {
	bucket
	// lastGrant is when a part was last granted, or Grant found none waiting.
	lastGrant time.Duration
	// transfers are in the order of their announcements.
	transfers []*Transfer
	// unpaced is the number of bytes that have arrived without a grant, each weighted by
	// its age with unpacedWindow, as of unpacedAt.
	unpaced   float64
	unpacedAt time.Duration
}

// NewGranter returns a granter for a link with the given rate in bits per second.
func NewGranter(bitsPerSecond int64) *Granter {
	return &Granter{bucket: newBucket(bitsPerSecond, inboundBurstTime)}
}

// Consume counts bytes that have arrived without a grant.
func (g *Granter) Consume(now time.Duration, bytes int) {
	g.advance(now)
	g.consume(bytes)
	g.unpaced += float64(bytes)
}

// Announce adds a frame, of which nothing is granted yet. If it is a request that cannot
// arrive in time behind what ranks before it, Announce returns nil and by how much it
// would be late.
func (g *Granter) Announce(now time.Duration, a Announcement) (*Transfer, time.Duration) {
	g.advance(now)
	t := &Transfer{kind: a.Kind, goal: now + a.GoalLeft, large: a.Bytes > PartBytes, ungranted: a.Bytes}
	if a.Kind == RequestFrame {
		if excess := g.timeFor(now, t) - a.timeLeft(); excess > 0 {
			return nil, excess
		}
	}
	g.transfers = append(g.transfers, t)
	return t, 0
}

// timeFor returns how long the link needs for what is granted, for what ranks before an
// announced frame and for the frame itself.
func (g *Granter) timeFor(now time.Duration, t *Transfer) time.Duration {
	reserved, before := 0, t.ungranted
	for _, other := range g.transfers {
		reserved += other.reserved()
		if !other.stalled() && other.rank(now) <= t.rank(now) {
			before += other.ungranted
		}
	}
	// What is granted has used up credit, so that a debt is a part of it.
	return g.pacedTime(max(float64(reserved), -g.credit) + float64(before))
}

// pacedTime returns how long the link needs for bytes beside what arrives without a
// grant.
func (g *Granter) pacedTime(bytes float64) time.Duration {
	paced := max(g.rate-g.unpaced/unpacedWindow.Seconds(), g.rate*minPacedShare)
	return time.Duration(bytes / paced * float64(time.Second))
}

// Backlog returns how long the link needs for what is granted and for what waits.
func (g *Granter) Backlog(now time.Duration) time.Duration {
	g.advance(now)
	bytes := 0
	for _, t := range g.transfers {
		bytes += t.reserved()
		if !t.stalled() {
			bytes += t.ungranted
		}
	}
	return g.pacedTime(float64(bytes))
}

// Arrived counts bytes of an announced frame. Those that are not reserved, because they
// are late or were not granted, count like bytes without a grant.
func (g *Granter) Arrived(now time.Duration, t *Transfer, bytes int) {
	g.advance(now)
	t.progress = now
	unreserved := max(bytes-t.reserved(), 0)
	g.consume(unreserved)
	t.released -= min(unreserved, t.released)
	t.outstanding -= min(bytes, t.outstanding)
}

// End removes a frame that has arrived or will not arrive any more, and releases what it
// has reserved.
func (g *Granter) End(now time.Duration, t *Transfer) {
	g.advance(now)
	if i := slices.Index(g.transfers, t); i >= 0 {
		g.transfers = slices.Delete(g.transfers, i, i+1)
		g.add(float64(t.reserved()))
	}
}

// Grant returns what may be sent now, and how long it takes until more may be; 0 if that
// depends on an arrival or an announcement.
func (g *Granter) Grant(now time.Duration) (grants []Grant, next time.Duration) {
	g.advance(now)
	t := g.first(now)
	for t != nil && (g.credit >= 0 || now-g.lastGrant >= maxPartWait) {
		grants = appendGrant(grants, t, g.grantPart(now, t))
		t = g.first(now)
	}
	if t == nil {
		g.lastGrant = now
		return grants, 0
	}
	return grants, max(min(g.untilCredit(), g.lastGrant+maxPartWait-now), minPause)
}

// first returns the first frame by rank, and in the order of arrival, that may get a
// grant; nil if there is none.
func (g *Granter) first(now time.Duration) *Transfer {
	var first *Transfer
	for _, t := range g.transfers {
		if t.ungranted == 0 || t.stalled() || t.outstanding+min(PartBytes, t.ungranted) > maxOutstandingBytes {
			continue
		}
		if first == nil || t.rank(now) < first.rank(now) {
			first = t
		}
	}
	return first
}

// grantPart grants the next part of a frame and returns its size.
func (g *Granter) grantPart(now time.Duration, t *Transfer) int {
	bytes := min(PartBytes, t.ungranted)
	if t.outstanding == 0 {
		t.progress = now
	}
	t.ungranted -= bytes
	t.outstanding += bytes
	g.credit -= float64(bytes)
	g.lastGrant = now
	return bytes
}

// appendGrant adds a grant to those of the same frame, or to the others.
func appendGrant(grants []Grant, t *Transfer, bytes int) []Grant {
	for i := range grants {
		if grants[i].Transfer == t {
			grants[i].Bytes += bytes
			return grants
		}
	}
	return append(grants, Grant{t, bytes})
}

// advance adds the credit for the time since the last call, and releases what has not
// arrived for releaseAfter.
func (g *Granter) advance(now time.Duration) {
	g.refill(now)
	g.unpaced *= math.Exp(-float64(now-g.unpacedAt) / float64(unpacedWindow))
	g.unpacedAt = now
	for _, t := range g.transfers {
		if t.reserved() > 0 && now-t.progress >= releaseAfter {
			g.add(float64(t.reserved()))
			t.released = t.outstanding
		}
	}
}
