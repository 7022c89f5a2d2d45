package membership

import "time"

const (
	// minViewWindow is for how long a view counts at least; longer than both
	// sides of a cut take to declare each other dead.
	minViewWindow = 40 * time.Second
	// viewRounds is for how many rounds of a delegate through all data centres
	// a view counts, so that the larger side is heard of meanwhile.
	viewRounds = 4
)

// view is how many living instances a member of a data centre saw there.
type view struct {
	living int
	at     time.Duration
}

// inMinority compares what a member of another data centre sees of its own
// with the largest view heard of lately. One that sees clearly less may be cut
// off from its neighbours; what it calls dead is not believed until no larger
// view was heard for a while.
func (c *Core) inMinority(dataCentre, from string, living int) bool {
	views := c.exchanges.views[dataCentre]
	if views == nil {
		views = map[string]view{"": {living: c.latelyLiving(dataCentre), at: c.now()}}
		c.exchanges.views[dataCentre] = views
	}
	views[from] = view{living: living, at: c.now()}
	largest := 0
	for key, v := range views {
		if c.now()-v.at > c.viewWindow() {
			delete(views, key)
			continue
		}
		largest = max(largest, v.living)
	}
	return living < largest-max(1, largest/10)
}

// latelyLiving counts the instances of a data centre that live or died lately,
// in this daemon's own table.
func (c *Core) latelyLiving(dataCentre string) int {
	count := 0
	for _, e := range c.table.entries {
		lately := e.Liveness == Dead && c.now()-e.changed < c.viewWindow()
		if e.DataCentre == dataCentre && (e.living() || lately) {
			count++
		}
	}
	return count
}

// viewWindow is for how long a view counts.
func (c *Core) viewWindow() time.Duration {
	round := c.cfg.ExchangeInterval * time.Duration(len(c.table.dataCentres())+1)
	return max(minViewWindow, viewRounds*round)
}

// ownView is how many instances of its own data centre this daemon holds for
// alive.
func (c *Core) ownView() uint32 {
	return uint32(len(c.table.alive(c.cfg.DataCentre)))
}

// originOf tells how far to trust the records that a member of a data centre
// sent, and keeps its view.
func (c *Core) originOf(dataCentre, from string, living uint32) origin {
	switch {
	case dataCentre == "" || dataCentre == c.cfg.DataCentre:
		return viaExchange
	case c.inMinority(dataCentre, from, int(living)):
		return viaMinority
	}
	return viaDistant
}
