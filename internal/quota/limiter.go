package quota

import (
	"maps"
	"slices"
	"time"
)

// Limiter decides for one daemon. It is not safe for concurrent use.
type Limiter struct {
	cfg    Config
	limits map[string]Limit
	views  views
	// generation counts the changes of the view, so that the owner of a customer is
	// computed once for each view.
	generation uint64
	// customers holds the customers with traffic.
	customers map[string]*customer
	// idleShares holds the shares of customers without traffic whose buckets this daemon had. The
	// other data centres have the rest of the allowance, however long the customer is idle.
	idleShares map[string]Share
	// lastTick is when Tick was last called.
	lastTick time.Duration
	notes    []Note
}

// customer is the state of one customer with traffic.
type customer struct {
	name  string
	limit Limit
	// touched is when the state was last used.
	touched time.Duration
	// owner is the owner by the view with the number ownerOf.
	owner   string
	ownerOf uint64
	// share is the last known share of this data centre.
	share Share
	// bucket is nil unless this daemon owns it.
	bucket *bucket
	// keeper is the daemon that kept the bucket when this one became the owner. Until
	// keptUntil, requests are passed on to it.
	keeper    string
	keptUntil time.Duration
	// foreignSince is since when another daemon owns the bucket that this one still
	// holds, or 0.
	foreignSince time.Duration
	client
}

// New returns a limiter without limits and without a view.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, limits: map[string]Limit{}, customers: map[string]*customer{}, idleShares: map[string]Share{}, views: views{self: cfg.Instance}}
}

// SetLimits sets the limits of the configuration in force, by customer. Customers with
// rate 0 have no limit.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	if len(l.limits) == 0 {
		// Without limits, Tick need not be called.
		l.lastTick = now
	}
	l.limits = limits
	maps.DeleteFunc(l.idleShares, func(name string, _ Share) bool { return limits[name].Rate <= 0 })
	for name, c := range l.customers {
		limit := limits[name]
		if limit.Rate <= 0 {
			delete(l.customers, name)
			continue
		}
		if limit != c.limit {
			c.limit = limit
			c.refusedUntil = 0
		}
	}
	l.refreshBuckets(now)
}

// HasLimits reports whether any customer has a limit.
func (l *Limiter) HasLimits() bool {
	for _, limit := range l.limits {
		if limit.Rate > 0 {
			return true
		}
	}
	return false
}

// SetView sets what is known of the other daemons.
func (l *Limiter) SetView(now time.Duration, view View) {
	l.advance(now)
	l.views.set(now, view)
	l.generation++
	l.dropIdleShares()
	l.refreshBuckets(now)
}

// Tick does what depends on time alone. It is called each 100 ms while there are
// limits. It returns the customers for which a larger share is to be pulled, sorted by
// name; see Pull.
func (l *Limiter) Tick(now time.Duration) []string {
	l.advance(now)
	l.lastTick = now
	l.refreshBuckets(now)
	var pulls []string
	for _, name := range slices.Sorted(maps.Keys(l.customers)) {
		c := l.customers[name]
		if now-c.touched > max(idleTime, l.cfg.Params.Window) {
			l.forget(c)
			continue
		}
		l.dropForeign(now, c)
		if l.wantsPull(now, c) {
			pulls = append(pulls, name)
		}
	}
	return pulls
}

// forget drops the state of a customer without traffic, but for the share of the data centre if
// this daemon keeps it.
func (l *Limiter) forget(c *customer) {
	delete(l.customers, c.name)
	if c.bucket != nil && c.share.Version > 0 && l.ownerOf(c) == l.cfg.Instance {
		l.idleShares[c.name] = c.share
	}
}

// dropIdleShares drops the shares of customers that another daemon owns by now: it may change them.
func (l *Limiter) dropIdleShares() {
	maps.DeleteFunc(l.idleShares, func(name string, _ Share) bool {
		owner := l.views.owner(name)
		return owner != "" && owner != l.cfg.Instance
	})
}

// dropForeign drops the bucket of a customer that another daemon has owned for a while.
// That one has not asked for it, and may have started one of its own.
func (l *Limiter) dropForeign(now time.Duration, c *customer) {
	switch {
	case c.bucket == nil || l.ownerOf(c) == l.cfg.Instance:
		c.foreignSince = 0
	case c.foreignSince == 0:
		c.foreignSince = now
	case now-c.foreignSince > keptTime:
		c.bucket = nil
	}
}

// advance detects that the process has not run for a while. Other daemons may have
// become owners meanwhile.
func (l *Limiter) advance(now time.Duration) {
	if len(l.limits) == 0 || now-l.lastTick <= maxPause {
		return
	}
	l.note(Note{Kind: NotePaused, Pause: now - l.lastTick})
	l.lastTick = now
	l.views.restart(now)
	for _, c := range l.customers {
		c.bucket = nil
		c.keeper = ""
		c.client = client{used: c.used}
	}
}

// refreshBuckets refills the buckets and applies the present limits, shares and view.
func (l *Limiter) refreshBuckets(now time.Duration) {
	weight := l.views.weight(now, l.cfg.Params.Window)
	for _, c := range l.customers {
		if c.bucket != nil {
			c.bucket.set(now, l.rate(now, c, weight), l.depth(c))
		}
	}
}

// customer returns the state of a customer, or nil if it has no limit.
func (l *Limiter) customer(now time.Duration, name string) *customer {
	limit := l.limits[name]
	if limit.Rate <= 0 {
		return nil
	}
	c := l.customers[name]
	if c == nil {
		c = &customer{name: name, limit: limit, share: l.idleShares[name]}
		delete(l.idleShares, name)
		l.customers[name] = c
	}
	c.touched = now
	return c
}

// ownerOf returns the owner of the customer's bucket by the present view.
func (l *Limiter) ownerOf(c *customer) string {
	if c.ownerOf != l.generation || c.owner == "" {
		before := c.owner
		c.owner, c.ownerOf = l.views.owner(c.name), l.generation
		if c.owner != before {
			// Another daemon may answer.
			c.unavailableUntil, c.noRelayUntil = 0, 0
		}
	}
	return c.owner
}

// share returns the data centre's part of the customer's allowance.
func (l *Limiter) share(c *customer) float64 {
	if l.views.dataCentres() == 1 {
		return 1
	}
	return fixedShare/l.views.dataCentres() + c.share.Movable
}

// rate returns the rate at which this daemon fills the customer's bucket, given the
// weight by the present view.
func (l *Limiter) rate(now time.Duration, c *customer, weight float64) float64 {
	rate := c.limit.Rate * l.share(c) * weight
	if l.views.doubted(now, c.name) {
		rate *= doubtShare
	}
	return rate
}

// depth returns the depth of the customer's bucket in this data centre.
func (l *Limiter) depth(c *customer) float64 {
	bonus := bonusSlack * l.cfg.Params.Slack
	// Without room for a whole token, none would ever be granted.
	return max(c.limit.Burst*l.share(c)+bonus/l.views.dataCentres(), 1)
}

// newBucket makes this daemon the holder of the customer's bucket. Without tokens from
// the previous one, it has what has accrued since this daemon became the owner.
func (l *Limiter) newBucket(now time.Duration, c *customer, tokens int) {
	rate, depth := l.rate(now, c, l.views.weight(now, l.cfg.Params.Window)), l.depth(c)
	level := float64(tokens)
	if tokens == 0 {
		start := startSlack * l.cfg.Params.Slack / l.views.dataCentres()
		level = start + rate*(now-l.views.ownedSince(c.name)).Seconds()
	}
	c.bucket = &bucket{level: min(level, depth), at: now, rate: rate, depth: depth}
	c.keeper = ""
	l.note(Note{Kind: NoteOwner, Customer: c.name, Share: l.share(c), Level: c.bucket.level})
}

// learnShare takes over the share that another daemon of the data centre knows, if it
// is newer.
func (l *Limiter) learnShare(c *customer, share Share) {
	if share.Version > c.share.Version {
		c.share = share
	}
}
