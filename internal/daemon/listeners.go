package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/pipeline"
	"godwitmount/internal/status"
	"godwitmount/internal/version"
)

const (
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is longer than callers may keep a connection idle, so
	// that the daemon does not close one just as the caller reuses it.
	callerIdleTimeout = time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// reportTimeout bounds applying an upstream's report.
	reportTimeout = 900 * time.Millisecond
)

// listen opens all listeners and starts serving on them.
func (d *Daemon) listen() error {
	s := d.cfg.Settings
	peerListener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.closers = append(d.closers, peerListener.Close)
	go func() { d.logServeError("peers", d.server.Serve(peerListener)) }()
	d.callerServer = newServer(d.callerHandler())
	d.callerServer.IdleTimeout = callerIdleTimeout
	d.callerServer.ConnState = d.connectionChanged
	d.callerServer.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return pipeline.ConnContext(withConn(ctx, conn), conn)
	}
	endpoints := []struct {
		address string
		server  *http.Server
	}{
		{s.CallerListen, d.callerServer},
		{s.AnnounceListen, newServer(d.cfg.Platform.NewReportHandler(d.applyReport, d.logReportError))},
		{s.ReadyListen, newServer(d.readyHandler())},
		{s.MetricsListen, newServer(d.metricsHandler())},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if endpoint.server == d.callerServer {
			d.callers = pipeline.NewListener(listener, d.proxy.RecordUnserved)
			listener = d.callers
		}
		d.closers = append(d.closers, endpoint.server.Close)
		go func() { d.logServeError(endpoint.address, endpoint.server.Serve(listener)) }()
	}
	return nil
}

// logServeError logs why a server ended, unless it was closed on purpose.
func (d *Daemon) logServeError(listener string, err error) {
	if !errors.Is(err, http.ErrServerClosed) && !d.stopping.Load() {
		d.log.Warn(event.ListenFailed, zap.String("listener", listener), zap.Error(err))
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// callerHandler serves callers until they leave and records the time of their last
// request.
func (d *Daemon) callerHandler() http.Handler {
	handler := d.proxy.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.lastRequest.Store(int64(time.Since(d.started)))
		watched, stop := watchCaller(r)
		defer stop()
		handler.ServeHTTP(w, watched)
	})
}

// connectionChanged counts the open connections of callers.
func (d *Daemon) connectionChanged(conn net.Conn, state http.ConnState) {
	pipeline.ConnState(conn, state)
	if pipeline.IsBranch(conn) {
		return
	}
	switch state {
	case http.StateNew:
		d.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		d.connections.Add(-1)
	}
}

// applyReport returns nil once the control loop has processed the upstream's
// report, also if the report was ignored as outdated. That the upstream leaves must be on
// the store by then. It returns an error if that takes longer than reportTimeout or the
// daemon has ended.
func (d *Daemon) applyReport(report control.UpstreamReport) error {
	ctx, cancel := context.WithTimeout(d.background, reportTimeout)
	defer cancel()
	if report.State != control.UpstreamDeregistered {
		d.readChangedService(report.Service)
	}
	if err := d.loop.do(ctx, report); err != nil || report.State == control.UpstreamReady {
		return err
	}
	if err := d.acknowledgements.wait(ctx); err != nil {
		return fmt.Errorf("record that the upstream leaves: %w", err)
	}
	return nil
}

func (d *Daemon) logReportError(err error) { d.log.Warn(event.ReportRefused, zap.Error(err)) }

// readyHandler serves the readiness check: status 200 while a configuration is in
// force and the daemon is not stopping, otherwise 503.
func (d *Daemon) readyHandler() http.Handler {
	e := echo.New()
	e.GET(d.cfg.Platform.ReadyPath, func(c echo.Context) error {
		ready := d.proxy.ActiveTable() != nil && !d.stopping.Load()
		if ready && !d.ready.Swap(true) {
			d.log.Event(event.DaemonReady, zap.Uint64("config", d.proxy.ActiveTable().Version))
		}
		if !ready {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func (d *Daemon) metricsHandler() http.Handler {
	e := echo.New()
	e.GET(status.Path, func(c echo.Context) error { return c.JSON(http.StatusOK, d.status()) })
	e.GET(status.RoutePath, d.explainRoute)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
	return e
}

// status returns the status that operators see.
func (d *Daemon) status() status.Daemon {
	s := d.proxy.Status()
	s.Instance = d.cfg.Settings.Instance
	s.DataCentre = d.cfg.Settings.DataCentre
	s.Release = version.Get().String()
	s.Stopping = d.stopping.Load()
	s.StoreEra = uint64(d.cfg.Platform.Store.Eras().Latest())
	s.Rollouts = d.rollouts.status()
	s.Peers = d.peers.Status()
	s.MembersUnread = d.proxy.MembersUnread()
	s.Quotas = d.proxy.QuotaStatus()
	return s
}
