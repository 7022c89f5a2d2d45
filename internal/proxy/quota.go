package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/quota"
)

const (
	// ownShareAfter is how long a request waits for the owner of the bucket before it
	// may use this daemon's own share. A round trip in a data centre takes less.
	ownShareAfter = 5 * time.Millisecond
	// quotaTimeout is how long a request waits for a token at most.
	quotaTimeout = 50 * time.Millisecond
	// relayTimeout bounds passing a message on for another daemon, and pullTimeout a
	// message to another data centre. A share that is lost on its way is accounted
	// for only after longer than pullTimeout.
	relayTimeout = 20 * time.Millisecond
	pullTimeout  = 200 * time.Millisecond
	// quotaTick is the interval of quota.Limiter.Tick.
	quotaTick = 100 * time.Millisecond
	// quotaLogInterval is the shortest time between two log lines of one kind about
	// one customer.
	quotaLogInterval = time.Second
	// minLoggedShare is the smallest change of a share that is logged.
	minLoggedShare = 0.05
)

// quotas applies the allowances of customers to the requests of callers. Package quota
// decides; this type sends its messages and makes requests wait for the answers. All
// methods may be called from any goroutine.
type quotas struct {
	peers   *Peers
	log     *asynclog.Logger
	metrics *quotaMetrics
	// clock goes on while the machine is suspended.
	clock func() time.Duration
	// limitsChanged makes run look at the limits again.
	limitsChanged chan struct{}
	// ctx ends with the daemon; it is set by run.
	ctx context.Context

	mu      sync.Mutex
	limiter *quota.Limiter
	// leaving is set once a planned stop has begun.
	leaving bool
	// viewBuilt is set while the limiter has the view of the version viewVersion of the
	// peers.
	viewBuilt   bool
	viewVersion uint64
	// answered holds, by customer, the channel that is closed when the message to the
	// owner has been answered.
	answered map[string]chan struct{}
	// refused counts the refusals of each customer since the last log line; nextLog
	// is when each line may be written again.
	refused map[string]int
	nextLog map[string]time.Duration
}

func newQuotas(cfg Config, deps Deps, metrics *quotaMetrics) *quotas {
	return &quotas{
		peers:         deps.Peers,
		log:           deps.Log,
		metrics:       metrics,
		clock:         deps.BootClock,
		limitsChanged: make(chan struct{}, 1),
		ctx:           context.Background(),
		limiter:       quota.New(quota.Config{Instance: cfg.Instance, DataCentre: cfg.DataCentre, Params: cfg.Quota}),
		answered:      map[string]chan struct{}{},
		refused:       map[string]int{},
		nextLog:       map[string]time.Duration{},
	}
}

// setCustomers puts the limits of a configuration in force.
func (q *quotas) setCustomers(customers []manifest.Customer) {
	limits := map[string]quota.Limit{}
	for i := range customers {
		if customer := &customers[i]; customer.RatePerSecond > 0 {
			limits[customer.Name] = quota.Limit{Rate: customer.RatePerSecond, Burst: customer.Burst}
		}
	}
	q.mu.Lock()
	q.limiter.SetLimits(q.clock(), limits)
	q.refused, q.nextLog = map[string]int{}, map[string]time.Duration{}
	q.mu.Unlock()
	select {
	case q.limitsChanged <- struct{}{}:
	default:
	}
}

// limited reports whether any customer has a limit.
func (q *quotas) limited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.HasLimits()
}

// HasLimits reports whether any customer has a limit.
func (p *Proxy) HasLimits() bool { return p.quotas.limited() }

// beginStop makes other daemons the owners of buckets.
func (q *quotas) beginStop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaving = true
	q.viewBuilt = false
}

// RunQuotas does what the quotas need regularly, until ctx ends. No timer runs while no
// customer has a limit.
func (p *Proxy) RunQuotas(ctx context.Context) { p.quotas.run(ctx) }

func (q *quotas) run(ctx context.Context) {
	q.mu.Lock()
	q.ctx = ctx
	q.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.limitsChanged:
		}
		q.tickWhileLimited(ctx)
	}
}

func (q *quotas) tickWhileLimited(ctx context.Context) {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for q.limited() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, customer := range q.tick() {
			go q.pull(ctx, customer)
		}
	}
}

// tick returns the customers for which a larger share is to be pulled.
func (q *quotas) tick() []string {
	now := q.lock()
	defer q.unlock()
	q.metrics.buckets.Set(float64(q.limiter.Buckets()))
	return q.limiter.Tick(now)
}

// lock locks the limiter, gives it the present view, and returns the time.
func (q *quotas) lock() time.Duration {
	q.mu.Lock()
	now := q.clock()
	if version := q.peers.viewVersion.Load(); !q.viewBuilt || version != q.viewVersion {
		view := q.peers.quotaView()
		view.Leaving = q.leaving
		q.limiter.SetView(now, view)
		q.viewBuilt, q.viewVersion = true, version
	}
	return now
}

// unlock logs the limiter's notes and unlocks it.
func (q *quotas) unlock() {
	for _, note := range q.limiter.Notes() {
		q.logNote(note)
	}
	q.mu.Unlock()
}

// takeToken takes a token for a call whose customer has a limit. It returns a failure
// if the call must not run. Nested requests are not counted: the request that waits for
// them was.
func (p *Proxy) takeToken(ctx context.Context, c *call) (quota.Token, *failure) {
	if c.customer == nil || c.customer.RatePerSecond <= 0 {
		return quota.Token{}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	began := time.Now()
	d, err := p.quotas.take(ctx, c.customer.Name)
	p.metrics.quotas.recordWait(time.Since(began))
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return quota.Token{}, newFailure(code.CallDeadlineNotRun)
	case err != nil:
		return quota.Token{}, newFailure(code.CallCancelledNotRun)
	case d.Action == quota.Admit:
		return d.Token, nil
	}
	failed := newFailure(code.CallQuotaExceeded)
	failed.retryAfter = d.Wait
	return quota.Token{}, failed
}

// returnToken gives back the token of a call that has not run.
func (p *Proxy) returnToken(token quota.Token) {
	if token.Customer == "" {
		return
	}
	now := p.quotas.lock()
	defer p.quotas.unlock()
	p.quotas.limiter.Return(now, token)
	p.metrics.quotas.returned.Inc()
}

// take decides on one request: Admit or Refuse. It returns an error if ctx ends first.
func (q *quotas) take(ctx context.Context, customer string) (quota.Decision, error) {
	d, answered := q.decide(customer, false)
	if d.Action == quota.Admit || d.Action == quota.Refuse {
		return d, nil
	}
	own, timeout := time.NewTimer(ownShareAfter), time.NewTimer(quotaTimeout)
	defer own.Stop()
	defer timeout.Stop()
	for {
		select {
		case <-answered:
			d, answered = q.decide(customer, true)
		case <-own.C:
			if mine := q.takeOwn(customer); mine.Action == quota.Admit {
				return mine, nil
			}
		case <-timeout.C:
			return q.timedOut(customer), nil
		case <-ctx.Done():
			return quota.Decision{}, ctx.Err()
		}
		if d.Action == quota.Admit || d.Action == quota.Refuse {
			return d, nil
		}
	}
}

// decide returns the limiter's decision. If the request has to wait, the channel is
// closed when it is to be decided again.
func (q *quotas) decide(customer string, again bool) (quota.Decision, <-chan struct{}) {
	now := q.lock()
	defer q.unlock()
	d := q.limiter.Take(now, customer, again)
	q.record(now, customer, d)
	if d.Action != quota.Ask && d.Action != quota.Await {
		return d, nil
	}
	answered := q.answered[customer]
	if answered == nil {
		answered = make(chan struct{})
		q.answered[customer] = answered
	}
	if d.Action == quota.Ask {
		// The message outlives the request: others may wait for its answer, too.
		go q.ask(q.ctx, d.Message)
	}
	return d, answered
}

// ask sends a message to the owner of a bucket and makes the requests that wait for the
// answer be decided again.
func (q *quotas) ask(ctx context.Context, message quota.Message) {
	q.metrics.recordMessage(message.Request)
	reply, ok := q.peers.askQuota(ctx, message, quotaTimeout)
	now := q.lock()
	defer q.unlock()
	q.limiter.Replied(now, message, reply, ok)
	if answered := q.answered[message.Customer]; answered != nil {
		close(answered)
		delete(q.answered, message.Customer)
	}
}

// takeOwn decides on a request whose owner has not answered in time.
func (q *quotas) takeOwn(customer string) quota.Decision {
	now := q.lock()
	defer q.unlock()
	d := q.limiter.TakeOwn(now, customer)
	if d.Action == quota.Admit {
		q.record(now, customer, d)
	}
	return d
}

// timedOut refuses a request that got no token in time.
func (q *quotas) timedOut(customer string) quota.Decision {
	now := q.lock()
	defer q.unlock()
	d := quota.Decision{Action: quota.Refuse, Wait: quotaTick}
	q.record(now, customer, d)
	return d
}

// AnswerQuota replies to a quota message of another daemon.
func (p *Proxy) AnswerQuota(ctx context.Context, from string, request *hopv1.QuotaRequest) *hopv1.QuotaReply {
	return encodeQuotaReply(p.quotas.answer(ctx, from, decodeQuotaRequest(request)))
}

func (q *quotas) answer(ctx context.Context, from string, request quota.Request) quota.Reply {
	now := q.lock()
	reply, forward := q.limiter.Handle(now, from, request)
	q.unlock()
	if forward == nil {
		return reply
	}
	q.metrics.recordMessage(forward.Request)
	reply, ok := q.peers.askQuota(ctx, *forward, relayTimeout)
	now = q.lock()
	defer q.unlock()
	return q.limiter.Forwarded(now, *forward, reply, ok)
}

// pull asks the other data centres one after another for a part of their shares.
func (q *quotas) pull(ctx context.Context, customer string) {
	now := q.lock()
	pull := q.limiter.BeginPull(now, customer)
	remote := q.peers.remoteCentres()
	q.unlock()
	if pull == nil {
		return
	}
	// In random order: the first ones give the most.
	for _, i := range rand.Perm(len(remote)) {
		message := quota.Message{To: q.peers.reachableIn(remote[i])}
		q.lock()
		message.Request = q.limiter.PullRequest(pull)
		q.unlock()
		q.metrics.recordMessage(message.Request)
		reply, ok := q.peers.askQuota(ctx, message, pullTimeout)
		now = q.lock()
		q.limiter.PullReplied(now, pull, reply, ok)
		satisfied := pull.Satisfied()
		q.unlock()
		if satisfied {
			break
		}
	}
	now = q.lock()
	defer q.unlock()
	q.limiter.PullDone(now, pull)
}

// record counts a decision, and logs once a second that a customer is refused. The
// caller holds q.mu.
func (q *quotas) record(now time.Duration, customer string, d quota.Decision) {
	q.metrics.recordDecision(d)
	if d.Action != quota.Refuse {
		return
	}
	if d.NoOwner {
		if q.mayLog(now, event.QuotaMembersUnread, customer) {
			q.log.Event(event.QuotaMembersUnread, customerField(customer))
		}
		return
	}
	q.refused[customer]++
	if !q.mayLog(now, event.QuotaExceeded, customer) {
		return
	}
	q.log.Event(event.QuotaExceeded, customerField(customer), zap.Int("refused", q.refused[customer]), zap.Duration("wait", d.Wait))
	delete(q.refused, customer)
}

// mayLog reports whether a line about a customer may be written now.
func (q *quotas) mayLog(now time.Duration, number event.Number, customer string) bool {
	key := number.String() + " " + customer
	if next, known := q.nextLog[key]; known && now < next {
		return false
	}
	q.nextLog[key] = now + quotaLogInterval
	return true
}

// logNote logs what the limiter has noted. The caller holds q.mu.
func (q *quotas) logNote(n quota.Note) {
	now := q.clock()
	switch {
	case n.Kind == quota.NotePaused:
		q.log.Event(event.QuotaPaused, zap.Duration("pause", n.Pause))
	case n.Kind == quota.NoteOwner && q.mayLog(now, event.QuotaOwner, n.Customer):
		q.log.Event(event.QuotaOwner, customerField(n.Customer), zap.Float64("share", n.Share), zap.Float64("level", n.Level))
	case n.Kind == quota.NoteShare && max(n.Change, -n.Change) >= minLoggedShare && q.mayLog(now, event.QuotaShareMoved, n.Customer):
		q.log.Event(event.QuotaShareMoved, customerField(n.Customer), zap.Float64("share", n.Share), zap.Float64("change", n.Change))
	case n.Kind == quota.NoteUnavailable && q.mayLog(now, event.QuotaOwnerUnavailable, n.Customer):
		q.log.Event(event.QuotaOwnerUnavailable, customerField(n.Customer), zap.String("peer", n.Owner))
	}
}
