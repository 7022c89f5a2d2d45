package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// Config holds the parameters of a Core.
type Config struct {
	// Instance, DataCentre and Service are those of this daemon.
	Instance   string
	DataCentre string
	Service    string
	// Rollback is the time after a bad version's 50th bad answer from which it must not
	// get requests.
	Rollback time.Duration
}

const (
	// newReportInterval and oldReportInterval are the times between two reports of a
	// daemon beside a new and beside an old upstream. New ones are few and decide how
	// soon a bad version is found.
	newReportInterval = 250 * time.Millisecond
	oldReportInterval = 600 * time.Millisecond
	// keepAliveInterval is the time after which a report is repeated without a change.
	keepAliveInterval = time.Second
	// reportReceivers is the number of daemons that get the reports: the coordinator,
	// and the one that follows it.
	reportReceivers = 2
	// isolatedAfter is how long a daemon that reaches fewer than half of its data centre
	// goes on giving requests to its upstream during a rollout. It notices a cut up to 2.4 s
	// later than the others, as idle connections are pinged each 2 s, and the last request
	// ends later still: the sum must be below goneAfter, after which the others no longer
	// wait for it.
	isolatedAfter = time.Second
	// recentLoss is how long before a rollout a member may have become unreachable and
	// still count as evidence that this daemon is cut off.
	recentLoss = 5 * time.Second
	// goneAfter is the time for which a member must be unreachable from all of its data
	// centre before completion does not wait for it any more. Requests that it had
	// accepted have passed their deadlines by then.
	goneAfter = 5 * time.Second
	// resolveWait is how long a daemon that has just started waits for a peer that knows
	// the phase of a rollout before it reads it from the store.
	resolveWait = 400 * time.Millisecond
	// confirmationLasts is how long a report of an earlier process of this daemon may be taken
	// for its present state: freshReport, and the time in which the end of that process is
	// noticed. lateWrites is how long after a reversion the store may still perform a write
	// of the completion whose answer was lost.
	confirmationLasts = 5 * time.Second
	lateWrites        = 10 * time.Second
	// breakerBase and breakerScore decide when an upstream fails beyond doubt: its share
	// of failures is above breakerBase with odds of exp(breakerScore).
	breakerBase  = 0.1
	breakerScore = 9
)

// Core is the reducer of a daemon's knowledge about rollouts. It is not safe for
// concurrent use.
type Core struct {
	cfg     Config
	now     time.Duration
	effects []step.Effect

	services map[string]*service
	// peers holds the other daemons by instance.
	peers map[string]*peer
	// upstream is the local upstream.
	upstream UpstreamChanged
	// membersComplete is set once the whole member table has been read.
	membersComplete bool
	// configured holds the configured services; nil before the first configuration.
	configured map[string]bool
	// requestsRead is set once the store's rollout requests were read.
	requestsRead     bool
	storeUnavailable bool
	// rowsReadAt is when the store's rows about rollouts were last requested.
	rowsReadAt time.Duration
	// published is the text form of what was last published, notified that of the part
	// of which peers are notified at once. They learn of further versions with the next
	// ping.
	published, notified string
	// pausedFrom is when the last pause of the process began, resumedAt when it ended; both
	// are 0 if there was none.
	pausedFrom, resumedAt time.Duration
	// lastReport is the last report that was sent, at sentAt.
	lastReport Report
	sentAt     time.Duration
}

// peer is another daemon.
type peer struct {
	Member
	// member is set while this daemon connects to it, listed while it is in the member
	// table. It was removed from that at removedAt; 0 if it was not.
	member, listed bool
	removedAt      time.Duration
	// rank is that of the instance.
	rank      uint64
	state     PeerState
	reachable bool
	// reached is set once it was reachable. unreachableSince is when it ceased to be, or
	// when it became known.
	reached          bool
	unreachableSince time.Duration
	// lostSince is the earliest time at which the peer may have ceased to be reachable,
	// reachableSince when it last became reachable.
	lostSince, reachableSince time.Duration
}

// service is what is known of one service's rollout.
type service struct {
	Progress
	// knownAt is when the first daemon learned of the request, on this daemon's clock.
	knownAt time.Duration
	// phaseAt is when this daemon entered the phase.
	phaseAt time.Duration
	// unresolved is set while the store's phase of the request is not known after a
	// start of the process.
	unresolved bool
	// hadBefore is set if the local upstream had the new version when the request
	// became known.
	hadBefore bool
	// confirmed is set once the completion may be written without a further word of this
	// daemon: it has reported that its old upstream is closed in phase full, an earlier
	// process of it may have, or others may have counted it as gone. beganAt is when this process
	// learned of the request.
	confirmed bool
	beganAt   time.Duration
	// broken is set once the local upstream, of the new version, was found to fail.
	broken bool
	// unknownService is set once the service was reported as not configured.
	unknownService bool
	// history holds the reports about the service's upstreams by instance.
	history map[string]*history
	coordination
}

// New returns the core of a daemon that has just started.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, services: map[string]*service{}, peers: map[string]*peer{}}
}

// Step processes one event and returns the resulting effects in the order in which to
// perform them.
func (c *Core) Step(env step.Env, ev step.Event) []step.Effect {
	c.now = env.Now
	c.effects = nil
	switch ev := ev.(type) {
	case step.Tick:
		c.tick()
	case step.Resumed:
		c.resume(ev)
	case RequestsRead:
		c.applyRequests(ev)
	case RowsRead:
		c.applyRows(ev)
	case ProgressReceived:
		for _, received := range ev.Progress {
			c.applyProgress(received, ev.Instance)
		}
	case ReportReceived:
		c.applyReport(ev)
	case MembersChanged:
		c.applyMembers(ev)
	case PeerReachability:
		c.applyReachability(ev)
	case PeerState:
		c.peer(ev.Instance).state = ev
	case StoreAvailability:
		c.storeUnavailable = ev.Unavailable
	case UpstreamChanged:
		c.upstream = ev
	case ConfigServices:
		c.configured = ev.Names
		for _, s := range c.services {
			c.warnUnknownService(s)
		}
	case WriteDone:
		c.applyWrite(ev)
	}
	if received, ok := ev.(ReportReceived); ok && received.Instance != c.cfg.Instance {
		// It concerns only the next decision of the coordinator.
		return c.effects
	}
	c.learnVersions()
	c.noteIsolation()
	c.publish()
	return c.effects
}

func (c *Core) emit(effect step.Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(number event.Number, warn bool, fields ...step.Field) {
	c.emit(step.Log{Event: number, Warn: warn, Fields: fields})
}

// tick performs the changes that depend on time alone.
func (c *Core) tick() {
	for _, name := range c.serviceNames() {
		s := c.services[name]
		if (s.unresolved || c.confirmedEarlier(s)) && c.now-s.beganAt >= resolveWait {
			c.readRows()
		}
		c.coordinate(s)
	}
}

// serviceNames returns the services with a rollout in order.
func (c *Core) serviceNames() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ownService returns the service of the local upstream, or that of the settings before
// the upstream has reported.
func (c *Core) ownService() string { return cmp.Or(c.upstream.Service, c.cfg.Service) }

// applyRequests applies the rollout requests in the store.
func (c *Core) applyRequests(ev RequestsRead) {
	first := !c.requestsRead
	c.requestsRead = true
	for _, rejected := range ev.Rejected {
		c.log(event.RolloutRejected, true, step.F("key", rejected.Key), step.F("error", rejected.Err))
	}
	for _, request := range ev.Requests {
		s := c.services[request.Service]
		if s != nil && !request.Position.After(s.Position) {
			continue
		}
		var before Progress
		if s != nil {
			before = c.current(s)
		}
		s = c.begin(Begin(request, before), "store")
		// Later requests are seen as they are written, and cannot have a phase yet.
		s.unresolved = first && before.Phase == 0
		s.confirmed = s.confirmed || s.unresolved
		s.rowsKnown = false
	}
}

// begin makes p the rollout of its service and returns its state.
func (c *Core) begin(p Progress, from string) *service {
	before := c.services[p.Service]
	s := &service{Progress: p, knownAt: c.now - p.Age, phaseAt: c.now, beganAt: c.now, history: map[string]*history{}}
	// A process that has not read the requests yet may have been started after this one.
	s.confirmed = !c.requestsRead
	s.hadBefore = c.upstream.Service == p.Service && c.upstream.Version == p.To
	if before != nil {
		s.coordination = before.coordination.carryOver()
	}
	continued := before != nil && p.continues(before.Progress)
	if continued {
		s.history, s.phaseAt, s.hadBefore, s.broken = before.history, before.phaseAt, before.hadBefore, before.broken
		s.confirmed, s.beganAt = before.confirmed, before.beganAt
	}
	c.services[p.Service] = s
	c.log(event.RolloutSeen, false, step.F("service", p.Service), step.F("to", p.To), step.F("period", p.Period),
		step.F("phase", p.Phase), step.F("continued", continued), step.F("from", from))
	c.warnUnknownService(s)
	return s
}

// warnUnknownService logs a request for a service that is not configured, once. No
// daemon has an upstream of it, so nothing else follows.
func (c *Core) warnUnknownService(s *service) {
	if c.configured == nil || c.configured[s.Service] || s.unknownService || !s.Phase.Active() {
		return
	}
	s.unknownService = true
	c.log(event.RolloutRejected, true, step.F("service", s.Service), step.F("error", "the service is not configured"))
}

// current returns the progress with its present age.
func (c *Core) current(s *service) Progress {
	p := s.Progress
	p.Age = max(c.now-s.knownAt, 0)
	return p
}

// applyProgress merges what another daemon or the store says about a rollout.
func (c *Core) applyProgress(received Progress, from string) {
	if received.Service == "" || received.To == "" || received.Phase < Trial || received.Phase > Completed {
		return
	}
	received.From, received.Denied = union(received.From, nil), union(received.Denied, nil)
	s := c.services[received.Service]
	if s == nil {
		c.begin(received, from)
		return
	}
	own := c.current(s)
	if received.Position.After(own.Position) {
		s = c.begin(Merge(received, Begin(received.Request, own)), from)
		s.rowsKnown = false
		return
	}
	merged := Merge(own, received)
	if received.Position == own.Position {
		s.unresolved = false
	}
	s.knownAt = c.now - merged.Age
	if merged.Phase != s.Phase {
		c.enter(s, merged.Phase, merged.Reason, from)
	}
	s.Progress = merged
}

// enter logs a new phase and makes it the present one.
func (c *Core) enter(s *service, phase Phase, reason, from string) {
	c.log(event.RolloutPhase, phase == Reverted, step.F("service", s.Service), step.F("to", s.To), step.F("phase", phase),
		step.F("before", s.Phase), step.F("reason", reason), step.F("from", from), step.F("age", max(c.now-s.knownAt, 0)))
	s.Phase, s.Reason, s.Stored, s.phaseAt = phase, reason, false, c.now
}

// learnVersions adds the versions that upstreams of the services have to those that
// the rollouts replace.
func (c *Core) learnVersions() {
	for _, s := range c.services {
		if !s.Phase.Active() {
			continue
		}
		if c.upstream.Service == s.Service {
			s.learn(c.upstream.Version)
		}
		for _, p := range c.peers {
			if p.state.Service == s.Service {
				s.learn(p.state.Version)
			}
		}
	}
}

// learn adds a version to those that are replaced.
func (s *service) learn(version string) {
	if version == "" || version == s.To || slices.Contains(s.Denied, version) || slices.Contains(s.From, version) {
		return
	}
	s.From = union(s.From, []string{version})
}

// view returns what the data path gets to know of a rollout.
func (c *Core) view(s *service) View {
	v := View{Progress: c.current(s), Unresolved: s.unresolved}
	if s.Service != c.ownService() {
		v.Gated = len(s.From) > 0
		return v
	}
	v.Gated = len(s.From) > 0 || !s.hadBefore
	v.Isolated = s.Phase.Active() && c.isolated(s)
	v.Confirmed = c.keepsClosed(s)
	v.NewClosed = s.broken || s.Phase == Trial && c.cutOff(s)
	return v
}

// publish publishes the rollouts if anything but their age has changed, and notifies
// peers if they do not know it.
func (c *Core) publish() {
	all := Publish{}
	published, notified := "", ""
	for _, name := range c.serviceNames() {
		s := c.services[name]
		v := c.view(s)
		all.Views = append(all.Views, v)
		v.Age = 0
		if !v.Unresolved {
			notified += fmt.Sprintf("%+v %v %s %t %v %t\n", v.Request, v.Phase, v.Reason, len(v.From) > 0, v.Denied, v.Stored)
		}
		published += fmt.Sprintf("%+v %+v\n", v, s.summaryKey())
	}
	if published == c.published {
		return
	}
	for _, name := range c.serviceNames() {
		all.Summaries = append(all.Summaries, c.summary(c.services[name]))
	}
	all.NotifyPeers = notified != c.notified
	c.published, c.notified = published, notified
	c.emit(all)
}
