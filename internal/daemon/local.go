package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"godwitmount/internal/announce"
	"godwitmount/internal/membership"
)

// localError is the body of an answer that refuses a local request.
type localError struct {
	Error string `json:"error"`
}

// localState is the body of /healthz and /readyz.
type localState struct {
	State string `json:"state"`
	// Config is the configuration in force, as version/digest.
	Config string `json:"config"`
}

// localHandler serves the loopback listener: the upstream's announcements,
// health, readiness and metrics.
func (d *Daemon) localHandler(registry *prometheus.Registry) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST(announce.Path, d.handleAnnounce)
	e.GET("/healthz", d.handleHealth)
	e.GET("/readyz", d.handleReady)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		// The listener is on loopback; a compressor costs near 1 MB of memory.
		DisableCompression: true,
	})))
	return e
}

func (d *Daemon) handleAnnounce(c echo.Context) error {
	announcement, err := announce.Decode(c.Request().Body)
	if err != nil {
		return c.JSON(http.StatusBadRequest, localError{Error: err.Error()})
	}
	d.upstreamAddress.Store(&announcement.Address)
	d.loop.post(membership.UpstreamAnnounced{
		Service: announcement.Service,
		Slots:   announcement.Slots,
		State:   announcement.UpstreamState(),
		TTL:     announcement.TTL(),
	})
	return c.NoContent(http.StatusNoContent)
}

// handleHealth tells that the process runs.
func (d *Daemon) handleHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, d.localState("running"))
}

// handleReady tells whether callers should be sent here.
func (d *Daemon) handleReady(c echo.Context) error {
	switch {
	case d.stopping.Load():
		return c.JSON(http.StatusServiceUnavailable, d.localState("stopping"))
	case d.snapshot.Load() == nil:
		return c.JSON(http.StatusServiceUnavailable, d.localState("no configuration"))
	default:
		return c.JSON(http.StatusOK, d.localState("ready"))
	}
}

func (d *Daemon) localState(state string) localState {
	config := "none"
	if snapshot := d.snapshot.Load(); snapshot != nil {
		config = snapshot.Config.String()
	}
	return localState{State: state, Config: config}
}
