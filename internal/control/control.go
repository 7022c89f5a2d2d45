// Package control is the reducer that decides all control state of a daemon:
// the configuration in force, the other daemons (members) and the local
// upstream. For each event it returns the effects to perform.
//
// Core does no I/O, reads no clock and draws no random numbers.
package control

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	// selfWritten is clear while this daemon's entry still has to be written to
	// the member table: before the first write and after a failed one. It is set
	// while a write is in progress.
	selfWritten bool
	upstream    Upstream
	// lastHeartbeat is the monotonic time of the last applied report.
	lastHeartbeat time.Duration
	// unreachableUntil is the monotonic time from which an unreachable upstream
	// gets requests again; 0 if the upstream is reachable.
	unreachableUntil time.Duration
	stopping         bool
	// fetching is the version requested from a peer; 0 for none.
	fetching uint64
	// remoteVersion is the newest version that a daemon of another data centre
	// reported before a local one did; 0 for none. remoteSource is that daemon,
	// or empty once a read of the store for the version was requested.
	// remoteReadAt is the monotonic time of the next attempt to obtain it.
	remoteVersion uint64
	remoteSource  string
	remoteReadAt  time.Duration
	// fallbackSource is the daemon to fetch remoteVersion from if the store did
	// not return it.
	fallbackSource string
	// reachable holds whether a peer is reachable, by instance.
	reachable map[string]bool
	// storeUnavailable holds whether the store does not answer a peer, by
	// instance.
	storeUnavailable map[string]bool
	// storeWatcher is set while this daemon watches the store for new
	// configurations.
	storeWatcher bool
}

// memberRow is a member table entry with its version in the store. The Member is
// zero if the entry was removed; the version is 0 if the daemon is known only
// from a handshake.
type memberRow struct {
	Member
	version uint64
}

// New returns the core of a daemon that has just started. It begins as a store
// watcher.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, members: map[string]memberRow{}, reachable: map[string]bool{}, storeUnavailable: map[string]bool{}, storeWatcher: true}
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
		c.fetching = 0
		c.log(event.ConfigRefused, true, step.F("error", ev.Err), step.F("from", ev.From))
	case PeerConfigVersion:
		c.peerVersion(ev)
	case FetchFailed:
		c.fetching = 0
	case PeerHandshake:
		c.peerHandshake(ev.Member)
	case PeerReachability:
		c.reachable[ev.Instance] = ev.Reachable
		c.updateStoreWatcher()
	case PeerStoreAvailability:
		c.storeUnavailable[ev.Instance] = ev.Unavailable
		c.updateStoreWatcher()
	case MembersRead:
		c.membersRead(ev)
	case UpstreamReport:
		c.upstreamReport(ev)
	case UpstreamUnreachable:
		c.upstreamUnreachable(ev)
	case DrainRecordReceived:
		c.upstreamWasDraining(ev)
	case UpstreamStalled:
		c.upstreamStalled(ev)
	case MemberWritten:
		c.selfWritten = ev.Err == nil
	case StopRequested:
		c.stop()
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
	if ev.From != FromStore {
		// The fetch has ended, even if the peer sent another version.
		c.fetching = 0
	}
	if ev.Version <= c.version {
		return
	}
	table, err := manifest.Compile(ev.Manifest)
	if err != nil {
		c.log(event.ConfigRefused, true, step.F("version", ev.Version), step.F("from", ev.From), step.F("error", err))
		return
	}
	c.version = ev.Version
	c.fetching = 0
	c.emit(PublishTable{Version: ev.Version, Table: table, Packed: ev.Packed})
	c.log(event.ConfigApplied, false, step.F("version", ev.Version), step.F("from", ev.From), step.F("routes", len(table.Routes())))
}

// peerHandshake adds or updates a daemon that connected to this one. New
// daemons become known this way even while the store is unavailable. A handshake
// without instance, address or data centre is ignored.
func (c *Core) peerHandshake(m Member) {
	known := c.members[m.Instance]
	if known.Member == m || m.Instance == c.cfg.Self.Instance || m.Instance == "" || m.Address == "" || m.DataCentre == "" {
		return
	}
	c.members[m.Instance] = memberRow{m, known.version}
	c.publishPending = true
}

// membersRead applies rows of the member table. Rows that are not newer than
// the known ones are ignored; a row that cannot be decoded is logged and leaves
// the known entry unchanged.
func (c *Core) membersRead(ev MembersRead) {
	changed := false
	seen := map[string]bool{}
	for _, row := range ev.Rows {
		seen[row.Key] = true
		known := c.members[row.Key]
		if row.Version <= known.version {
			continue
		}
		if row.Removed {
			c.members[row.Key] = memberRow{version: row.Version}
			changed = true
			continue
		}
		member, err := decodeMember(row.Key, row.Value)
		if err != nil {
			c.log(event.MemberUnreadable, true, step.F("key", row.Key), step.F("error", err))
			continue
		}
		c.members[row.Key] = memberRow{member, row.Version}
		changed = changed || member != known.Member
	}
	if ev.Complete {
		changed = c.dropUnseen(seen) || changed
		c.writeSelf()
	}
	if changed {
		c.publishMembers()
	}
}

// dropUnseen removes the entries that a complete read of the member table did
// not return. It reports whether it removed any.
func (c *Core) dropUnseen(seen map[string]bool) bool {
	dropped := false
	for key, known := range c.members {
		// A member known only from its handshake (version 0) may not have
		// written its entry yet.
		if !seen[key] && known.Instance != "" && known.version > 0 {
			delete(c.members, key)
			dropped = true
		}
	}
	return dropped
}

// writeSelf writes this daemon's entry unless the member table already holds it
// or the daemon is stopping.
func (c *Core) writeSelf() {
	if c.stopping || c.members[c.cfg.Self.Instance].Member == c.cfg.Self {
		c.selfWritten = true
		return
	}
	c.selfWritten = true
	c.emit(WriteMember{Key: c.cfg.Self.Instance, Value: c.cfg.Self.encode()})
}

// stop starts a planned stop. It removes this daemon's member entry only if the
// upstream has deregistered; otherwise the entry stays for the daemon's next
// process.
func (c *Core) stop() {
	c.stopping = true
	c.log(event.DaemonStopping, false, step.F("upstream", c.upstream.State))
	if c.upstream.State == UpstreamDeregistered {
		c.emit(RemoveMember{Key: c.cfg.Self.Instance})
	}
}

// tick performs the changes that depend on time alone.
func (c *Core) tick() {
	if !c.selfWritten && c.version > 0 && !c.stopping {
		c.writeSelf()
	}
	if c.unreachableUntil > 0 && c.now >= c.unreachableUntil {
		c.unreachableUntil = 0
		c.publishUpstream()
	}
	if c.publishPending {
		c.publishMembers()
	}
	c.readRemoteVersion()
	sinceHeartbeat := c.now - c.lastHeartbeat
	if c.upstream.State == UpstreamReady && sinceHeartbeat > silentHeartbeats*c.cfg.HeartbeatInterval {
		c.upstream.State = UpstreamSilent
		c.log(event.UpstreamSilent, true, step.F("upstream", c.upstream.ID), step.F("silent", sinceHeartbeat))
		c.publishUpstream()
	}
}

// Member is an entry of the member table: the address of a daemon and the
// service of its local upstream.
type Member struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Address is the host:port at which other daemons connect.
	Address string `json:"address"`
	Service string `json:"service"`
}

func (m Member) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		// Marshalling a struct of strings cannot fail.
		panic(fmt.Sprintf("control: encode member: %v", err))
	}
	return text
}

// decodeMember decodes a row of the member table. It returns an error unless
// the instance equals the row's key and the address and data centre are set.
func decodeMember(key string, value []byte) (Member, error) {
	var m Member
	decoder := json.NewDecoder(bytes.NewReader(value))
	if err := decoder.Decode(&m); err != nil {
		return m, fmt.Errorf("decode member: %w", err)
	}
	if m.Instance != key || m.Address == "" || m.DataCentre == "" {
		return m, fmt.Errorf("decode member: instance %q, address %q, data centre %q", m.Instance, m.Address, m.DataCentre)
	}
	return m, nil
}
