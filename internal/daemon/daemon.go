// Package daemon assembles and runs a daemon: it opens the listeners, drives
// the control reducer on one goroutine, performs the reducer's effects, and
// serves requests.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/bootclock"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/freshness"
	"godwitmount/internal/hop"
	"godwitmount/internal/manifest"
	"godwitmount/internal/pipeline"
	"godwitmount/internal/proxy"
	"godwitmount/internal/quota"
	"godwitmount/internal/rollout"
	"godwitmount/internal/settings"
	"godwitmount/internal/shaping"
	"godwitmount/internal/store"
	"godwitmount/internal/version"
)

const (
	// bitsPerKilobit converts the unit of the link's rate in the settings.
	bitsPerKilobit = 1000
	// percent and perMille convert percentages and thousandths to shares.
	percent  = 100
	perMille = 1000
	// bodyMemoryDivisor is what the memory limit is divided by to get the memory of the
	// upstream's answers that are being read.
	bodyMemoryDivisor = 2
)

// Platform holds what the daemon needs from the platform that it runs on.
type Platform struct {
	Store store.Store
	// ConfigTable and ConfigKey name the store row that holds the configuration.
	ConfigTable string
	ConfigKey   string
	// ParseConfig decodes the row's value into a version and a manifest.
	ParseConfig func([]byte) (uint64, *manifest.Manifest, error)
	Headers     proxy.Headers
	// ParentID returns the parent's id that the given request id contains, or ""
	// if it contains none. The request is nested only if the parent is running at
	// the local upstream, which package proxy checks.
	ParentID func(id string) string
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string
	// Rollouts names the rows about rollouts. They are used only if the settings enable
	// rollouts.
	Rollouts RolloutRows
	// NewReportHandler returns the HTTP handler for the local upstream's
	// reports. The handler calls apply with each valid report, and rejected with
	// the error of each report that is invalid or for which apply failed.
	NewReportHandler func(apply func(control.UpstreamReport) error, rejected func(error)) http.Handler
}

// Config holds the parameters of a daemon.
type Config struct {
	Settings *settings.Daemon
	Platform Platform
	Log      *asynclog.Logger
	// BootClock reads the clock that goes on while the machine is suspended; nil means
	// that of the machine.
	BootClock func() time.Duration
	// ReadSettings reads the settings again; nil if they do not change.
	ReadSettings func() (*settings.Daemon, error)
}

// Daemon is a running daemon.
type Daemon struct {
	cfg Config
	log *asynclog.Logger
	// background is the context of the daemon's goroutines; cancel ends it.
	background context.Context
	// storeWatcher passes this daemon's role in watching the store to watchConfig;
	// a value in readOnce makes it read the configuration once.
	storeWatcher chan control.SetStoreWatcher
	readOnce     chan struct{}
	// readMembers makes watchMembers read the member table at once.
	readMembers chan struct{}
	cancel      context.CancelFunc
	// freshness proves that the configuration in force is recent; nil unless the
	// settings require that. A value in proveOnce makes watchConfig read the
	// configuration once for a newer proof.
	freshness *freshness.SharedTracker
	proveOnce chan struct{}

	loop  *loop
	peers *proxy.Peers
	proxy *proxy.Proxy
	// server serves peers, callerServer callers, whose connections callers holds.
	server       *hop.Server
	callerServer *http.Server
	callers      *pipeline.Listener
	// closers close the listeners and the servers on them.
	closers  []func() error
	registry *prometheus.Registry
	// rollouts follows rollouts; nil if the settings disable them.
	rollouts *rolloutControl
	// storeMetrics are those that the control loop updates.
	storeMetrics *storeMetrics
	// ready is set once a readiness check has succeeded, so that only the first
	// one is logged.
	ready    atomic.Bool
	stopping atomic.Bool
	// effective holds the settings in force; reloadMu guards it.
	effective settings.Daemon
	reloadMu  sync.Mutex
	// connections is the number of open connections from callers.
	connections atomic.Int64
	// memberCalls orders the writes of this daemon's member entry, so that none
	// follows its removal; memberCallsLeft counts those that have not ended.
	memberCalls     sync.Mutex
	memberCallsLeft sync.WaitGroup
	// storeVersion is the version of the configuration that the store returned last.
	storeVersion atomic.Uint64
	// newestRejected is set while the newest configuration that the store has returned is
	// rejected, and rejectedAt is when it was last. The reader of the configuration sets both,
	// and only it reads rejectedAt.
	newestRejected atomic.Bool
	rejectedAt     time.Time
	// storeAddressChanges counts how often the store's address was changed.
	storeAddressChanges atomic.Int64
	// acknowledgements is held while it is to be recorded that the upstream leaves.
	acknowledgements gate
	// removed is set once the entry is to be removed.
	removed atomic.Bool
	// lastRequest is when the last request of a caller began, in nanoseconds
	// since started.
	lastRequest atomic.Int64
	started     time.Time
}

// Start opens the listeners and starts serving. The caller must end the daemon
// with Stop or Abort.
func Start(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: cfg.Log, registry: prometheus.NewRegistry(), started: time.Now(),
		effective: *cfg.Settings, storeWatcher: make(chan control.SetStoreWatcher, 1), readOnce: make(chan struct{}, 1),
		readMembers: make(chan struct{}, 1), proveOnce: make(chan struct{}, 1)}
	if d.cfg.BootClock == nil {
		d.cfg.BootClock = bootclock.Now
	}
	cfg.Platform.Store.SetClock(d.cfg.BootClock)
	d.background, d.cancel = context.WithCancel(context.Background())
	if err := d.build(); err != nil {
		d.cancel()
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.Abort()
		return nil, err
	}
	go d.loop.run(d.background)
	go d.rollouts.run(d.background)
	go d.watchConfig(d.background)
	go d.watchMembers(d.background)
	go d.keepProof(d.background)
	go d.proxy.RunQuotas(d.background)
	s := cfg.Settings
	d.log.Event(event.DaemonStarted, zap.String("data_centre", s.DataCentre),
		zap.String("service", s.Service), zap.String("callers", s.CallerListen), zap.String("peers", s.PeerListen),
		zap.String("release", version.Get().String()))
	return d, nil
}

// build creates the daemon's components and connects them.
func (d *Daemon) build() error {
	s := d.cfg.Settings
	self := control.Member{Instance: s.Instance, DataCentre: s.DataCentre, Address: s.PeerAddress(), Service: s.Service}
	core := control.New(control.Config{Self: self, HeartbeatInterval: s.HeartbeatInterval.Std(), UpstreamAddress: s.UpstreamAddress})
	d.loop = newLoop(core, d.perform, d.log)
	d.rollouts = newRolloutControl(d)
	if err := registerRolloutMetrics(d.registry, d.rollouts); err != nil {
		return err
	}
	eras := d.cfg.Platform.Store.Eras()
	eras.SetListener(d.eraListener())
	storeMetrics, err := newStoreMetrics(d.registry, eras)
	if err != nil {
		return fmt.Errorf("create store metrics: %w", err)
	}
	d.storeMetrics = storeMetrics
	d.freshness = d.newFreshness()
	if err := d.registerRejectedMetric(); err != nil {
		return fmt.Errorf("create configuration metric: %w", err)
	}
	if err := d.registerProofMetrics(); err != nil {
		return fmt.Errorf("create proof metrics: %w", err)
	}
	link := shaping.NewLink(s.LinkKbps * bitsPerKilobit)
	d.peers = proxy.NewPeers(self, d.peerCallbacks(), link, d.log)
	dataPath, err := proxy.New(proxy.Config{
		Instance:     s.Instance,
		DataCentre:   s.DataCentre,
		Service:      s.Service,
		Headers:      d.cfg.Platform.Headers,
		ParentID:     d.cfg.Platform.ParentID,
		RetryPercent: s.RetryPercent,
		RetryExtra:   s.RetryExtra,
		RetryWindow:  s.RetryWindow.Std(),
		BodyMemory:   s.MemoryLimitBytes / bodyMemoryDivisor,
		ExposeShare:  float64(s.ExposePerMille) / perMille,
		Quota: quota.Params{
			Window: s.QuotaWindow.Std(),
			Excess: float64(s.QuotaExcessPercent) / percent,
			Slack:  float64(s.QuotaSlack),
		},
	}, proxy.Deps{
		Peers:             d.peers,
		ReportUnreachable: func(upstream string) { d.loop.post(control.UpstreamUnreachable{ID: upstream}) },
		ReportStalled:     func(upstream string) { d.loop.post(control.UpstreamStalled{ID: upstream}) },
		ReportLeaving: func(upstream string, startTime int64) {
			d.loop.post(control.UpstreamLeaving{ID: upstream, StartTime: startTime})
		},
		BroadcastState: d.broadcastState,
		Freshness:      d.freshness,
		BootClock:      d.cfg.BootClock,
		Log:            d.log,
		Registerer:     d.registry,
	})
	if err != nil {
		return fmt.Errorf("create data path: %w", err)
	}
	d.proxy = dataPath
	d.peers.SetState(d.fullState, d.pingState)
	d.peers.SetFreshness(d.freshness)
	d.server = hop.NewServer(proxy.Hello(self), hopHandler{d}, link)
	return nil
}

// peerCallbacks returns the functions that pass the messages and the
// reachability of peers to the control loop and to the data path.
func (d *Daemon) peerCallbacks() proxy.Listener {
	return proxy.Listener{
		StateReceived: d.handlePeerState,
		ReachabilityChanged: func(instance string, reachable bool) {
			d.loop.post(control.PeerReachability{Instance: instance, Reachable: reachable})
			d.rollouts.post(rollout.PeerReachability{Instance: instance, Reachable: reachable})
		},
		StoreAvailabilityChanged: func(instance string, unavailable bool) {
			d.loop.post(control.PeerStoreAvailability{Instance: instance, Unavailable: unavailable})
		},
		DrainRecordReceived: d.upstreamWasDraining,
	}
}

// eraListener returns the functions that handle the era of the store's answers.
func (d *Daemon) eraListener() store.EraListener {
	return store.EraListener{
		Advanced: func(era store.Era) { d.loop.post(control.StoreEra{Era: era}) },
		Unreadable: func(text string) {
			d.log.Event(event.StoreEraMissing, zap.String("header", text))
		},
	}
}

// upstreamWasDraining handles a peer's record that the local upstream was
// draining; nil means that the peer has none.
func (d *Daemon) upstreamWasDraining(drained *hopv1.Left) {
	if drained != nil {
		d.loop.post(control.DrainRecordReceived{ID: drained.GetUpstream(), StartTime: drained.GetBorn()})
	}
}

// handlePeerState handles the state that a peer reported: its configuration
// version and the store's era, if newer than the known ones, and its crash
// suspects, that is, requests that were running when an upstream crashed.
func (d *Daemon) handlePeerState(instance string, state *hopv1.State) {
	d.rollouts.peerState(instance, state)
	version := state.GetConfigVersion()
	if t := d.proxy.ActiveTable(); version > 0 && (t == nil || version > t.Version) {
		d.loop.post(control.PeerConfigVersion{Instance: instance, Version: version, Stopping: state.GetStopping()})
	}
	if era := store.Era(state.GetStoreEra()); era > d.cfg.Platform.Store.Eras().Latest() {
		d.loop.post(control.PeerStoreEra{Instance: instance, Era: era})
	}
	d.peerProved(state)
	if len(state.GetSuspects()) > 0 {
		d.proxy.MergeSuspects(state.GetSuspects())
	}
}

// broadcastState sends this daemon's state to all connected peers.
func (d *Daemon) broadcastState() { d.server.Broadcast(d.fullState()) }

// fullState returns the state for handshakes that this daemon begins and for broadcasts,
// with the crash suspects and all rollouts.
func (d *Daemon) fullState() *hopv1.State {
	return d.rollouts.addTo(d.proxy.StateWithSuspects(), true)
}

// pingState returns the state for pings and pongs, with only the rollouts in progress.
func (d *Daemon) pingState() *hopv1.State { return d.rollouts.addTo(d.proxy.State(), false) }

// TakesWork reports whether the local upstream accepts requests.
func (d *Daemon) TakesWork() bool { return d.proxy.State().GetTakesWork() }

// UsablePeers returns the number of reachable daemons whose upstream accepts
// requests. This daemon is not counted.
func (d *Daemon) UsablePeers() int { return d.peers.UsablePeers() }
