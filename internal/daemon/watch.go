package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"godwitmount/internal/control"
	"godwitmount/internal/rollout"
	"godwitmount/internal/store"
)

const (
	// MembersTable is the store table that lists the daemons.
	MembersTable = "godwitmount-members"
	// watchInterval is the time in which a Watch call for a new configuration ends in
	// each data centre; see control.SetStoreWatcher.WatchCall. A call whose connection
	// has fallen silent ends only then, and a version that is published meanwhile has
	// 2 s to be in force: the interval, the client's allowance for a slow store, and the
	// next call must fit.
	watchInterval = time.Second
	// watchLateAfter is how long after its end a watch is late. Answers of a store that
	// works take less.
	watchLateAfter = 150 * time.Millisecond
	// proofsPerLimit is the number of such calls in the time after which removed keys
	// must have no effect, if the daemon's proof of its configuration depends on them.
	proofsPerLimit = 5
	// watcherSettleTime is how long a daemon that has just read its first
	// configuration waits to learn that its peers already are store watchers.
	watcherSettleTime = 600 * time.Millisecond
	// minPollInterval is the shortest interval at which a daemon that is not a store
	// watcher reads the configuration, and at which all read the member table. It can
	// be long because daemons learn of new versions and of each other from their
	// peers; polls only find what they missed.
	minPollInterval = 40 * time.Second
	// pollsPerSecond is the number of polls of one table per second, of all daemons
	// together, from which the interval grows with the fleet.
	pollsPerSecond = 2
	// minBackoff and maxBackoff bound the delay after a failed store call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// jitterFraction is the largest fraction of an interval that is randomly
	// subtracted from it.
	jitterFraction = 0.2
)

// initialMembersPolls are the intervals between the first reads of the member
// table. Daemons that start together have not all written their entries by the
// time of the first read.
var initialMembersPolls = []time.Duration{1200 * time.Millisecond}

// watchConfig tracks the row that holds the configuration until ctx ends. A
// store watcher watches the store; other daemons read the row at pollInterval and when
// the reducer requests it.
func (d *Daemon) watchConfig(ctx context.Context) {
	p := d.cfg.Platform
	t := &tableReader{store: p.Store, name: p.ConfigTable, log: d.log, addressChanges: &d.storeAddressChanges, backoff: minBackoff, notify: d.setStoreUnavailable, answered: d.configAnswered, reread: d.rereadRejected, apply: func(rows store.Rows, complete bool) {
		// Before a configuration, with which the upstream gets its first requests.
		d.rollouts.requestsRead(rows.Rows, complete)
		for _, row := range rows.Rows {
			switch {
			case row.Key != p.ConfigKey || row.Removed:
			case row.Err != nil:
				d.rejectConfig(row.Err)
			default:
				d.readConfig(row.Value)
			}
		}
	}}
	role := control.SetStoreWatcher{On: true, Turns: 1}
	for ctx.Err() == nil {
		select {
		case role = <-d.storeWatcher:
		default:
		}
		if !t.synced {
			if t.poll(ctx, 0) {
				role = d.awaitWatcherRole(ctx, role)
			}
			continue
		}
		if role.On {
			role = d.watchOnce(ctx, t, role)
			continue
		}
		timer := time.NewTimer(jittered(pollInterval(d.peers.Count() + 1)))
		select {
		case <-ctx.Done():
		case role = <-d.storeWatcher:
		case <-d.readOnce:
			t.poll(ctx, 0)
		case <-d.proveOnce:
			d.storeMetrics.proofReads.Inc()
			t.poll(ctx, 0)
		case <-timer.C:
			t.poll(ctx, 0)
		}
		timer.Stop()
	}
}

// watchOnce makes one call of a store watcher and returns its role after it. The call is
// given up, because its connection may have fallen silent, if this daemon now watches
// alone, or if a newer configuration or proof is to be read at once. If the call takes
// longer than its wait, connections between daemons may be silent as well: they are
// checked, so that they work once the store answers.
func (d *Daemon) watchOnce(ctx context.Context, t *tableReader, role control.SetStoreWatcher) control.SetStoreWatcher {
	callCtx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	wait := role.WatchCall(t.storeNow(), d.callInterval(), t.changed)
	late := time.AfterFunc(wait+watchLateAfter, func() { d.peers.Check("") })
	defer late.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.poll(callCtx, wait)
	}()
	for {
		select {
		case <-ended:
			return role
		case next := <-d.storeWatcher:
			alone := next.On && next.Turns < role.Turns
			role = next
			if !alone {
				continue
			}
			giveUp()
			<-ended
			return role
		case <-d.readOnce:
		case <-d.proveOnce:
			d.storeMetrics.proofReads.Inc()
		}
		giveUp()
		<-ended
		t.poll(ctx, 0)
		return role
	}
}

// callInterval returns the time in which a call of a store watcher ends in each data
// centre.
func (d *Daemon) callInterval() time.Duration {
	if d.freshness == nil {
		return watchInterval
	}
	if t := d.proxy.ActiveTable(); t == nil || !t.HasCustomers() {
		return watchInterval
	}
	return min(watchInterval, d.cfg.Settings.RevokeLimit.Std()/proofsPerLimit)
}

// pollInterval returns the interval between two polls of a table by one of the given
// number of daemons.
func pollInterval(daemons int) time.Duration {
	return max(minPollInterval, time.Duration(daemons)*time.Second/pollsPerSecond)
}

// awaitWatcherRole waits up to watcherSettleTime for the reducer to find that
// other daemons are the store watchers. It returns this daemon's role.
func (d *Daemon) awaitWatcherRole(ctx context.Context, role control.SetStoreWatcher) control.SetStoreWatcher {
	timer := time.NewTimer(watcherSettleTime)
	defer timer.Stop()
	for role.On {
		select {
		case <-ctx.Done():
			return role
		case <-timer.C:
			return role
		case role = <-d.storeWatcher:
		}
	}
	return role
}

// setStoreUnavailable reports to peers whether the store answers this daemon, so
// that another one can become a store watcher.
func (d *Daemon) setStoreUnavailable(unavailable bool) {
	d.rollouts.post(rollout.StoreAvailability{Unavailable: unavailable})
	if d.proxy.SetStoreUnavailable(unavailable) {
		d.broadcastState()
	}
}

// watchMembers polls the member table until ctx ends: first at
// initialMembersPolls, then every pollInterval and when the reducer
// requests it; a requested read does not replace one of initialMembersPolls. If the first
// read returns this daemon's own entry, it was restarted, and the entries of the others
// have long been there, too.
func (d *Daemon) watchMembers(ctx context.Context) {
	restarted, first := false, true
	t := &tableReader{
		store: d.cfg.Platform.Store, name: MembersTable, log: d.log, addressChanges: &d.storeAddressChanges, backoff: minBackoff, notify: func(bool) {},
		answered: d.clockRead,
		apply: func(rows store.Rows, complete bool) {
			restarted = restarted || first && hasRow(rows.Rows, d.cfg.Settings.Instance)
			first = false
			d.loop.post(control.MembersRead{Rows: rows.Rows, Complete: complete, Unnamed: len(rows.Unnamed) > 0, Position: rows.Position})
		},
	}
	for polls := 0; ctx.Err() == nil; {
		if !t.poll(ctx, 0) {
			continue
		}
		interval := pollInterval(d.peers.Count() + 1)
		if polls < len(initialMembersPolls) && !restarted {
			interval = initialMembersPolls[polls]
		}
		if !d.awaitMembersPoll(ctx, jittered(interval)) {
			polls++
		}
	}
}

// hasRow reports whether rows has one with the key that was not removed.
func hasRow(rows []store.Row, key string) bool {
	return slices.ContainsFunc(rows, func(row store.Row) bool { return row.Key == key && !row.Removed })
}

// awaitMembersPoll returns after the interval, when the reducer requests a read of
// the member table, or when ctx ends. It reports whether the reducer has.
func (d *Daemon) awaitMembersPoll(ctx context.Context, interval time.Duration) (requested bool) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.readMembers:
		return true
	}
	return false
}

// jittered returns d shortened by a random part of up to jitterFraction.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction*rand.Float64()))
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
