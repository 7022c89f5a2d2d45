package daemon

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
)

const (
	// unreadyTime is how long callers may go on sending after the daemon said
	// that it is not ready: two questions, a second apart.
	unreadyTime = 2200 * time.Millisecond
	// quietTime is how long no caller may have sent anything before the
	// daemon ends.
	quietTime = 400 * time.Millisecond
	// leaveShare is the part of the grace after which callers and peers are
	// refused, and endShare the part after which the process ends. What was
	// taken before has the time between them to be answered.
	leaveShare = 0.65
	endShare   = 0.95
	// leaveTime is how long peers have to learn that the daemon leaves.
	leaveTime = 100 * time.Millisecond
	stopStep  = 20 * time.Millisecond
)

// Stop ends the daemon without cutting off a request: callers are told to go
// elsewhere, then peers, and the process ends once nothing is in flight.
func (d *Daemon) Stop(ctx context.Context) error {
	began := time.Now()
	grace := d.cfg.Settings.ShutdownGrace.Std()
	d.stopping.Store(true)
	if err := d.loop.do(ctx, control.StopRequested{}); err != nil {
		d.log.Warn(event.DaemonStopping, zap.Error(err))
	}
	d.proxy.BeginStop()
	leaveAt := began.Add(time.Duration(leaveShare * float64(grace)))
	endAt := began.Add(time.Duration(endShare * float64(grace)))
	waitUntil(ctx, leaveAt, func() bool { return time.Since(began) >= unreadyTime && d.quiet() })
	d.proxy.CloseEntry()
	d.peers.Leave()
	d.tell()
	sleep(ctx, leaveTime)
	waitUntil(ctx, endAt, d.idle)
	entering, running := d.proxy.InFlight()
	d.log.Event(event.DaemonStopped, zap.Int64("entering", entering), zap.Int64("running", running),
		zap.Duration("took", time.Since(began)))
	d.close(ctx)
	if entering+running > 0 {
		return fmt.Errorf("%d requests of callers and %d at the upstream were cut off", entering, running)
	}
	return nil
}

// quiet tells that callers have stopped sending.
func (d *Daemon) quiet() bool {
	if d.connections.Load() == 0 {
		return true
	}
	last := time.Duration(d.lastRequest.Load())
	return time.Since(d.started)-last >= quietTime && d.idle()
}

func (d *Daemon) idle() bool {
	entering, running := d.proxy.InFlight()
	return entering+running == 0
}

func (d *Daemon) close(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	if err := d.callers.Shutdown(bounded); err != nil {
		d.log.Warn(event.DaemonStopped, zap.String("while", "closing connections of callers"), zap.Error(err))
	}
	d.end()
}

// Abort ends the daemon at once, whatever is in flight.
func (d *Daemon) Abort() {
	d.stopping.Store(true)
	d.end()
}

// end closes everything that listens and every connection to peers.
func (d *Daemon) end() {
	for _, closer := range d.closers {
		if err := closer(); err != nil {
			d.log.Warn(event.DaemonStopped, zap.String("while", "closing a listener"), zap.Error(err))
		}
	}
	d.server.Close()
	d.peers.Set(nil, 0)
	d.cancel()
}

// waitUntil waits until the condition holds, but not past a time.
func waitUntil(ctx context.Context, end time.Time, done func() bool) {
	for time.Now().Before(end) && ctx.Err() == nil && !done() {
		sleep(ctx, stopStep)
	}
}
