// Package control is the reducer that decides all control state of a daemon:
// the configuration in force, the other daemons (members) and the local
// upstream. For each event it returns the effects to perform.
//
// Core does no I/O, reads no clock and draws no random numbers.
package control

import (
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// Config holds the parameters of a Core.
type Config struct {
	// Self is this daemon's entry in the member table.
	Self Member
	// HeartbeatInterval is the interval at which the upstream sends reports.
	HeartbeatInterval time.Duration
	// UpstreamAddress is the only address, host:port, accepted in reports; empty
	// accepts any. Deregistrations are accepted whatever their address.
	UpstreamAddress string
}

const (
	// silentHeartbeats is the number of heartbeat intervals without a report
	// after which the upstream counts as silent.
	silentHeartbeats = 6
	// takeoverHeartbeats is the number of heartbeat intervals without a report
	// from the known upstream after which an upstream with an earlier start
	// time may replace it.
	takeoverHeartbeats = 3
	// unreachablePause is how long an upstream that accepted no connection
	// gets no requests, unless a new incarnation reports earlier.
	unreachablePause = 300 * time.Millisecond
)

// Core is the reducer. It is not safe for concurrent use.
type Core struct {
	cfg Config
	// now is the monotonic time of the current step.
	now time.Duration
	// wall is the wall clock of the current step, in Unix milliseconds.
	wall    int64
	effects []step.Effect

	// version is the configuration version in force; 0 for none.
	version uint64
	// members holds the rows of the member table and the daemons known from
	// handshakes, by instance.
	members map[string]memberRow
	// publishPending is set while members learned from handshakes are not yet
	// published. The next tick publishes them together, because many daemons
	// connect simultaneously when a fleet starts.
	publishPending bool
	// membersComplete is set once the whole member table has been read.
	membersComplete bool
	// ownEntryRead is set once a read of the member table has returned this daemon's
	// entry. Each other daemon either wrote its entry before and was read, too, or writes
	// it later and then reads this one. It stays set: if the store loses the entry, the
	// daemons that know each other go on.
	ownEntryRead bool
	// ownEntryDue is set while the entry was written and not read since, and
	// ownEntryReadAt is then the earliest time of the next read that is requested for it.
	ownEntryDue    bool
	ownEntryReadAt time.Duration
	// limited is set while a customer of the configuration in force has a limit.
	limited bool
	// selfWritten is clear while this daemon's entry still has to be written to
	// the member table: before the first write and after a failed one. It is set
	// while a write is in progress.
	selfWritten bool
	upstream    Upstream
	departures  departures
	// unprovenSince is the monotonic time of the first report of an upstream that is Unproven.
	unprovenSince time.Duration
	// lastHeartbeat is the monotonic time of the last applied report.
	lastHeartbeat time.Duration
	// unreachableUntil is the monotonic time from which an unreachable upstream
	// gets requests again; 0 if the upstream is reachable.
	unreachableUntil time.Duration
	stopping         bool
	// service is the upstream's service in the settings; empty accepts any.
	service string
	// sources holds, by instance, the reachable peers that have reported a newer version
	// than the one in force.
	sources map[string]configSource
	// fetching is the version requested from the peer fetchingFrom, 0 for none, and
	// fetchEnds the time after which the fetch counts as failed.
	fetching     uint64
	fetchingFrom string
	fetchEnds    time.Duration
	// remoteVersion is the newest version that a peer of another data centre, or one
	// that stops, reported before a running local one did; 0 for none. storeAsked is set
	// once a read of the store for it was requested. remoteReadAt is the monotonic time
	// of the next attempt to obtain it.
	remoteVersion uint64
	storeAsked    bool
	remoteReadAt  time.Duration
	// reachable is the set of the reachable peers, by instance.
	reachable map[string]bool
	// storeUnavailable is the set of the peers that the store does not answer, by
	// instance.
	storeUnavailable map[string]bool
	// rollouts holds the services with a rollout in progress, rolloutSince when that of
	// the own service became known. publishedAt is when members were last published.
	rollouts     map[string]bool
	rolloutSince time.Duration
	publishedAt  time.Duration
	// era is what is known of the store's era.
	era eraState
	// storeWatcher is this daemon's role in watching the store for new configurations.
	storeWatcher SetStoreWatcher
}

// New returns the core of a daemon that has just started. It begins as a store
// watcher that is alone.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, service: cfg.Self.Service, members: map[string]memberRow{}, sources: map[string]configSource{}, reachable: map[string]bool{}, storeUnavailable: map[string]bool{}, storeWatcher: SetStoreWatcher{On: true, Turns: 1}}
}

// Step processes one event and returns the resulting effects in the order in
// which to perform them.
func (c *Core) Step(env step.Env, ev step.Event) []step.Effect {
	c.now = env.Now
	c.wall = env.Wall.UnixMilli()
	c.effects = nil
	switch ev := ev.(type) {
	case step.Tick:
		c.tick()
	case ConfigRead:
		c.configRead(ev)
	case ConfigRejected:
		c.log(event.ConfigRefused, true, step.F("error", ev.Err), step.F("from", ev.From))
		c.fetchLost(ev.From)
	case PeerConfigVersion:
		c.peerVersion(ev)
	case FetchFailed:
		c.fetchLost(ev.Instance)
	case PeerHandshake:
		c.peerHandshake(ev.Member)
	case PeerReachability:
		c.peerReachability(ev)
	case PeerStoreAvailability:
		setMembership(c.storeUnavailable, ev.Instance, ev.Unavailable)
		c.updateStoreWatcher()
	case StoreEra:
		c.storeEra(ev.Era)
	case PeerStoreEra:
		c.peerStoreEra(ev)
	case MembersRead:
		c.membersRead(ev)
	case UpstreamReport:
		c.upstreamReport(ev)
	case ServiceChanged:
		c.service = ev.Service
	case UpstreamUnreachable:
		c.upstreamUnreachable(ev)
	case DrainRecordReceived:
		c.upstreamWasDraining(ev)
	case UpstreamStalled:
		c.upstreamStalled(ev)
	case UpstreamLeaving:
		c.upstreamLeaving(ev)
	case MemberWritten:
		c.memberWritten(ev)
	case RolloutsChanged:
		c.applyRollouts(ev.Services)
	case StopRequested:
		c.stop(ev)
	}
	return c.effects
}

func (c *Core) emit(effect step.Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(number event.Number, warn bool, fields ...step.Field) {
	c.emit(step.Log{Event: number, Warn: warn, Fields: fields})
}

// configRead puts a configuration in force if it is newer than the current one
// and compiles. Within one process the version in force never decreases.
func (c *Core) configRead(ev ConfigRead) {
	c.fetchReturned(ev.From, ev.Version)
	if ev.Version <= c.version {
		c.logOlderConfig(ev)
		return
	}
	table, err := manifest.Compile(ev.Manifest)
	if err != nil {
		c.log(event.ConfigRefused, true, step.F("version", ev.Version), step.F("from", ev.From), step.F("error", err))
		return
	}
	c.version = ev.Version
	c.limited = table.HasLimitedCustomers()
	c.dropOldSources()
	if c.fetching <= c.version {
		c.endFetch()
	}
	c.emit(PublishTable{Version: ev.Version, Table: table, Packed: ev.Packed})
	c.readOwnEntryWhenDue()
	c.log(event.ConfigApplied, false, step.F("version", ev.Version), step.F("from", ev.From), step.F("routes", len(table.Routes())))
}

// logOlderConfig logs that the store holds an older configuration than the one in
// force since it has come back from an older copy. The version in force stays.
// Before, an older one is only an answer that a newer one from a peer has overtaken.
func (c *Core) logOlderConfig(ev ConfigRead) {
	if ev.From == FromStore && ev.Version < c.version && c.era.advanced {
		c.log(event.ConfigOlder, true, step.F("version", ev.Version), step.F("in_force", c.version))
	}
}

// stop starts a planned stop. It removes this daemon's member entry only if the
// upstream has deregistered and ended; otherwise the entry stays for the daemon's next
// process, which must not use an upstream that goes on after it has deregistered.
func (c *Core) stop(ev StopRequested) {
	c.stopping = true
	c.log(event.DaemonStopping, false, step.F("upstream", c.upstream.State), step.F("upstream_runs", ev.UpstreamRuns))
	if c.upstream.State == UpstreamDeregistered && !ev.UpstreamRuns {
		c.emit(RemoveMember{Key: c.cfg.Self.Instance})
	}
}

// tick performs the changes that depend on time alone.
func (c *Core) tick() {
	if !c.selfWritten && c.membersComplete && (c.version > 0 || c.departurePending()) {
		c.writeSelf()
	}
	if c.unreachableUntil > 0 && c.now >= c.unreachableUntil {
		c.unreachableUntil = 0
		c.publishUpstream()
	}
	if c.now >= c.fetchEnds {
		c.fetchLost(c.fetchingFrom)
	}
	c.dropMissing()
	if c.publishPending {
		c.publishMembers()
	}
	c.growRolloutMesh()
	c.readMembersWhenDue()
	c.readOwnEntryWhenDue()
	c.readRemoteVersion()
	sinceHeartbeat := c.now - c.lastHeartbeat
	if c.upstream.State == UpstreamReady && sinceHeartbeat > silentHeartbeats*c.cfg.HeartbeatInterval {
		c.upstream.State = UpstreamSilent
		c.log(event.UpstreamSilent, true, step.F("upstream", c.upstream.ID), step.F("silent", sinceHeartbeat))
		c.publishUpstream()
	}
}
