package membership

import (
	"fmt"
	"slices"

	"godwitmount/internal/rendezvous"
)

// delegatesPerDataCentre is how many instances speak for their data centre.
const delegatesPerDataCentre = 2

// delegates caches who polls and who speaks for each data centre; the pairs rotate with the
// epoch of the wall clock, so the work is shared by all.
type delegates struct {
	version uint64
	epoch   int64
	pairs   map[string][]string
	// pollers are those of this data centre.
	pollers []string
}

// ranked returns the cache, emptied after a change of the table or epoch.
func (c *Core) ranked() *delegates {
	epoch := c.moment.Wall.UnixNano() / int64(c.cfg.DelegateEpoch)
	d := &c.delegates
	if d.pairs == nil || d.version != c.table.version || d.epoch != epoch {
		*d = delegates{version: c.table.version, epoch: epoch, pairs: map[string][]string{}}
		d.pollers = PollersOf(c.cfg.DataCentre, c.table.alive(c.cfg.DataCentre))
	}
	return d
}

func (c *Core) delegatesOf(dataCentre string) []string {
	d := c.ranked()
	pair, known := d.pairs[dataCentre]
	if !known {
		key := fmt.Sprintf("delegates/%s/%d", dataCentre, d.epoch)
		pair = rendezvous.Top(key, c.table.alive(dataCentre), delegatesPerDataCentre)
		d.pairs[dataCentre] = pair
	}
	return pair
}

// isDelegate reports whether this instance speaks for its data centre.
func (c *Core) isDelegate() bool {
	return slices.Contains(c.delegatesOf(c.cfg.DataCentre), c.cfg.Instance)
}

// otherDataCentres returns the other data centres with living instances.
func (c *Core) otherDataCentres() []string {
	names := c.table.dataCentres()
	return slices.DeleteFunc(names, func(name string) bool { return name == c.cfg.DataCentre })
}

// remoteDelegates returns one delegate of each other data centre.
func (c *Core) remoteDelegates() []string {
	var chosen []string
	for _, name := range c.otherDataCentres() {
		pair := c.delegatesOf(name)
		chosen = append(chosen, pair[c.random.IntN(len(pair))])
	}
	return chosen
}
