package membership

import (
	"math"
	"slices"
	"time"
)

// isolationFactor is how much longer a suspect is kept while this daemon
// hears nobody at all.
const isolationFactor = 4

// silentIntervals is after how many probe intervals without any packet this
// daemon counts as hearing nobody.
const silentIntervals = 3

// suspicion is the time an instance has left to refute.
type suspicion struct {
	started  time.Duration
	deadline time.Duration
	// asker is set at the daemon whose probe failed; it keeps asking.
	asker    bool
	nextPing time.Duration
}

// suspect doubts an instance that this daemon could not reach.
func (c *Core) suspect(r Record) {
	r.Liveness = Suspect
	c.apply(r)
	if s := c.suspects[r.Instance]; s != nil {
		s.asker = true
	}
}

// followSuspicion starts or ends the timer that goes with a record.
func (c *Core) followSuspicion(r Record) {
	if r.Liveness != Suspect {
		delete(c.suspects, r.Instance)
		return
	}
	timeout := c.suspicionTimeout()
	c.suspects[r.Instance] = &suspicion{
		started:  c.now(),
		deadline: c.now() + timeout,
		nextPing: c.now(),
	}
}

// suspicionTimeout grows with the logarithm of the data centre's size, as the
// spread of a refutation does, and with this daemon's distrust of itself.
func (c *Core) suspicionTimeout() time.Duration {
	factor := float64(c.cfg.SuspicionFactor) * max(1, c.decades())
	return c.scaled(time.Duration(factor * float64(c.cfg.ProbeInterval)))
}

// decades is the decimal logarithm of the data centre's size.
func (c *Core) decades() float64 {
	return math.Log10(float64(len(c.table.alive(c.cfg.DataCentre)) + 1))
}

func (c *Core) suspicionTick() {
	for _, instance := range c.suspectsInOrder() {
		s := c.suspects[instance]
		e := c.table.entries[instance]
		if e == nil || e.Liveness != Suspect {
			delete(c.suspects, instance)
			continue
		}
		if s.asker && c.now() >= s.nextPing {
			s.nextPing = c.now() + c.cfg.ProbeInterval
			c.ping(instance, false)
		}
		if c.now() >= s.deadline && !c.holdsBack(s) {
			c.apply(lost(e.Record))
		}
	}
}

// lost returns the record of a suspect that did not refute. One that was
// leaving has left.
func lost(r Record) Record {
	r.Liveness = Dead
	if r.Leaving {
		r.Liveness = Left
	}
	return r
}

// holdsBack reports whether this daemon, which hears nobody, rather doubts
// itself for some more time.
func (c *Core) holdsBack(s *suspicion) bool {
	silence := c.now() - c.prober.heard
	if silence < silentIntervals*c.cfg.ProbeInterval {
		return false
	}
	return c.now()-s.started < isolationFactor*(s.deadline-s.started)
}

// dropSuspicions takes back every doubt, after a pause.
func (c *Core) dropSuspicions() {
	for _, instance := range c.suspectsInOrder() {
		delete(c.suspects, instance)
		e := c.table.entries[instance]
		if e == nil || e.Liveness != Suspect {
			continue
		}
		r := e.Record
		r.Liveness = Alive
		c.table.put(r, c.now())
		delete(c.gossip.updates, instance)
	}
}

func (c *Core) suspectsInOrder() []string {
	if len(c.suspects) == 0 {
		return nil
	}
	instances := make([]string, 0, len(c.suspects))
	for instance := range c.suspects {
		instances = append(instances, instance)
	}
	slices.Sort(instances)
	return instances
}
