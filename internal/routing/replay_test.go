package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"godwitmount/internal/admission"
)

// service describes the upstreams of one service and its load in a replay.
type service struct {
	upstreams, dataCentres int
	// speeds are the speeds of the upstreams, repeated in turn; nil draws them
	// from 0.5 to 1.5.
	speeds []float64
	// serviceTime is the mean service time at speed 1 and without noise.
	serviceTime time.Duration
	// load is the mean load as a share of the capacity, slow periods included.
	load float64
}

const (
	// loadWave is by how much the load rises and falls within loadWavePeriod.
	loadWave       = 0.55
	loadWavePeriod = 17 * time.Second
	// An upstream is slowFactor times slower in slowShare of the periods of
	// slowPeriod.
	slowFactor = 2.5
	slowShare  = 0.15
	slowPeriod = 600 * ms
	// goalFactor and deadlineFactor are the goal and the deadline in mean service
	// times.
	goalFactor     = 3
	deadlineFactor = 8
	// localDelay is the one-way delay within a data centre; between two it is 0.9 to
	// 5 ms.
	localDelay = 100 * time.Microsecond
	// pingInterval is after how long without a report a peer is pinged.
	pingInterval = 2 * time.Second
	// remotePeers is the number of daemons in other data centres that a daemon
	// connects to.
	remotePeers = 8
	// maxOffers is after how many refusals the caller is refused.
	maxOffers = 4
	// replayLength is the time for which requests arrive, sampleInterval the time
	// between two samples of the load, and window the time over which samples are
	// averaged to find the busiest upstream.
	replayLength   = 34 * time.Second
	sampleInterval = 50 * ms
	window         = 2 * time.Second
	// replaySeeds is the number of replays of each service.
	replaySeeds = 2
)

// replay is one run of daemons, one beside each upstream, that place the requests of
// their callers by reports that came with earlier answers, refusals and pongs.
type replay struct {
	service
	random *rand.Rand
	now    time.Duration
	events replayEvents
	order  int
	nodes  []*node
	byName map[string]*node
	result replayResult
	// sums are the sums of the sampled loads of the upstreams by slots since
	// samples was 0.
	sums    []float64
	samples int
}

// node is an upstream with its daemon.
type node struct {
	name                     string
	index, dataCentre, slots int
	speed                    float64
	slowUntil                time.Duration
	queue                    *admission.Queue
	running                  int
	tickets                  map[*admission.Ticket]*replayRequest
	served                   float64
	// views are the last reports of the peers by index; nil where the daemon has no
	// connection.
	views []*view
}

// view is what a daemon knows about a peer's upstream.
type view struct {
	Candidate
	at time.Duration
}

// replayRequest is a request of a caller on its way.
type replayRequest struct {
	PlacementRequest
	entry, at               *node
	arrived, offered, begun time.Duration
	spillover               bool
}

type replayEvent struct {
	at    time.Duration
	order int
	run   func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(delay time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, replayEvent{r.now + delay, r.order, run})
}

// play runs the service for replayLength.
func play(s service, seed uint64) replayResult {
	r := &replay{service: s, random: rand.New(rand.NewPCG(seed, 17)), byName: map[string]*node{}, sums: make([]float64, s.upstreams)}
	r.addNodes()
	r.arrive()
	r.sample()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.run()
	}
	mean := 0.0
	for _, n := range r.nodes {
		n.served /= float64(n.slots) * n.speed
		mean += n.served / float64(len(r.nodes))
	}
	for _, n := range r.nodes {
		r.result.served = max(r.result.served, n.served/mean)
	}
	return r.result
}

func (r *replay) addNodes() {
	for i := range r.upstreams {
		n := &node{name: fmt.Sprint(i), index: i, dataCentre: i % r.dataCentres, slots: 9 + r.random.IntN(5), speed: 0.5 + r.random.Float64(),
			queue: admission.NewQueue(), tickets: map[*admission.Ticket]*replayRequest{}, views: make([]*view, r.upstreams)}
		if r.speeds != nil {
			n.speed = r.speeds[i%len(r.speeds)]
		}
		n.queue.Open(n.slots, 0)
		r.nodes = append(r.nodes, n)
		r.byName[n.name] = n
		r.after(time.Duration(r.random.Int64N(int64(slowPeriod))), func() { r.drawSpeed(n) })
	}
	for _, n := range r.nodes {
		remote := 0
		for _, i := range r.random.Perm(r.upstreams) {
			peer := r.nodes[i]
			if peer == n {
				continue
			}
			if peer.dataCentre != n.dataCentre {
				if remote++; remote > remotePeers {
					continue
				}
			}
			n.views[i] = &view{}
			r.learn(n, peer, r.report(peer))
			r.after(time.Duration(r.random.Int64N(int64(pingInterval))), func() { r.ping(n, peer) })
		}
	}
}

// drawSpeed draws for each slowPeriod whether the upstream is slow in it.
func (r *replay) drawSpeed(n *node) {
	if r.now > replayLength {
		return
	}
	if r.random.Float64() < slowShare {
		n.slowUntil = r.now + slowPeriod
	}
	r.after(slowPeriod, func() { r.drawSpeed(n) })
}

// arrive places a request of a caller of a random daemon and schedules the next one.
func (r *replay) arrive() {
	if r.now > replayLength {
		return
	}
	capacity := 0.0
	for _, n := range r.nodes {
		capacity += float64(n.slots) * n.speed / (1 + slowShare*(slowFactor-1)) / r.serviceTime.Seconds()
	}
	wave := 1 + loadWave*math.Sin(2*math.Pi*float64(r.now)/float64(loadWavePeriod))
	r.after(time.Duration(r.random.ExpFloat64()/(capacity*r.load*wave)*float64(time.Second)), r.arrive)
	entry := r.nodes[r.random.IntN(len(r.nodes))]
	r.result.requests++
	r.offer(&replayRequest{entry: entry, arrived: r.now, PlacementRequest: PlacementRequest{Bytes: 2000, Rand: r.random.Float64}})
}

// candidates returns the upstreams as a daemon knows them.
func (r *replay) candidates(n *node) []Candidate {
	self := r.report(n)
	self.Self, self.Local, self.Load = true, true, self.OtherLoad
	all := []Candidate{self}
	for _, v := range n.views {
		if v != nil {
			c := v.Candidate
			c.ReportAge = r.now - v.at
			all = append(all, c)
		}
	}
	EstimateLoads(all)
	return all
}

// offer sends a request to the upstream that its entry daemon chooses.
func (r *replay) offer(q *replayRequest) {
	candidates := r.candidates(q.entry)
	q.Goal = q.arrived + goalFactor*r.serviceTime - r.now
	chosen := -1
	if len(q.Tried) < maxOffers {
		chosen = Choose(candidates, q.PlacementRequest)
	}
	if chosen < 0 {
		r.result.refused++
		return
	}
	c := &candidates[chosen]
	q.Tried = append(q.Tried, c.Instance)
	q.at = r.byName[c.Instance]
	q.spillover = !c.Local && HasLocal(candidates)
	if !c.Self {
		q.entry.views[q.at.index].Outstanding++
	}
	r.after(r.delay(q.entry, q.at), func() { r.submit(q) })
}

// submit asks the admission controller of the chosen upstream for a slot.
func (r *replay) submit(q *replayRequest) {
	q.offered = r.now
	goal := q.arrived + goalFactor*r.serviceTime
	ticket, reason, _ := q.at.queue.Submit(r.now, admission.Request{Kind: "k", Goal: goal, Deadline: q.arrived + deadlineFactor*r.serviceTime,
		PastGoal: r.now >= goal, Spillover: q.spillover})
	switch {
	case reason != 0:
		r.refuse(q)
	case ticket == nil:
		r.start(q)
	default:
		q.at.tickets[ticket] = q
		r.after(goal-r.now, func() {
			if q.at.tickets[ticket] == q && q.at.queue.Remove(ticket) {
				delete(q.at.tickets, ticket)
				r.refuse(q)
			}
		})
	}
}

func (r *replay) refuse(q *replayRequest) {
	r.result.offersRefused++
	r.reply(q, func() { r.offer(q) })
}

// reply sends the state of the executing daemon to the entry daemon, which then goes
// on with the request.
func (r *replay) reply(q *replayRequest, proceed func()) {
	n, report := q.at, r.report(q.at)
	r.after(r.delay(n, q.entry), func() {
		if n != q.entry {
			r.learn(q.entry, n, report)
			q.entry.views[n.index].Outstanding--
		}
		proceed()
	})
}

// start runs a request at its upstream.
func (r *replay) start(q *replayRequest) {
	n := q.at
	q.begun = r.now
	r.result.waited += r.now - q.offered
	run := (0.4 + 0.6*r.random.ExpFloat64()) * float64(r.serviceTime) / n.speed
	if r.now < n.slowUntil {
		run *= slowFactor
	}
	n.running++
	n.served++
	r.after(time.Duration(run), func() { r.end(q) })
}

// end frees the slot of a request, starts the next one and sends the answer.
func (r *replay) end(q *replayRequest) {
	n := q.at
	r.reply(q, func() {
		if r.now <= q.arrived+goalFactor*r.serviceTime {
			r.result.inGoal++
		}
		if n.dataCentre != q.entry.dataCentre {
			r.result.remote++
		}
	})
	n.running--
	next, late := n.queue.Release(r.now, "k", r.now-q.begun, false)
	for _, t := range late {
		r.refuse(n.tickets[t])
		delete(n.tickets, t)
	}
	if next != nil {
		r.start(n.tickets[next])
		delete(n.tickets, next)
	}
}

// report returns the state that a daemon reports. OtherLoad is the whole load.
func (r *replay) report(n *node) Candidate {
	return Candidate{Instance: n.name, Available: true, Slots: n.slots, ServiceTime: n.queue.ServiceTime(),
		OtherLoad: float64(n.running + len(n.tickets))}
}

// learn stores a peer's report at a daemon.
func (r *replay) learn(n, peer *node, report Candidate) {
	v := n.views[peer.index]
	report.Outstanding = v.Outstanding
	report.OtherLoad = max(report.OtherLoad-v.Outstanding, 0)
	report.Local = n.dataCentre == peer.dataCentre
	report.RTT = 2 * r.delay(n, peer)
	v.Candidate, v.at = report, r.now
}

// ping exchanges reports once nothing has been received for pingInterval.
func (r *replay) ping(n, peer *node) {
	if r.now > replayLength {
		return
	}
	idle := r.now - n.views[peer.index].at
	if idle < pingInterval {
		r.after(pingInterval-idle, func() { r.ping(n, peer) })
		return
	}
	r.after(r.delay(n, peer), func() {
		report := r.report(peer)
		r.after(r.delay(n, peer), func() {
			r.learn(n, peer, report)
			r.ping(n, peer)
		})
	})
}

// delay returns the one-way delay between two daemons.
func (r *replay) delay(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.dataCentre == b.dataCentre:
		return localDelay
	default:
		pair := a.dataCentre*b.dataCentre + a.dataCentre + b.dataCentre
		return 900*time.Microsecond + time.Duration(pair*37%42)*100*time.Microsecond
	}
}

// sample adds the present loads to the sums and compares the upstreams at the end of
// each window.
func (r *replay) sample() {
	if r.now > replayLength {
		return
	}
	r.after(sampleInterval, r.sample)
	for i, n := range r.nodes {
		r.sums[i] += float64(n.running+len(n.tickets)) / float64(n.slots)
	}
	if r.samples++; r.samples < int(window/sampleInterval) {
		return
	}
	mean, most := 0.0, 0.0
	for i, sum := range r.sums {
		mean += sum / float64(len(r.sums))
		most = max(most, sum)
		r.sums[i] = 0
	}
	r.samples = 0
	r.result.busiest += most / mean
	r.result.windows++
}
