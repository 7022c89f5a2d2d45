package membership

import (
	"cmp"
	"slices"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

const (
	// exchangeTimeout is after how long an exchange without an answer is
	// given up.
	exchangeTimeout = 10 * time.Second
	// maxExchangeRounds bounds the calls of one exchange.
	maxExchangeRounds = 10
	// bucketsPerRound is how many differing buckets one call completes.
	bucketsPerRound = 16
	// maxChanges bounds the changes sent ahead of a comparison.
	maxChanges = 100
	// fullScopeEvery is how often a delegate compares whole tables, so that
	// records pass around a cut link.
	fullScopeEvery = 8
	// manyNew is how many unknown instances in one response tell that this
	// daemon is far behind and should soon compare again.
	manyNew = 32
	// meetInterval is the least time between two exchanges with unknown
	// senders.
	meetInterval = time.Second
	// firstLocalExchange is the mean wait for the first exchange inside the
	// data centre after a start or pause; it doubles from there.
	firstLocalExchange = 2 * time.Second
	// retentionInterval is the time between two searches for expired records.
	retentionInterval = 10 * time.Second
)

// pending is an exchange this daemon started.
type pending struct {
	dataCentre string
	scope      []string
	started    time.Duration
	rounds     int
	// todo are the differing buckets not yet completed.
	todo []uint32
	// pushedBefore is what pushed was, in case the call fails.
	pushedBefore uint64
}

// exchanges schedules the comparisons of member tables.
type exchanges struct {
	pending map[string]*pending
	// views holds the recent views of each other data centre, by who told.
	views map[string]map[string]view
	// heard is when a data centre was last heard of.
	heard map[string]time.Duration
	// failures counts failed exchanges with a data centre in a row.
	failures map[string]int
	// pushed is up to which table version a data centre was told the changes
	// of this one.
	pushed map[string]uint64

	nextLocal time.Duration
	// localBound is the mean wait for the next exchange inside the data
	// centre; short after a start or pause, then growing.
	localBound    time.Duration
	nextRemote    time.Duration
	nextMeet      time.Duration
	nextRetention time.Duration
	round         []string
	count         int

	contacted bool
	nextJoin  time.Duration
	joinBound time.Duration
	joins     int

	// tokens bound the records handed out.
	tokens   float64
	refilled time.Duration
}

func (x *exchanges) init(cfg Config) {
	x.pending = map[string]*pending{}
	x.views = map[string]map[string]view{}
	x.heard = map[string]time.Duration{}
	x.failures = map[string]int{}
	x.pushed = map[string]uint64{}
	x.joinBound = cfg.JoinInterval
	x.localBound = firstLocalExchange
	x.tokens = 10 * cfg.ServeRate
}

// afterPause makes the next exchanges due at once.
func (x *exchanges) afterPause(now time.Duration) {
	x.pending = map[string]*pending{}
	x.localBound = firstLocalExchange
	x.nextLocal = now
	x.nextRemote = now
}

// exchangeWith compares tables with a delegate of another data centre, or
// with any instance there after a failure.
func (c *Core) exchangeWith(dataCentre string) {
	candidates := c.delegatesOf(dataCentre)
	if c.exchanges.failures[dataCentre] > 0 {
		candidates = c.table.alive(dataCentre)
	}
	if len(candidates) == 0 {
		return
	}
	c.exchanges.count++
	scope := []string{c.cfg.DataCentre, dataCentre}
	if c.exchanges.count%fullScopeEvery == 0 {
		scope = nil
	}
	target := candidates[c.random.IntN(len(candidates))]
	c.startExchange(c.addressOf(target), dataCentre, scope)
}

// startExchange begins with one hash; equal tables end it there.
func (c *Core) startExchange(address, dataCentre string, scope []string) {
	x := &c.exchanges
	if x.pending[address] != nil || c.left {
		return
	}
	p := &pending{dataCentre: dataCentre, scope: scope, started: c.now(), pushedBefore: x.pushed[dataCentre]}
	x.pending[address] = p
	request := c.exchangeRequest(p)
	request.Members = c.changesFor(dataCentre)
	if dataCentre == "" {
		request.Members = append(request.Members, MemberOf(c.Self()))
	}
	request.TableHash = c.table.scopeHashes(scope).sum()
	request.Reports = c.reportsFor(scope)
	c.emit(StartExchange{Address: address, Request: request})
}

func (c *Core) exchangeRequest(p *pending) *peerv1.ExchangeMembersRequest {
	return &peerv1.ExchangeMembersRequest{
		Mesh:       c.cfg.Mesh,
		From:       c.cfg.Instance,
		DataCentre: c.cfg.DataCentre,
		Applied:    ConfigIDOf(c.reports.applied),
		Scope:      p.scope,
		Living:     c.ownView(),
	}
}

// changesFor returns what changed in this data centre since another one was
// last told.
func (c *Core) changesFor(dataCentre string) []*peerv1.Member {
	if dataCentre == "" || dataCentre == c.cfg.DataCentre {
		return nil
	}
	told, known := c.exchanges.pushed[dataCentre]
	c.exchanges.pushed[dataCentre] = c.table.version
	if !known || told == c.table.version {
		return nil
	}
	var changed []*entry
	for _, e := range c.table.entries {
		if e.version > told && c.isLocal(e.Record) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	if len(changed) > maxChanges {
		changed = changed[:maxChanges]
		c.exchanges.pushed[dataCentre] = changed[maxChanges-1].version
	}
	return membersOf(changed)
}

// membersOf converts records for another daemon; suspicion is not passed on.
func membersOf(entries []*entry) []*peerv1.Member {
	members := make([]*peerv1.Member, 0, len(entries))
	for _, e := range entries {
		r := e.Record
		if r.Liveness == Suspect {
			r.Liveness = Alive
		}
		members = append(members, MemberOf(r))
	}
	return members
}

// exchangeAnswered takes a response in and goes on with what still differs.
func (c *Core) exchangeAnswered(e ExchangeAnswered) {
	p := c.exchanges.pending[e.Address]
	if p == nil {
		return
	}
	delete(c.exchanges.pending, e.Address)
	if e.Err == nil {
		e.Err = checkExchangeResponse(e.Response)
	}
	if e.Err != nil {
		c.exchangeFailed(e.Address, p, e.Err)
		return
	}
	c.takeResponse(e.Address, p, e.Response)
	c.continueExchange(e.Address, p, e.Response)
}

func (c *Core) exchangeFailed(address string, p *pending, err error) {
	c.exchanges.failures[p.dataCentre]++
	if _, known := c.exchanges.pushed[p.dataCentre]; known {
		c.exchanges.pushed[p.dataCentre] = p.pushedBefore
	}
	if c.exchanges.failures[p.dataCentre] > 1 {
		return
	}
	c.emit(step.Log{Event: event.ExchangeFailed, Warn: true, Fields: []step.Field{
		step.F("address", address),
		step.F("data_centre", p.dataCentre),
		step.F("error", err),
	}})
}

func (c *Core) takeResponse(address string, p *pending, response *peerv1.ExchangeMembersResponse) {
	c.exchanges.failures[p.dataCentre] = 0
	c.hear(p.dataCentre)
	known := len(c.table.entries)
	via := c.originOf(p.dataCentre, address, response.GetLiving())
	for _, member := range response.GetMembers() {
		c.merge(member, via)
	}
	if len(c.table.entries)-known >= manyNew {
		c.exchanges.localBound = firstLocalExchange
		c.exchanges.nextLocal = min(c.exchanges.nextLocal, c.now()+c.around(firstLocalExchange))
	}
	c.mergeReports(response.GetReports())
	if len(response.GetQuarantined()) > 0 {
		c.emit(FingerprintsArrived{Fingerprints: response.GetQuarantined()})
	}
	if peer := c.table.at(address); peer != nil {
		c.ahead(peer.Instance, address, IDOf(response.GetApplied()))
	}
	c.firstContact(address)
}

func (c *Core) firstContact(address string) {
	if c.exchanges.contacted || len(c.table.entries) < 2 {
		return
	}
	c.exchanges.contacted = true
	c.exchanges.nextLocal = c.now() + c.around(firstLocalExchange)
	c.emit(step.Log{Event: event.FirstContact, Fields: []step.Field{
		step.F("address", address),
		step.F("attempts", c.exchanges.joins),
		step.F("instances", len(c.table.entries)),
	}})
}

// hear notes that a data centre is there.
func (c *Core) hear(dataCentre string) {
	c.hearAt(dataCentre, c.now())
}

// hearAt notes that a data centre was there at a time.
func (c *Core) hearAt(dataCentre string, at time.Duration) {
	if dataCentre != "" {
		c.exchanges.heard[dataCentre] = max(c.exchanges.heard[dataCentre], at)
	}
}

// continueExchange asks for the records of buckets that differ, some at a
// time, and gives the records the other side lacks.
func (c *Core) continueExchange(address string, p *pending, response *peerv1.ExchangeMembersResponse) {
	own := c.table.scopeHashes(p.scope)
	if p.rounds == 0 && response.GetTableHash() != own.sum() {
		p.todo = differing(own, response.GetBucketHashes())
	}
	wanted := c.lookupMembers(response.GetWanted())
	if len(p.todo) == 0 && len(wanted) == 0 || p.rounds >= maxExchangeRounds {
		return
	}
	p.rounds++
	p.started = c.now()
	request := c.exchangeRequest(p)
	request.Members = wanted
	count := min(bucketsPerRound, len(p.todo))
	request.Buckets = p.todo[:count]
	p.todo = p.todo[count:]
	request.Digests = c.digests(request.Buckets, p.scope)
	c.exchanges.pending[address] = p
	c.emit(StartExchange{Address: address, Request: request})
}

func differing(own buckets, other []uint64) []uint32 {
	var different []uint32
	for i, hash := range other {
		if hash != own[i] {
			different = append(different, uint32(i))
		}
	}
	return different
}

func (c *Core) lookupMembers(instances []string) []*peerv1.Member {
	var entries []*entry
	for _, instance := range instances {
		if e := c.table.entries[instance]; e != nil {
			entries = append(entries, e)
		}
	}
	return membersOf(entries)
}

// inBuckets returns the records of some buckets in order of instance id.
func (c *Core) inBuckets(chosen []uint32, scope []string) []*entry {
	var wanted [bucketCount]bool
	for _, bucket := range chosen {
		wanted[bucket] = true
	}
	var entries []*entry
	for _, r := range c.table.records() {
		inScope := len(scope) == 0 || slices.Contains(scope, r.DataCentre)
		if inScope && wanted[bucketOf(r.Instance)] {
			entries = append(entries, c.table.entries[r.Instance])
		}
	}
	return entries
}

func (c *Core) digests(chosen []uint32, scope []string) []*peerv1.MemberDigest {
	if len(chosen) == 0 {
		return nil
	}
	var digests []*peerv1.MemberDigest
	for _, e := range c.inBuckets(chosen, scope) {
		digests = append(digests, &peerv1.MemberDigest{
			Instance:    e.Instance,
			Incarnation: e.Incarnation,
			Sequence:    e.Sequence,
			Liveness:    peerv1.Liveness(e.Liveness),
		})
	}
	return digests
}
