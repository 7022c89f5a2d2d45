package proxy

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwitmount/internal/admission"
	"godwitmount/internal/claim"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/routing"
)

// Proxy is the data path of one daemon. All methods may be called from any
// goroutine.
type Proxy struct {
	cfg       Config
	deps      Deps
	epoch     time.Time
	idPrefix  string
	ids       atomic.Uint64
	balancer  *routing.Balancer
	budgets   sync.Map // of budgetKey to *routing.Budget
	throttles sync.Map // of service name to *routing.Throttle
	peers     *sender
	loopback  *sender
	gate      *admission.Gate
	gateSize  atomic.Pointer[gateSize]
	upstream  atomic.Pointer[Upstream]
	decisions *decisionLog
	metrics   *metrics

	draining  atomic.Bool
	closed    atomic.Bool
	executing atomic.Int64
	// claiming counts the slots that wait for a claim.
	claiming atomic.Int64
	entering atomic.Int64
}

// budgetKey names a retry budget; a rule with another share starts anew.
type budgetKey struct {
	rule    string
	percent int
}

// gateSize is what the gate's size was worked out from.
type gateSize struct {
	snapshot *routing.Snapshot
	upstream *Upstream
}

// New returns a Proxy that takes calls at once; it has no upstream yet. Close
// ends its log writer.
func New(cfg Config, deps Deps) (*Proxy, error) {
	if err := deps.check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	deps = deps.withDefaults(cfg)
	p := &Proxy{
		cfg:      cfg,
		deps:     deps,
		epoch:    time.Now(),
		idPrefix: fmt.Sprintf("%s-%s-", cfg.Instance, strconv.FormatUint(cfg.Incarnation, 36)),
		balancer: routing.NewBalancer(cfg.Ejection),
		peers:    newSender(cfg, deps.DialPeer),
		loopback: newSender(cfg, directDial(cfg.DialTimeout)),
		gate:     admission.NewGate(admission.Config{Slots: 1}),
	}
	p.upstream.Store(&Upstream{State: membership.UpstreamNone})
	p.decisions = newDecisionLog(cfg.DecisionBuffer, deps.Log)
	metrics, err := newMetrics(deps.Registerer, p)
	if err != nil {
		return nil, err
	}
	p.metrics = metrics
	go p.decisions.run()
	return p, nil
}

// Close writes the decision lines that are left and closes idle connections.
func (p *Proxy) Close() {
	p.decisions.close()
	p.peers.transport.CloseIdleConnections()
	p.loopback.transport.CloseIdleConnections()
}

// SetUpstream takes what the local upstream last announced. One that is not
// ready gets no new work, not even what already waits for a slot.
func (p *Proxy) SetUpstream(u Upstream) {
	p.upstream.Store(&u)
	if u.State == membership.UpstreamReady && !p.draining.Load() {
		p.gate.Reopen()
		return
	}
	p.gate.Drain()
}

// BeginDrain refuses new work for the local upstream from now on. Calls of
// callers are still taken until that work is done, because it may need them.
func (p *Proxy) BeginDrain() {
	p.draining.Store(true)
	p.gate.Drain()
}

// waitStep is how often Wait looks.
const waitStep = 2 * time.Millisecond

// Wait blocks until nothing is in flight after BeginDrain, or ctx ends. Once
// the local upstream's work is done, callers are refused too.
func (p *Proxy) Wait(ctx context.Context) error {
	if err := waitZero(ctx, &p.executing); err != nil {
		return err
	}
	p.closed.Store(true)
	return waitZero(ctx, &p.entering)
}

func waitZero(ctx context.Context, counter *atomic.Int64) error {
	ticker := time.NewTicker(waitStep)
	defer ticker.Stop()
	for counter.Load() != 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests in flight: %w", counter.Load(), ctx.Err())
		}
	}
	return nil
}

// InFlight returns the requests of callers and the requests at the local
// upstream that are not over.
func (p *Proxy) InFlight() (calls, executing int64) {
	return p.entering.Load(), p.executing.Load()
}

// FenceAttempt makes sure that an attempt that has not started never will; it
// reports false when it has started.
func (p *Proxy) FenceAttempt(attempt string) bool {
	notRun := p.deps.Fences.Fence(attempt)
	p.metrics.fenceServed(notRun)
	p.decisions.fenced(attempt, notRun)
	return notRun
}

// now is the monotonic time since the proxy was made.
func (p *Proxy) now() time.Duration { return time.Since(p.epoch) }

// nextID returns the id of a new call. Attempt ids begin with it, so it carries
// the time of creation that fences need.
func (p *Proxy) nextID() string {
	var buffer [maxIDLength]byte
	id := claim.StampAttempt(buffer[:0], time.Now())
	id = append(id, p.idPrefix...)
	return string(strconv.AppendUint(id, p.ids.Add(1), 36))
}

// maxIDLength is the size in bytes up to which an id is made without a second
// allocation.
const maxIDLength = 128

// budgetOf returns the retry budget of a rule.
func (p *Proxy) budgetOf(rule *manifest.RetryRule) *routing.Budget {
	key := budgetKey{rule.Name, rule.BudgetPercent}
	if budget, ok := p.budgets.Load(key); ok {
		return budget.(*routing.Budget)
	}
	budget, _ := p.budgets.LoadOrStore(key, routing.NewBudget(rule.BudgetPercent))
	return budget.(*routing.Budget)
}

// throttleOf returns the throttle of a service.
func (p *Proxy) throttleOf(service string) *routing.Throttle {
	if throttle, ok := p.throttles.Load(service); ok {
		return throttle.(*routing.Throttle)
	}
	throttle, _ := p.throttles.LoadOrStore(service, &routing.Throttle{})
	return throttle.(*routing.Throttle)
}

// budgetBalance is the sum of retries left, for the metrics.
func (p *Proxy) budgetBalance() float64 {
	total := 0.0
	p.budgets.Range(func(_, budget any) bool {
		total += budget.(*routing.Budget).Balance()
		return true
	})
	return total
}
