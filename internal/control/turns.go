package control

import (
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// watchersPerDataCentre is the number of store watchers in each data centre:
// one, and a second in case the first is cut off, frozen or rejected by the
// store.
const watchersPerDataCentre = 2

// turnTolerance is how long before the end of its turn a call of a store watcher may end
// without changes and still count as having ended then: the store's clock is rounded.
const turnTolerance = 50 * time.Millisecond

// WatchCall returns how long the next call of a store watcher waits in the store. A call
// whose connection has fallen silent ends only then, so that a call of the data centre
// must end at least each interval. Watchers that take turns do so by the store's clock:
// their calls are as many intervals long as there are watchers, and end in turn. A
// watcher alone makes calls of one interval, as does one that does not know the store's
// clock, for which storeNow is 0. Changed says that the last call ended early, with
// changes.
func (w SetStoreWatcher) WatchCall(storeNow, interval time.Duration, changed bool) time.Duration {
	if w.Turns < 2 || storeNow == 0 {
		return interval
	}
	period := time.Duration(w.Turns) * interval
	wait := period - (storeNow-time.Duration(w.Turn)*interval)%period
	if wait > period {
		wait -= period
	}
	if wait < turnTolerance && !changed {
		wait += period
	}
	return wait
}

// updateStoreWatcher decides whether this daemon is a store watcher, and its turn. The
// watchers of a data centre are its watchersPerDataCentre daemons with the lowest
// ranks. Each daemon decides on its own, counting only the peers that it can
// reach and that the store answers; daemons that disagree about these cause at
// most additional watchers, and turns that do not alternate.
func (c *Core) updateStoreWatcher() {
	ownRank := rank(c.cfg.Self.Instance)
	lower, higher := 0, 0
	for key, known := range c.members {
		local := known.Instance != "" && known.DataCentre == c.cfg.Self.DataCentre
		switch {
		case !local || key == c.cfg.Self.Instance || !c.reachable[key] || c.storeUnavailable[key]:
		case rank(key) < ownRank:
			lower++
		default:
			higher++
		}
	}
	role := SetStoreWatcher{On: lower < watchersPerDataCentre}
	if role.On {
		role.Turn, role.Turns = lower, min(lower+1+higher, watchersPerDataCentre)
	}
	before := c.storeWatcher
	if role == before {
		return
	}
	c.storeWatcher = role
	c.emit(role)
	if role.On != before.On {
		c.log(event.WatchDuty, false, step.F("on", role.On), step.F("before", lower))
	}
	if role.On && role.Turns != before.Turns {
		c.log(event.WatchTurns, false, step.F("watchers", role.Turns), step.F("turn", role.Turn))
	}
}
