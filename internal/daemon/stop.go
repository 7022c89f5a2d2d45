package daemon

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/proxy"
)

const (
	// minUnreadyTime is how long callers are still served at least after the
	// readiness check has begun to fail: two checks, one second apart.
	// closeEntryShare may end it earlier.
	minUnreadyTime = 2200 * time.Millisecond
	// quietPeriod is the time without a new request from callers after which they
	// count as having switched to another daemon.
	quietPeriod = 400 * time.Millisecond
	// closeEntryShare is the fraction of the shutdown grace period after which,
	// at the latest, requests of callers are refused and peers are notified to
	// send none. exitShare is the fraction after which Stop no longer waits for
	// requests in flight. Requests accepted before the first have the time
	// between the two to finish. endShare is the fraction after which all connections are
	// closed: the process may be killed at the end of the period.
	closeEntryShare = 0.65
	exitShare       = 0.95
	endShare        = 0.98
	// minExitTime is the time that is left at least, after Stop no longer waits for requests in
	// flight, for answering them and closing all connections. In a short grace period it begins
	// with the refusal of requests.
	minExitTime = 300 * time.Millisecond
	// drainNoticeTime bounds waiting for peers to confirm the notice that the daemon
	// accepts no more requests, and lastRequestTime is how long Stop waits after that for
	// requests that they were just sending.
	drainNoticeTime = time.Second
	lastRequestTime = 100 * time.Millisecond
	// cutOffTime bounds answering the requests that are cut off at exitShare.
	cutOffTime = 100 * time.Millisecond
	// closeCallersTime bounds closing the connections of callers. Callers have it to read
	// their last answers.
	closeCallersTime = 100 * time.Millisecond
	// stopAcceptingTime bounds accepting the connections of callers that the system has
	// established when the listener for them is closed.
	stopAcceptingTime = 50 * time.Millisecond
	// closePeersTime bounds closing the connections of peers, which have it to receive their
	// last replies.
	closePeersTime = 500 * time.Millisecond
	// cancelNoticeTime is how long Stop waits for peers to confirm cancellations. If the
	// machine ends with the process, what is still to be sent is lost.
	cancelNoticeTime = 300 * time.Millisecond
	// stopPollInterval is the time between two checks of a condition that Stop
	// waits for.
	stopPollInterval = 20 * time.Millisecond
)

// Stop performs a planned stop, which ends the daemon without cutting off
// requests: the readiness check fails, and once callers have switched to other
// daemons, their requests are refused and peers are notified to send none. The
// daemon ends once no request is in flight. Stop returns an error if requests
// were still in flight at exitShare of the shutdown grace period, or when ctx
// ended. These are cut off, and answered as such.
func (d *Daemon) Stop(ctx context.Context) error {
	began := time.Now()
	grace := d.cfg.Settings.ShutdownGrace.Std()
	d.stopping.Store(true)
	knownAt := began.Add(minUnreadyTime)
	closeEntryAt := began.Add(share(grace, closeEntryShare))
	exitAt := began.Add(exitTime(grace))
	endAt := began.Add(share(grace, endShare))
	processed := d.requestStop(ctx, exitAt)
	d.proxy.BeginStop(proxy.StopPlan{KnownAt: knownAt, EndsAt: exitAt})
	waitUntil(ctx, closeEntryAt, func() bool { return !time.Now().Before(knownAt) && d.callersQuiet() })
	d.proxy.CloseEntry()
	d.peers.StartDraining()
	d.broadcastState()
	waitUntil(ctx, earlier(exitAt, time.Now().Add(drainNoticeTime)), d.server.DrainConfirmed)
	sleep(ctx, min(lastRequestTime, time.Until(exitAt)))
	waitUntil(ctx, exitAt, d.idle)
	cancelledAt := time.Now().Add(cancelNoticeTime)
	waitUntil(ctx, earlier(exitAt, cancelledAt), d.peers.CancellationsConfirmed)
	d.awaitMemberCalls(ctx, exitAt, processed)
	entering, running := d.proxy.InFlight()
	if !d.idle() {
		d.proxy.CutOff()
		waitUntil(ctx, earlier(endAt, time.Now().Add(cutOffTime)), d.idle)
	}
	d.log.Event(event.DaemonStopped, zap.Int64("entering", entering), zap.Int64("running", running),
		zap.Duration("took", time.Since(began)))
	d.close(ctx, endAt)
	if entering+running > 0 {
		return fmt.Errorf("%d requests of callers and %d at the upstream were cut off", entering, running)
	}
	return nil
}

// requestStop passes the stop to the control loop, which has until end to process it. The
// returned channel is closed once it has. What callers and peers get during a stop does not
// depend on it: a loop that hangs must not use up their time.
func (d *Daemon) requestStop(ctx context.Context, end time.Time) (processed <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		bounded, cancel := context.WithDeadline(ctx, end)
		defer cancel()
		if err := d.loop.do(bounded, control.StopRequested{UpstreamRuns: d.proxy.UpstreamRunsOn(bounded)}); err != nil {
			d.log.Warn(event.DaemonStopping, zap.Error(err))
			return
		}
		close(done)
	}()
	return done
}

// awaitMemberCalls waits until the control loop has processed the stop and the calls for the
// member entry have ended, at most until end. The removal of the entry must not be cancelled by
// the daemon's end.
func (d *Daemon) awaitMemberCalls(ctx context.Context, end time.Time, processed <-chan struct{}) {
	bounded, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	select {
	case <-processed:
	case <-bounded.Done():
		return
	}
	ended := make(chan struct{})
	go func() {
		d.memberCallsLeft.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-bounded.Done():
	}
}

// callersQuiet reports whether callers have stopped sending requests: none is
// connected, or none has sent a request for quietPeriod and no request is in
// flight.
func (d *Daemon) callersQuiet() bool {
	if d.connections.Load() == 0 {
		return true
	}
	last := time.Duration(d.lastRequest.Load())
	return time.Since(d.started)-last >= quietPeriod && d.idle()
}

// idle reports whether no request of a caller or of a peer is in flight, waits on the
// connection on which it was received, or has an answer that was not written.
func (d *Daemon) idle() bool {
	entering, running := d.proxy.InFlight()
	return entering+running == 0 && d.callers.AllAnswered() && d.server.AllReplied()
}

// close closes the connections of peers, then those of callers, once each request that was
// read from them is answered, and then everything else. It waits up to closePeersTime for
// peers and up to closeCallersTime for callers, or longer for answers to the requests that were
// read last, but not beyond end. Callers come last: until then, they are told that the daemon
// accepts no requests.
func (d *Daemon) close(ctx context.Context, end time.Time) {
	peersEnd := earlier(end.Add(-closeCallersTime), time.Now().Add(closePeersTime))
	bounded, cancel := context.WithDeadline(ctx, peersEnd)
	defer cancel()
	d.server.CloseGently(bounded)
	if err := d.callers.StopAccepting(stopAcceptingTime); err != nil {
		d.log.Warn(event.DaemonStopped, zap.String("while", "closing the listener for callers"), zap.Error(err))
	}
	d.callers.Drain()
	waitUntil(ctx, earlier(end, time.Now().Add(closeCallersTime)), func() bool { return d.callers.Open() == 0 })
	waitUntil(ctx, end, d.callers.AllAnswered)
	if open := d.callers.Open(); open > 0 {
		d.log.Warn(event.DaemonStopped, zap.String("while", "closing the connections of callers"), zap.Int("open", open))
	}
	d.closeAll()
}

// Abort ends the daemon immediately and cuts off requests in flight.
func (d *Daemon) Abort() {
	d.stopping.Store(true)
	d.closeAll()
}

// closeAll closes all listeners and all connections of callers and peers, and
// ends the background goroutines.
func (d *Daemon) closeAll() {
	for _, closer := range d.closers {
		if err := closer(); err != nil {
			d.log.Warn(event.DaemonStopped, zap.String("while", "closing a listener"), zap.Error(err))
		}
	}
	d.server.Close()
	d.peers.Close()
	d.cancel()
}

// exitTime returns the time after which a stop with the grace period does not wait any longer
// for requests in flight.
func exitTime(grace time.Duration) time.Duration {
	latest := min(share(grace, exitShare), grace-minExitTime)
	return max(latest, share(grace, closeEntryShare))
}

// share returns a fraction of a duration.
func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitUntil polls done until it returns true, end has passed or ctx ends.
func waitUntil(ctx context.Context, end time.Time, done func() bool) {
	for time.Now().Before(end) && ctx.Err() == nil && !done() {
		sleep(ctx, stopPollInterval)
	}
}
