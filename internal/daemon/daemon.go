// Package daemon runs one daemon: it listens, drives the control reducer on
// one goroutine, carries out its effects, and serves requests on others.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/hop"
	"godwitmount/internal/logbook"
	"godwitmount/internal/manifest"
	"godwitmount/internal/proxy"
	"godwitmount/internal/settings"
	"godwitmount/internal/status"
	"godwitmount/internal/store"
	"godwitmount/internal/version"
)

const (
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is longer than callers may keep a connection idle, so
	// that none is closed just as it is used again.
	callerIdleTimeout = time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
	// reportTimeout bounds taking an upstream's report.
	reportTimeout = 900 * time.Millisecond
)

// Platform is what the daemon needs of the platform it runs on.
type Platform struct {
	Store store.Store
	// ConfigTable and ConfigKey name the row that holds the configuration.
	ConfigTable string
	ConfigKey   string
	// ParseConfig decodes the row's value.
	ParseConfig func([]byte) (uint64, *manifest.Manifest, error)
	Headers     proxy.Headers
	// ParentID tells which request an upstream made another one for.
	ParentID func(id string) string
	// ReadyPath is asked whether the daemon takes requests.
	ReadyPath string
	// Reports serves the reports of the upstream beside the daemon.
	Reports func(take func(control.UpstreamReport) error, refused func(error)) http.Handler
}

// Config is what a daemon is started with.
type Config struct {
	Settings *settings.Daemon
	Platform Platform
	Log      *logbook.Book
}

// Daemon is one running daemon.
type Daemon struct {
	cfg        Config
	log        *logbook.Book
	background context.Context
	// duty tells the watch of the configuration whether to wait at the store,
	// and read makes it look once.
	duty   chan bool
	read   chan struct{}
	cancel context.CancelFunc

	loop    *loop
	peers   *proxy.Peers
	proxy   *proxy.Proxy
	server  *hop.Server
	callers *http.Server
	// closers end what listens.
	closers  []func() error
	registry *prometheus.Registry
	ready    atomic.Bool
	stopping atomic.Bool
	// taken are the settings in force; reload is held while they change.
	taken  settings.Daemon
	reload sync.Mutex
	// connections are those of callers that are open.
	connections atomic.Int64
	// lastRequest is when the last request of a caller began, in nanoseconds
	// since the process started.
	lastRequest atomic.Int64
	started     time.Time
}

// Start opens the listeners and begins to serve. The caller ends the daemon
// with Stop.
func Start(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: cfg.Log, registry: prometheus.NewRegistry(), started: time.Now(),
		taken: *cfg.Settings, duty: make(chan bool, 1), read: make(chan struct{}, 1)}
	d.background, d.cancel = context.WithCancel(context.Background())
	if err := d.build(); err != nil {
		d.cancel()
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.cancel()
		return nil, err
	}
	go d.loop.run(d.background)
	go d.watchConfig(d.background)
	go d.watchMembers(d.background)
	s := cfg.Settings
	d.log.Event(event.DaemonStarted, zap.String("data_centre", s.DataCentre),
		zap.String("service", s.Service), zap.String("callers", s.CallerListen), zap.String("peers", s.PeerListen),
		zap.String("release", version.Get().String()))
	return d, nil
}

// build makes the daemon's parts and joins them.
func (d *Daemon) build() error {
	s := d.cfg.Settings
	self := control.Member{Instance: s.Instance, DataCentre: s.DataCentre, Address: s.PeerAddress(), Service: s.Service}
	core := control.New(control.Config{Self: self, Heartbeat: s.Heartbeat.Std(), UpstreamAddress: s.UpstreamAddress})
	d.loop = newLoop(core, d.perform, d.log)
	d.peers = proxy.NewPeers(self, d.listener(), d.log)
	path, err := proxy.New(proxy.Config{
		Instance:     s.Instance,
		DataCentre:   s.DataCentre,
		Service:      s.Service,
		Headers:      d.cfg.Platform.Headers,
		ParentID:     d.cfg.Platform.ParentID,
		RetryPercent: s.RetryPercent,
		RetryExtra:   s.RetryExtra,
		RetryWindow:  s.RetryWindow.Std(),
	}, proxy.Deps{
		Peers:      d.peers,
		Lost:       func(upstream string) { d.loop.post(control.UpstreamLost{ID: upstream}) },
		Stalled:    func(upstream string) { d.loop.post(control.UpstreamStalled{ID: upstream}) },
		Tell:       d.tell,
		Log:        d.log,
		Registerer: d.registry,
	})
	if err != nil {
		return fmt.Errorf("data path: %w", err)
	}
	d.proxy = path
	d.peers.SetState(path.Greeting)
	d.server = hop.NewServer(proxy.Hello(self), hopHandler{d})
	return nil
}

// listener hands what peers say to the control loop.
func (d *Daemon) listener() proxy.Listener {
	return proxy.Listener{
		Heard: d.heard,
		Reached: func(instance string, up bool) {
			d.loop.post(control.PeerReached{Instance: instance, Up: up})
		},
		Store: func(instance string, lost bool) {
			d.loop.post(control.PeerStore{Instance: instance, Lost: lost})
		},
		Reminded: d.reminded,
	}
}

// reminded takes what a peer remembers of the upstream beside this daemon.
func (d *Daemon) reminded(left *hopv1.Left) {
	if left != nil {
		d.loop.post(control.UpstreamReminded{ID: left.GetUpstream(), Born: left.GetBorn()})
	}
}

// heard takes a peer's state.
func (d *Daemon) heard(instance string, state *hopv1.State) {
	version := state.GetConfigVersion()
	if t := d.proxy.TableInForce(); version > 0 && (t == nil || version > t.Version) {
		d.loop.post(control.PeerHeard{Instance: instance, Version: version})
	}
	if len(state.GetSuspects()) > 0 {
		d.proxy.Suspected(state.GetSuspects())
	}
}

// tell sends the own state to all peers.
func (d *Daemon) tell() { d.server.Tell(d.proxy.Greeting()) }

// listen opens all listeners and serves them.
func (d *Daemon) listen() error {
	s := d.cfg.Settings
	peers, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.closers = append(d.closers, peers.Close)
	go func() { d.served("peers", d.server.Serve(peers)) }()
	d.callers = newServer(d.callerHandler())
	d.callers.IdleTimeout = callerIdleTimeout
	d.callers.ConnState = d.countConnection
	servers := []struct {
		address string
		server  *http.Server
	}{
		{s.CallerListen, d.callers},
		{s.AnnounceListen, newServer(d.cfg.Platform.Reports(d.takeReport, d.refuseReport))},
		{s.ReadyListen, newServer(d.readyHandler())},
		{s.MetricsListen, newServer(d.metricsHandler())},
	}
	for _, each := range servers {
		if each.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		d.closers = append(d.closers, each.server.Close)
		go func() { d.served(each.address, each.server.Serve(listener)) }()
	}
	return nil
}

func (d *Daemon) served(what string, err error) {
	if !errors.Is(err, http.ErrServerClosed) && !d.stopping.Load() {
		d.log.Warn(event.ListenFailed, zap.String("listener", what), zap.Error(err))
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (d *Daemon) callerHandler() http.Handler {
	handler := d.proxy.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.lastRequest.Store(int64(time.Since(d.started)))
		handler.ServeHTTP(w, r)
	})
}

func (d *Daemon) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		d.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		d.connections.Add(-1)
	}
}

// takeReport returns once the upstream's report is in force.
func (d *Daemon) takeReport(report control.UpstreamReport) error {
	ctx, cancel := context.WithTimeout(d.background, reportTimeout)
	defer cancel()
	return d.loop.do(ctx, report)
}

func (d *Daemon) refuseReport(err error) { d.log.Warn(event.ReportRefused, zap.Error(err)) }

// readyHandler tells whether the daemon takes requests.
func (d *Daemon) readyHandler() http.Handler {
	e := echo.New()
	e.GET(d.cfg.Platform.ReadyPath, func(c echo.Context) error {
		ready := d.proxy.TableInForce() != nil && !d.stopping.Load()
		if ready && !d.ready.Swap(true) {
			d.log.Event(event.DaemonReady, zap.Uint64("config", d.proxy.TableInForce().Version))
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
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})))
	return e
}

// status is what the daemon tells operators.
func (d *Daemon) status() status.Daemon {
	s := d.proxy.Status()
	s.Instance = d.cfg.Settings.Instance
	s.DataCentre = d.cfg.Settings.DataCentre
	s.Release = version.Get().String()
	s.Stopping = d.stopping.Load()
	s.Peers = d.peers.Status()
	return s
}

// Usable returns how many other daemons have an upstream that takes requests.
func (d *Daemon) Usable() int { return d.peers.Usable() }

// hopHandler serves peers.
type hopHandler struct{ d *Daemon }

// Execute implements hop.Handler.
func (h hopHandler) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	return h.d.proxy.ExecuteFor(ctx, request)
}

// Config implements hop.Handler.
func (h hopHandler) Config() *hopv1.ConfigAnswer {
	t := h.d.proxy.TableInForce()
	if t == nil {
		return &hopv1.ConfigAnswer{}
	}
	return &hopv1.ConfigAnswer{Version: t.Version, Packed: t.Packed}
}

// State implements hop.Handler.
func (h hopHandler) State() *hopv1.State { return h.d.proxy.State() }

// Left implements hop.Handler.
func (h hopHandler) Left(instance string) *hopv1.Left { return h.d.peers.Left(instance) }

// Greeted implements hop.Handler.
func (h hopHandler) Greeted(hello *hopv1.Hello) {
	h.d.reminded(hello.GetLeft())
	h.d.loop.post(control.PeerGreeted{Member: control.Member{
		Instance:   hello.GetInstance(),
		DataCentre: hello.GetDataCentre(),
		Address:    hello.GetAddress(),
		Service:    hello.GetService(),
	}})
	h.Heard(hello.GetInstance(), hello.GetState())
}

// Heard implements hop.Handler.
func (h hopHandler) Heard(instance string, state *hopv1.State) { h.d.peers.Heard(instance, state) }
