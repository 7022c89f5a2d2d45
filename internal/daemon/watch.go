package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/logbook"
	"godwitmount/internal/store"
)

const (
	// MembersTable is the table of the daemons.
	MembersTable = "godwitmount-members"
	// configWait is how long one wait for a new configuration lasts. A call
	// that the store has lost is noticed soon after.
	configWait = 2 * time.Second
	// dutyGrace is how long a daemon that has just read the configuration waits
	// for peers that wait at the store already.
	dutyGrace = 600 * time.Millisecond
	// configPoll is how often a daemon that does not wait at the store looks
	// there; it hears of versions from its peers.
	configPoll = 40 * time.Second
	// membersPoll is how often the member table is looked at. Daemons that
	// join greet all others, so that this only finds what was missed.
	membersPoll = 40 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// jitter is the share of a poll's interval that is drawn at random.
	jitter = 0.2
)

// startPolls are the first looks at the member table: daemons that start
// together have not all written their entries at the first one.
var startPolls = []time.Duration{1200 * time.Millisecond}

// table follows one table of the store.
type table struct {
	store store.Store
	name  string
	// take gets all rows, or the changes.
	take func(rows []store.Row, whole bool)
	// lose is told when the store stops answering and when it answers again.
	lose func(lost bool)
	log  *logbook.Book

	// after is the version up to which the table is known, if it is.
	after   uint64
	known   bool
	lost    bool
	backoff time.Duration
}

// look reads the table, or its changes, waiting for some if there are none. It
// pauses after a failure.
func (t *table) look(ctx context.Context, wait time.Duration) bool {
	rows, err := t.next(ctx, wait)
	if err != nil {
		t.known = t.known && !errors.Is(err, store.ErrHistoryGone)
		t.failed(ctx, err)
		sleep(ctx, t.backoff)
		t.backoff = min(2*t.backoff, maxBackoff)
		return false
	}
	t.recovered()
	t.backoff = minBackoff
	if len(rows.Rows) > 0 || !t.known {
		t.take(rows.Rows, !t.known)
	}
	t.after, t.known = max(t.after, rows.Version), true
	return true
}

func (t *table) next(ctx context.Context, wait time.Duration) (store.Rows, error) {
	if !t.known {
		return t.store.Read(ctx, t.name)
	}
	return t.store.Watch(ctx, t.name, t.after, wait)
}

func (t *table) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, store.ErrHistoryGone) {
		t.log.Event(event.StoreHistoryGone, zap.String("table", t.name))
		return
	}
	if !t.lost {
		t.lost = true
		t.lose(true)
		t.log.Warn(event.StoreLost, zap.String("table", t.name), zap.Error(err))
	}
}

func (t *table) recovered() {
	if t.lost {
		t.lost = false
		t.lose(false)
		t.log.Event(event.StoreRecovered, zap.String("table", t.name))
	}
}

// watchConfig follows the row that holds the configuration: by waiting at the
// store while this daemon is on duty, otherwise by a look now and then and when
// one is asked for.
func (d *Daemon) watchConfig(ctx context.Context) {
	p := d.cfg.Platform
	t := &table{store: p.Store, name: p.ConfigTable, log: d.log, backoff: minBackoff, lose: d.storeLost, take: func(rows []store.Row, _ bool) {
		for _, row := range rows {
			if row.Key == p.ConfigKey && !row.Removed {
				d.readConfig(row.Value, control.FromStore)
			}
		}
	}}
	duty := true
	for ctx.Err() == nil {
		select {
		case duty = <-d.duty:
		default:
		}
		if !t.known {
			if t.look(ctx, 0) {
				duty = d.awaitDuty(ctx, duty)
			}
			continue
		}
		if duty {
			t.look(ctx, configWait)
			continue
		}
		timer := time.NewTimer(jittered(configPoll))
		select {
		case <-ctx.Done():
		case duty = <-d.duty:
		case <-d.read:
			t.look(ctx, 0)
		case <-timer.C:
			t.look(ctx, 0)
		}
		timer.Stop()
	}
}

// awaitDuty waits for a moment for the news that other daemons are on duty.
func (d *Daemon) awaitDuty(ctx context.Context, duty bool) bool {
	timer := time.NewTimer(dutyGrace)
	defer timer.Stop()
	for duty {
		select {
		case <-ctx.Done():
			return duty
		case <-timer.C:
			return duty
		case duty = <-d.duty:
		}
	}
	return duty
}

// storeLost tells peers whether the store answers this daemon, so that another
// one goes on duty.
func (d *Daemon) storeLost(lost bool) {
	if d.proxy.SetStoreLost(lost) {
		d.tell()
	}
}

// watchMembers looks at the member table, often at first.
func (d *Daemon) watchMembers(ctx context.Context) {
	t := &table{
		store: d.cfg.Platform.Store, name: MembersTable, log: d.log, backoff: minBackoff, lose: func(bool) {},
		take: func(rows []store.Row, whole bool) { d.loop.post(control.MembersRead{Rows: rows, Whole: whole}) },
	}
	for looks := 0; ctx.Err() == nil; {
		if !t.look(ctx, 0) {
			continue
		}
		pause := membersPoll
		if looks < len(startPolls) {
			pause = startPolls[looks]
		}
		looks++
		sleep(ctx, jittered(pause))
	}
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter*rand.Float64()))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
