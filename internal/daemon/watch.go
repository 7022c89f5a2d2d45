package daemon

import (
	"context"
	"errors"
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
	// configWait is how long one wait for a new configuration lasts.
	configWait = 10 * time.Second
	// membersWait is how long one wait for changes of members lasts.
	membersWait = 25 * time.Second
	// membersPause gathers changes of members that come close together.
	membersPause = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// watcher follows one table of the store.
type watcher struct {
	store store.Store
	table string
	wait  time.Duration
	// pause is kept after each change.
	pause time.Duration
	// take gets all rows, or the changes.
	take func(rows []store.Row, whole bool)
	log  *logbook.Book
	lost bool
}

// run reads the table and then its changes until ctx ends.
func (w *watcher) run(ctx context.Context) {
	backoff := minBackoff
	after, known := uint64(0), false
	for ctx.Err() == nil {
		rows, err := w.next(ctx, after, known)
		if err != nil {
			known = known && !errors.Is(err, store.ErrHistoryGone)
			w.failed(ctx, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		w.recovered()
		backoff = minBackoff
		if len(rows.Rows) > 0 || !known {
			w.take(rows.Rows, !known)
		}
		if known && len(rows.Rows) > 0 {
			sleep(ctx, w.pause)
		}
		after, known = max(after, rows.Version), true
	}
}

func (w *watcher) next(ctx context.Context, after uint64, known bool) (store.Rows, error) {
	if !known {
		return w.store.Read(ctx, w.table)
	}
	return w.store.Watch(ctx, w.table, after, w.wait)
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, store.ErrHistoryGone) {
		w.log.Event(event.StoreHistoryGone, zap.String("table", w.table))
		return
	}
	if !w.lost {
		w.lost = true
		w.log.Warn(event.StoreLost, zap.String("table", w.table), zap.Error(err))
	}
}

func (w *watcher) recovered() {
	if w.lost {
		w.lost = false
		w.log.Event(event.StoreRecovered, zap.String("table", w.table))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchConfig follows the row that holds the configuration.
func (d *Daemon) watchConfig(ctx context.Context) {
	p := d.cfg.Platform
	w := &watcher{store: p.Store, table: p.ConfigTable, wait: configWait, log: d.log, take: func(rows []store.Row, _ bool) {
		for _, row := range rows {
			if row.Key == p.ConfigKey && !row.Removed {
				d.readConfig(row.Value, "store")
			}
		}
	}}
	w.run(ctx)
}

// readConfig decodes a configuration for the reducer.
func (d *Daemon) readConfig(source []byte, from string) {
	version, m, err := d.cfg.Platform.ParseConfig(source)
	if err != nil {
		d.loop.post(control.ConfigRejected{Err: err, From: from})
		return
	}
	d.loop.post(control.ConfigRead{Version: version, Manifest: m, Source: source, From: from})
}

// watchMembers follows the member table.
func (d *Daemon) watchMembers(ctx context.Context) {
	w := &watcher{
		store: d.cfg.Platform.Store, table: MembersTable, wait: membersWait, pause: membersPause, log: d.log,
		take: func(rows []store.Row, whole bool) { d.loop.post(control.MembersRead{Rows: rows, Whole: whole}) },
	}
	w.run(ctx)
}
