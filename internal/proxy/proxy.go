// Package proxy is the data path of a daemon. The entry half takes requests of
// callers, finds the route, chooses an upstream and tells the caller what
// became of the request. The executing half admits requests to the upstream
// beside the daemon. Both run in one process when the own upstream is chosen.
package proxy

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/admission"
	"godwitmount/internal/control"
	"godwitmount/internal/logbook"
	"godwitmount/internal/manifest"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/routing"
	"godwitmount/internal/upstream"
)

// Headers are the names of the headers that the data path reads and sets.
type Headers struct {
	// RequestID names one attempt of a caller and comes back on its answer.
	RequestID string
	// Deadline is the time that the caller waits, in milliseconds.
	Deadline string
	// Signature is on each answer of an upstream's own making.
	Signature string
	// Upstream names the only upstream that may run the request.
	Upstream string
	// NotRun marks an upstream's refusal of a request that it did not run.
	NotRun string
	// CallerService is the service on the machine where the request began.
	CallerService string
}

// Config holds what the data path is started with.
type Config struct {
	Instance   string
	DataCentre string
	Service    string
	Headers    Headers
	// ParentID returns the id of the request that an upstream made a request
	// with the given id for, or nothing.
	ParentID func(id string) string
	// RetryPercent, RetryExtra and RetryWindow bound the retries of a service
	// over all daemons.
	RetryPercent int
	RetryExtra   int
	RetryWindow  time.Duration
}

// Deps is what the data path works with.
type Deps struct {
	// Peers are the other daemons.
	Peers *Peers
	// Lost tells that the upstream with the id took no connection. It must not
	// block.
	Lost func(upstream string)
	// Stalled tells that the upstream with the id answers nothing. It must not
	// block.
	Stalled func(upstream string)
	// Tell sends the own state to all peers at once.
	Tell       func()
	Log        *logbook.Book
	Registerer prometheus.Registerer
}

// Proxy is the data path. All methods may be called from any goroutine.
type Proxy struct {
	cfg     Config
	deps    Deps
	epoch   time.Time
	metrics *metrics
	gate    *admission.Gate
	client  *upstream.Client

	// service is that of the instance in the settings.
	service  atomic.Pointer[string]
	table    atomic.Pointer[Table]
	upstream atomic.Pointer[control.Upstream]
	// upstreamSince is when the upstream became known, in nanoseconds since
	// epoch.
	upstreamSince atomic.Int64
	stopping      atomic.Bool
	closed        atomic.Bool
	// storeLost is set while the store does not answer this daemon.
	storeLost atomic.Bool
	entering  atomic.Int64
	running   atomic.Int64
	// atUpstream holds the ids of the requests that run at the upstream.
	atUpstream sync.Map
	// expired counts the runs that ran out of time since the last answer.
	expired atomic.Int64

	refused  *refusals
	suspects *quarantine.Set

	mu sync.Mutex
	// line is the way to this daemon and back.
	line    routing.Line
	budgets map[string]*routing.Budget
	// ruleBudgets are by the name of the rule.
	ruleBudgets map[string]*ruleBudget
	sizes       map[string]float64
}

// Table is a configuration in force.
type Table struct {
	*manifest.Table
	Version uint64
	// Packed is the configuration as it was read, for peers that ask for it.
	Packed []byte
}

// New returns a data path without a configuration and an upstream.
func New(cfg Config, deps Deps) (*Proxy, error) {
	epoch := time.Now()
	p := &Proxy{
		cfg:         cfg,
		deps:        deps,
		epoch:       epoch,
		gate:        admission.NewGate(epoch),
		refused:     newRefusals(),
		suspects:    quarantine.NewSet(),
		budgets:     map[string]*routing.Budget{},
		ruleBudgets: map[string]*ruleBudget{},
		sizes:       map[string]float64{},
	}
	p.client = upstream.NewClient(upstream.Headers{
		RequestID: cfg.Headers.RequestID,
		Signature: cfg.Headers.Signature,
		NotRun:    cfg.Headers.NotRun,
	})
	p.upstream.Store(&control.Upstream{})
	p.SetService(cfg.Service)
	m, err := newMetrics(deps.Registerer, p)
	p.metrics = m
	return p, err
}

// now is the monotonic time since the data path was made.
func (p *Proxy) now() time.Duration { return time.Since(p.epoch) }

// SetTable puts a configuration in force.
func (p *Proxy) SetTable(t *Table) {
	p.table.Store(t)
	p.applyUpstream()
}

// TableInForce returns the configuration in force, or nil.
func (p *Proxy) TableInForce() *Table { return p.table.Load() }

// SetUpstream takes what is known of the upstream beside the daemon. When it
// returns, nothing new reaches an upstream that takes no requests.
func (p *Proxy) SetUpstream(u control.Upstream) {
	before := p.upstream.Swap(&u)
	if before.ID != u.ID || before.Born != u.Born {
		p.client.Reset()
		p.upstreamSince.Store(int64(p.now()))
	}
	p.client.SetAddress(u.Address)
	p.applyUpstream()
}

// SetStoreLost notes whether the store answers this daemon; it reports whether
// that is news.
func (p *Proxy) SetStoreLost(lost bool) bool { return p.storeLost.Swap(lost) != lost }

// BeginStop makes callers close their connections from now on.
func (p *Proxy) BeginStop() { p.stopping.Store(true) }

// CloseEntry refuses callers' requests from now on. Those that were taken
// before go on.
func (p *Proxy) CloseEntry() { p.closed.Store(true) }

// InFlight returns the requests of callers and those at the upstream that are
// not over.
func (p *Proxy) InFlight() (entering, running int64) {
	return p.entering.Load(), p.running.Load()
}

// State is what the daemon tells others of itself.
func (p *Proxy) State() *hopv1.State {
	load := p.gate.Load()
	u := p.upstream.Load()
	state := &hopv1.State{
		Running:       uint32(load.Running),
		Waiting:       uint32(load.Waiting),
		Slots:         uint32(p.toldSlots(load.Slots)),
		ServiceTimeUs: uint32(load.Hold.Microseconds()),
		TakesWork:     load.Open && !p.deps.Peers.Leaving(),
		Upstream:      u.ID,
		Service:       u.Service,
		Stopping:      p.stopping.Load(),
		StoreLost:     p.storeLost.Load(),
		Leaving:       u.Leaving(),
		Born:          u.Born,
		LineDelayUs:   uint32(p.lineDelay().Microseconds()),
	}
	if t := p.table.Load(); t != nil {
		state.ConfigVersion = t.Version
	}
	return state
}

// Greeting is the state with the suspects, for peers that may not know them.
func (p *Proxy) Greeting() *hopv1.State {
	state := p.State()
	for _, suspect := range p.suspects.Known(maxToldSuspects) {
		told := &hopv1.Suspect{Fingerprint: uint64(suspect.Fingerprint)}
		for _, crash := range suspect.Crashes {
			told.Crashes = append(told.Crashes, uint64(crash))
		}
		state.Suspects = append(state.Suspects, told)
	}
	return state
}

// maxToldSuspects bounds the suspects in one message.
const maxToldSuspects = 256

// callerService is the service that requests of this machine come from.
func (p *Proxy) callerService() string {
	if u := p.upstream.Load(); u.Service != "" {
		return u.Service
	}
	return *p.service.Load()
}

// SetService takes the instance's service from the settings.
func (p *Proxy) SetService(service string) { p.service.Store(&service) }

// pickTarget draws one of a route's services by weight.
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

// Handler serves callers.
func (p *Proxy) Handler() http.Handler { return http.HandlerFunc(p.serve) }
