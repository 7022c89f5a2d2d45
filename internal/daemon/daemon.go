// Package daemon runs one daemon: it listens, drives the control reducer on
// one goroutine, carries out its effects, and serves calls on others.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"godwitmount/gen/godwitmount/peer/v1/peerv1connect"
	"godwitmount/internal/claim"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/membership"
	"godwitmount/internal/platform"
	"godwitmount/internal/proxy"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/routing"
	"godwitmount/internal/settings"
	"godwitmount/internal/step"
	"godwitmount/internal/version"
)

const (
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
	// serverIdleTimeout closes an idle connection. It is longer than the data
	// path keeps its own, so that a server never closes one about to be used.
	serverIdleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds a request's headers before the data path sees it.
	maxHeaderBytes = 64 << 10
	// compressMinBytes is the smallest control message that is worth the memory
	// of a compressor, near 1 MB.
	compressMinBytes = 4 << 10
	// leaveSpread is how long a stopping daemon goes on after its work is done,
	// so that peers learn of its leaving first.
	leaveSpread = 500 * time.Millisecond
)

// Config is what a daemon is started with.
type Config struct {
	Settings *settings.Daemon
	Log      *zap.Logger
	// Dial opens connections to peers; nil dials directly.
	Dial DialFunc
	// Gossip wraps the datagram transport; nil uses it as it is.
	Gossip func(membership.Transport) membership.Transport
}

// Addresses are the listening addresses in use, as host:port.
type Addresses struct {
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	Local  string `json:"local"`
	// Instance is the daemon's instance id.
	Instance string `json:"instance"`
}

// Daemon is one running daemon.
type Daemon struct {
	cfg      Config
	log      *zap.Logger
	instance string
	// background ends when the daemon has stopped.
	background context.Context
	cancel     context.CancelFunc

	listeners  listeners
	servers    []*http.Server
	loop       *loop
	gossip     membership.Transport
	peers      *peerClients
	store      platform.Store
	service    *peerService
	proxy      *proxy.Proxy
	claims     *claim.Client
	quarantine *quarantine.Set
	metrics    *metrics
	traffic    *traffic

	snapshot        atomic.Pointer[routing.Snapshot]
	upstreamAddress atomic.Pointer[string]
	// ready is set once all parts are made.
	ready    atomic.Bool
	stopping atomic.Bool
}

// Start opens the listeners and begins to serve. The caller ends the daemon
// with Stop.
func Start(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: cfg.Log}
	d.loop = newLoop(time.Now(), cfg.Log)
	opened, err := listen(cfg.Settings, d.openGossip)
	if err != nil {
		return nil, err
	}
	d.listeners = opened
	d.gossip = opened.gossip
	d.instance = cfg.Settings.InstanceID(opened.peer.Addr().String())
	d.background, d.cancel = context.WithCancel(context.Background())
	if err := d.build(); err != nil {
		d.cancel()
		opened.close()
		return nil, err
	}
	d.serve()
	return d, nil
}

// build makes the daemon's parts and joins them.
func (d *Daemon) build() error {
	s := d.cfg.Settings
	registry := prometheus.NewRegistry()
	d.metrics = newMetrics(registry)
	d.traffic = newTraffic(registry)
	d.peers = newPeerClients(d.traffic.countDial(d.controlDial()))
	d.store = newStore(s.PlatformURL)
	d.quarantine = quarantine.NewSet()

	incarnation := uint64(d.loop.start.UnixMilli())
	d.loop.core = control.New(d.controlConfig(incarnation), d.loop.moment())
	d.loop.perform = d.perform
	d.claims = claim.NewClient(claim.DefaultClientConfig(s.Mesh), claimCaller{daemon: d})

	path, err := proxy.New(proxy.Config{
		Instance:    d.instance,
		Incarnation: incarnation,
		DataCentre:  s.DataCentre,
	}, proxy.Deps{
		Snapshot:   d.snapshot.Load,
		Claims:     d.claims,
		Fences:     claim.NewFences(claim.DefaultFenceConfig(), time.Now),
		Quarantine: d.tracker(),
		FencePeer:  d.fencePeer,
		DialPeer:   proxy.DialFunc(d.cfg.Dial),
		Report:     d.report,
		Log:        d.log,
		Registerer: registry,
	})
	if err != nil {
		return fmt.Errorf("data path: %w", err)
	}
	d.proxy = path
	d.service = &peerService{mesh: s.Mesh, loop: d.loop, fence: path.FenceAttempt}
	d.metrics.watch(d)
	d.servers = []*http.Server{
		newServer(path.CallerHandler()),
		newServer(d.peerHandler()),
		newServer(d.localHandler(registry)),
	}
	return nil
}

// peerHandler serves control calls and, on all other paths, calls from other
// daemons to the local upstream.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	compress := connect.WithCompressMinBytes(compressMinBytes)
	mux.Handle(peerv1connect.NewPeerServiceHandler(d.service, compress))
	mux.Handle(peerv1connect.NewOperatorServiceHandler(d.service, compress))
	data := d.proxy.PeerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(proxy.HeaderAttempt) != "" {
			data.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve starts the goroutines.
func (d *Daemon) serve() {
	d.ready.Store(true)
	go d.loop.run(d.background)
	for i, listener := range d.listeners.tcp() {
		go d.serveHTTP(d.servers[i], listener)
	}
	event.DaemonStarted.Info(d.log,
		zap.String("instance", d.instance),
		zap.String("data_centre", d.cfg.Settings.DataCentre),
		zap.String("release", version.Get().String()),
		zap.Any("addresses", d.Addresses()))
}

func (d *Daemon) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		event.ListenFailed.Error(d.log, zap.Error(err))
	}
}

// openGossip listens for datagrams; each becomes an event.
func (d *Daemon) openGossip(address string) (membership.Transport, error) {
	udp, err := membership.ListenUDP(address, d.cfg.Settings.Mesh, d.takePacket)
	if err != nil {
		return nil, err
	}
	if d.cfg.Gossip == nil {
		return udp, nil
	}
	return d.cfg.Gossip(udp), nil
}

// takePacket counts a datagram and hands it to the control loop.
func (d *Daemon) takePacket(ev step.Event) {
	if received, ok := ev.(membership.PacketReceived); ok && d.ready.Load() {
		d.traffic.countReceived(received.From, proto.Size(received.Packet))
	}
	d.loop.post(ev)
}

// report takes what the data path saw.
func (d *Daemon) report(ev step.Event) {
	if _, lost := ev.(proxy.LocalUpstreamLost); lost {
		d.loop.post(control.UpstreamLost{})
	}
}

// Addresses returns the addresses in use.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.listeners.caller.Addr().String(),
		Peer:     d.listeners.peer.Addr().String(),
		Local:    d.listeners.local.Addr().String(),
		Instance: d.instance,
	}
}
