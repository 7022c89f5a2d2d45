package quota

import "time"

// Preview is what Take would decide on a request.
type Preview struct {
	// Action is Admit, Refuse or Ask. With Ask, the daemon To would decide.
	Action Action
	To     string
	// Own is set if this daemon would decide by its own share, because the owner does not
	// answer.
	Own bool
	// NoOwner is set for Refuse as in Decision.
	NoOwner bool
	// Wait is the time until the next token, set for Refuse.
	Wait time.Duration
	// Held is set if this daemon holds the bucket. Level is then its tokens.
	Held  bool
	Level float64
}

// Preview returns what Take would decide on a new request of a customer. It changes
// nothing: Take runs on a copy of the customer's state. It returns false if the customer
// has no limit.
func (l *Limiter) Preview(now time.Duration, name string) (Preview, bool) {
	if l.limits[name].Rate <= 0 {
		return Preview{}, false
	}
	trial := &Limiter{
		cfg: l.cfg, limits: l.limits, views: l.views, generation: l.generation, lastTick: l.lastTick,
		customers: map[string]*customer{},
	}
	p := Preview{}
	if known := l.customers[name]; known != nil {
		c := known.clone()
		if p.Held = c.bucket != nil; p.Held {
			c.bucket.refill(now)
			p.Level = c.bucket.level
		}
		trial.customers[name] = c
	}
	d := trial.Take(now, name, false)
	c := trial.customers[name]
	p.Action, p.To, p.Own, p.NoOwner, p.Wait = d.Action, d.Message.To, d.own, d.NoOwner, d.Wait
	if d.Action == Await {
		p.Action, p.To = Ask, trial.ownerOf(c)
	}
	if c.bucket == nil {
		// It was dropped because the process did not run for a while.
		p.Held, p.Level = false, 0
	} else if d.Action == Refuse && !d.own && c.refusedUntil <= now {
		p.Wait = c.bucket.untilToken()
	}
	return p, true
}

// clone returns a copy that shares nothing that Take changes.
func (c *customer) clone() *customer {
	clone := *c
	if c.bucket != nil {
		b := *c.bucket
		clone.bucket = &b
	}
	return &clone
}
