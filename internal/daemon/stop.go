package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/membership"
)

// Stop is the planned stop: peers are told first, new work is refused, work in
// flight is finished, claims are handed over. It returns an error when ctx
// ended before that was done.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	event.DaemonStopping.Info(d.log)
	d.loop.post(control.LeaveRequested{})
	d.proxy.BeginDrain()
	for _, server := range d.servers {
		server.SetKeepAlivesEnabled(false)
	}
	err := d.proxy.Wait(ctx)
	d.spreadLeave(ctx)
	if shutdownErr := d.shutdownServers(ctx); err == nil {
		err = shutdownErr
	}
	d.loop.post(membership.LeaveFinished{})
	d.close()
	event.DaemonStopped.Info(d.log, zap.Error(err))
	return err
}

// spreadLeave gives the news of leaving, and the hand-over of claims, time to
// arrive.
func (d *Daemon) spreadLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveSpread)
	defer cancel()
	<-ctx.Done()
}

// shutdownServers closes the listeners and waits for requests in flight.
func (d *Daemon) shutdownServers(ctx context.Context) error {
	var first error
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// close ends what is left. The loop gets one more tick, so that its last
// effects are sent.
func (d *Daemon) close() {
	time.Sleep(2 * tickInterval)
	d.cancel()
	d.release()
}

// Kill ends the daemon at once, as a crash would; for tests.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.release()
}

// release waits for the loop, whose context has ended, and closes what it used.
func (d *Daemon) release() {
	<-d.loop.done
	_ = d.gossip.Close()
	d.peers.close()
	d.proxy.Close()
}
