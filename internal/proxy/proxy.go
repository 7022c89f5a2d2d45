// Package proxy is the data path of a daemon. As entry daemon it receives
// requests of callers, finds the route, chooses an upstream and answers the
// caller. As executing daemon it admits requests to the upstream beside it. Both
// run in one process when the daemon chooses its own upstream.
package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/admission"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/freshness"
	"godwitmount/internal/manifest"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/quota"
	"godwitmount/internal/routing"
	"godwitmount/internal/store"
	"godwitmount/internal/upstream"
)

// Headers holds the names of the headers that the data path reads and sets. They
// come from the platform.
type Headers struct {
	// RequestID identifies one attempt of a caller. The answer repeats it.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// Signature is set on every answer that an upstream itself produced.
	Signature string
	// Upstream names the only upstream that may run the request.
	Upstream string
	// NotRun marks an upstream's refusal of a request that it did not run.
	NotRun string
	// CallerService is the service on the machine that the request comes from.
	CallerService string
	// CustomerKey holds the key of the customer that the request is for. It is not
	// forwarded.
	CustomerKey string
	// Customer is the name of the customer that the request is for. Only daemons
	// set it.
	Customer string
	// RateLimit is how many requests a second the upstream takes from all daemons
	// together, on each of its answers while that holds.
	RateLimit string
	// Leaving marks the answers of an upstream that is about to end.
	Leaving string
}

// Config is the static configuration of the data path.
type Config struct {
	Instance   string
	DataCentre string
	Service    string
	Headers    Headers
	// ParentID returns the parent's id that the given request id contains, or ""
	// if it contains none. The data path treats the request as nested only if the
	// parent is running at the upstream beside this daemon.
	ParentID func(id string) string
	// RetryPercent, RetryExtra and RetryWindow bound the retries of a service
	// over all daemons: RetryPercent per 100 requests, plus RetryExtra, in a
	// sliding window of length RetryWindow. They come from the settings.
	RetryPercent int
	RetryExtra   int
	RetryWindow  time.Duration
	// ExposeShare is the share of a service's requests that may go to a new version of
	// its upstreams on trial; 0 disables rollouts.
	ExposeShare float64
	// BodyMemory bounds the memory of the upstream's answers that are being read, in bytes.
	BodyMemory int64
	// Quota bounds the requests of customers that have a limit.
	Quota quota.Params
}

// Deps holds the dependencies of the data path.
type Deps struct {
	// Peers holds the other daemons.
	Peers *Peers
	// ReportUnreachable is called when the upstream with the id accepts no
	// connections. It must not block.
	ReportUnreachable func(upstream string)
	// ReportStalled is called when stallTimeouts consecutive requests to the
	// upstream with the id timed out. It must not block.
	ReportStalled func(upstream string)
	// ReportLeaving is called when the upstream with the id and the start time announces
	// its end in an answer. It must not block.
	ReportLeaving func(upstream string, startTime int64)
	// BroadcastState sends this daemon's state to all peers immediately.
	BroadcastState func()
	// Freshness proves that the configuration in force is recent; nil if requests with
	// customers' keys need no such proof.
	Freshness *freshness.SharedTracker
	// BootClock reads the clock that goes on while the machine is suspended; nil means
	// the monotonic clock.
	BootClock  func() time.Duration
	Log        *asynclog.Logger
	Registerer prometheus.Registerer
}

// Proxy is the data path. All methods may be called from any goroutine.
type Proxy struct {
	cfg  Config
	deps Deps
	// epoch is the zero of the monotonic clock that the data path uses.
	epoch               time.Time
	metrics             *metrics
	admissionController *admission.Controller
	// admissionMu is held while it is opened or closed.
	admissionMu sync.Mutex
	client      *upstream.Client

	// service is the instance's service in the settings.
	service  atomic.Pointer[string]
	table    atomic.Pointer[Table]
	upstream atomic.Pointer[control.Upstream]
	// upstreamSince is when this incarnation of the upstream became known, in
	// nanoseconds since epoch.
	upstreamSince atomic.Int64
	// Once stopping is set, the answer to a caller's request closes its
	// connection; once entryClosed is set, callers' requests are refused.
	stopping    atomic.Bool
	entryClosed atomic.Bool
	// stopPlan is that of a planned stop; nil before it.
	stopPlan atomic.Pointer[StopPlan]
	// cut ends with cutOff: requests in flight are cut off.
	cut    context.Context
	cutOff context.CancelFunc
	// storeUnavailable is set while the store does not answer this daemon.
	storeUnavailable atomic.Bool
	// storeEra is the latest era of the store that this daemon has seen.
	storeEra atomic.Uint64
	// entryRequests counts callers' requests in flight, executingRequests those
	// admitted or waiting for the upstream.
	entryRequests     atomic.Int64
	executingRequests atomic.Int64
	// running holds the requests that run at the upstream.
	running runningRequests
	// consecutiveTimeouts counts the runs that timed out since the last answer
	// of the upstream or the last call of ReportStalled.
	consecutiveTimeouts atomic.Int64

	quotas         *quotas
	recentRefusals *refusals
	suspects       *quarantine.Set

	mu sync.Mutex
	// rttEstimator estimates the network round-trip time (RTT) to this daemon.
	rttEstimator routing.RTTEstimator
	// failures estimates the share of requests that the upstream fails.
	failures routing.FailureEstimator
	// nextSuspectReport is the earliest time of the next report of suspects to all
	// peers; suspectReportPending is set while one is to be sent.
	nextSuspectReport    time.Duration
	suspectReportPending bool
	// suspectsPushed is closed once pushSuspects has reported the suspects that are being
	// collected; nil while none are.
	suspectsPushed chan struct{}
	// budgets holds retry budgets by service, ruleBudgets by rule name.
	budgets     map[string]*routing.RetryBudget
	ruleBudgets map[string]*ruleBudget
	// notice is what the upstream's last answer said about the upstream.
	notice notice
	// routes holds what the requests of each route have needed.
	routes *routeProfiles
	// rollouts holds what the data path knows of rollouts.
	rollouts *rollouts
}

// Table is the compiled routes of one version of the configuration.
type Table struct {
	*manifest.Table
	Version uint64
	// Packed is the configuration as read from its source, compressed with gzip,
	// for peers that request it.
	Packed []byte
}

// New returns a data path without a configuration or an upstream. It returns an
// error if the metrics cannot be registered.
func New(cfg Config, deps Deps) (*Proxy, error) {
	epoch := time.Now()
	p := &Proxy{
		cfg:                 cfg,
		deps:                deps,
		epoch:               epoch,
		admissionController: admission.NewController(epoch),
		recentRefusals:      newRefusals(),
		suspects:            quarantine.NewSet(),
		budgets:             map[string]*routing.RetryBudget{},
		ruleBudgets:         map[string]*ruleBudget{},
		routes:              newRouteProfiles(),
	}
	p.client = upstream.NewClient(upstream.Headers{
		RequestID: cfg.Headers.RequestID,
		Signature: cfg.Headers.Signature,
		NotRun:    cfg.Headers.NotRun,
	}, cfg.BodyMemory)
	p.cut, p.cutOff = context.WithCancel(context.Background())
	p.upstream.Store(&control.Upstream{})
	p.SetService(cfg.Service)
	m, err := newMetrics(deps.Registerer, p)
	if err != nil {
		return nil, err
	}
	p.metrics = m
	if deps.BootClock == nil {
		deps.BootClock = p.now
	}
	p.deps = deps
	p.rollouts = newRollouts(deps.BootClock())
	p.quotas = newQuotas(cfg, deps, m.quotas)
	return p, nil
}

// now returns the monotonic time since epoch.
func (p *Proxy) now() time.Duration { return time.Since(p.epoch) }

// SetTable activates a configuration.
func (p *Proxy) SetTable(t *Table) {
	p.table.Store(t)
	p.metrics.customers.setCustomers(t.Manifest().Customers)
	p.quotas.setCustomers(t.Manifest().Customers)
	p.updateAdmission()
}

// ActiveTable returns the active configuration, or nil if there is none.
func (p *Proxy) ActiveTable() *Table { return p.table.Load() }

// SetUpstream sets the state of the upstream beside this daemon. If the upstream
// accepts no requests, requests that wait are refused and no new one is
// admitted. A request that passed the last check in Execute before the call may
// still be sent to the upstream after it.
func (p *Proxy) SetUpstream(u control.Upstream) {
	before := p.upstream.Swap(&u)
	if before.ID != u.ID || before.StartTime != u.StartTime {
		p.client.CloseIdleConnections()
		p.upstreamSince.Store(int64(p.now()))
		p.forgetOutcomes()
		p.forgetNotice()
		p.rollouts.upstreamReplaced()
	}
	p.client.SetAddress(u.Address)
	p.updateAdmission()
}

// runsOnTimeout bounds the check of UpstreamRunsOn. The upstream is on the same machine.
const runsOnTimeout = 200 * time.Millisecond

// UpstreamRunsOn reports whether the upstream has deregistered and may still accept connections.
func (p *Proxy) UpstreamRunsOn(ctx context.Context) bool {
	u := p.upstream.Load()
	if u.State != control.UpstreamDeregistered || u.Address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, runsOnTimeout)
	defer cancel()
	return !p.client.Unreachable(ctx)
}

// SetStoreUnavailable sets whether the store does not answer this daemon, and
// reports whether that has changed.
func (p *Proxy) SetStoreUnavailable(unavailable bool) bool {
	return p.storeUnavailable.Swap(unavailable) != unavailable
}

// StoreUnavailable reports whether the store does not answer this daemon.
func (p *Proxy) StoreUnavailable() bool { return p.storeUnavailable.Load() }

// SetStoreEra sets the store's era that this daemon reports to peers.
func (p *Proxy) SetStoreEra(era store.Era) { p.storeEra.Store(uint64(era)) }

// InFlight returns the numbers of requests in flight: those of callers, and
// those that run at the upstream or wait for a slot.
func (p *Proxy) InFlight() (entryRequests, executingRequests int64) {
	return p.entryRequests.Load(), p.executingRequests.Load()
}

// State returns the state that this daemon reports to peers, without suspects.
func (p *Proxy) State() *hopv1.State {
	// The proof is read before the configuration: it is valid for a newer one, but not
	// for an older one.
	proof, storeClock := p.deps.Freshness.Report()
	load := p.admissionController.Load()
	u := p.upstream.Load()
	state := &hopv1.State{
		ProofMs:          wireProof(proof),
		StoreMs:          wireStoreClock(storeClock),
		Running:          uint32(load.Running),
		Waiting:          uint32(load.Waiting),
		Slots:            uint32(p.advertisedSlots(load.Slots)),
		RateLimited:      load.RateLimited,
		ServiceTimeUs:    uint32(load.ServiceTime.Microseconds()),
		TakesWork:        load.Open && !p.deps.Peers.Draining(),
		Upstream:         u.ID,
		Service:          u.Service,
		Stopping:         p.stopping.Load(),
		StoreLost:        p.storeUnavailable.Load(),
		StoreEra:         p.storeEra.Load(),
		Leaving:          u.Draining(),
		Born:             u.StartTime,
		LineDelayUs:      uint32(p.expectedRTT().Microseconds()),
		FailuresPerMille: uint32(p.failureShare() * perMille),
		LinkBacklogUs:    uint32(p.deps.Peers.reportedLinkBacklog().Microseconds()),
		MembersUnread:    p.deps.Peers.membersUnread(),
	}
	if t := p.table.Load(); t != nil {
		state.ConfigVersion = t.Version
	}
	if p.rollouts.view(u.Service) != nil {
		state.UpstreamVersion = u.Version
	}
	return state
}

// StateWithSuspects returns State with the crash suspects, for peers to which
// they may not have been reported yet. It holds at most maxReportedSuspects.
func (p *Proxy) StateWithSuspects() *hopv1.State {
	state := p.State()
	for _, suspect := range p.suspects.Snapshot(maxReportedSuspects, p.now()) {
		reported := &hopv1.Suspect{Fingerprint: uint64(suspect.Fingerprint)}
		for _, crash := range suspect.Crashes {
			reported.Crashes = append(reported.Crashes, uint64(crash))
		}
		state.Suspects = append(state.Suspects, reported)
	}
	return state
}

// perMille is the divisor that converts thousandths to a share.
const perMille = 1000

// maxReportedSuspects bounds the suspects in one message.
const maxReportedSuspects = 256

// callerService returns the service that requests from this machine come from: that of the
// settings or, if they name none, that of the upstream.
func (p *Proxy) callerService() string {
	if service := *p.service.Load(); service != "" {
		return service
	}
	return p.upstream.Load().Service
}

// SetService sets the instance's service from the settings.
func (p *Proxy) SetService(service string) { p.service.Store(&service) }

// pickTarget picks one of a route's services at random by weight.
func pickTarget(route *manifest.CompiledRoute) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Name
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	draw := rand.IntN(total)
	for _, target := range route.Targets {
		draw -= target.Weight
		if draw < 0 {
			return target.Name
		}
	}
	return route.Targets[len(route.Targets)-1].Name
}

// Handler returns the handler of callers' requests.
func (p *Proxy) Handler() http.Handler { return http.HandlerFunc(p.serve) }
