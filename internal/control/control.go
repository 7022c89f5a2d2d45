// Package control is the one reducer over all events of a daemon: it knows the
// configuration in force, the other daemons and the upstream beside this one,
// and says what has to be done about each change.
//
// Core does no I/O, reads no clock and draws no random numbers of its own.
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

// Config holds what a core is started with.
type Config struct {
	// Self is the own entry of the member table.
	Self Member
	// Heartbeat is the interval at which the upstream reports.
	Heartbeat time.Duration
	// UpstreamAddress is the only address that reports may name; empty takes
	// any.
	UpstreamAddress string
}

const (
	// silentBeats is how many reports may be missing before the upstream
	// counts as gone.
	silentBeats = 6
	// lapsedBeats is how many reports must be missing before an upstream that
	// seems to be older takes the place of the one that is known.
	lapsedBeats = 3
	// lostPause is how long an upstream that broke connections is left alone
	// unless it reports before.
	lostPause = 300 * time.Millisecond
)

// Core is the reducer. It is used by one goroutine.
type Core struct {
	cfg Config
	now time.Duration
	// wall is the time of day in Unix milliseconds.
	wall    int64
	effects []step.Effect

	version uint64
	members map[string]memberRow
	// greetings is set when daemons have greeted that are not published yet. Many
	// greet at once when a fleet starts.
	greetings bool
	// written is set once the own entry is known to be in the table.
	written  bool
	upstream Upstream
	lastBeat time.Duration
	// lostUntil is until when a broken upstream gets no requests.
	lostUntil time.Duration
	stopping  bool
	// fetching is the version that was asked for from a peer.
	fetching uint64
	// wanted is a version that only daemons of other data centres are known to
	// have, and wantedFrom one of them; wantedAt is when it is read.
	wanted     uint64
	wantedFrom string
	wantedAt   time.Duration
	// fetchNext is asked for the wanted version when reading it has failed.
	fetchNext string
	up        map[string]bool
	// turnedAway are the peers that the store does not answer.
	turnedAway map[string]bool
	// duty is set while this daemon waits at the store for configurations.
	duty bool
}

// memberRow is an entry of the member table with its version at the store.
type memberRow struct {
	Member
	version uint64
}

// New returns the core of a process that just started.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, members: map[string]memberRow{}, up: map[string]bool{}, turnedAway: map[string]bool{}, duty: true}
}

// Step takes one event and returns the work it asks for, in order.
func (c *Core) Step(m step.Moment, ev step.Event) []step.Effect {
	c.now = m.Now
	c.wall = m.Wall.UnixMilli()
	c.effects = nil
	switch ev := ev.(type) {
	case step.Tick:
		c.tick()
	case ConfigRead:
		c.configRead(ev)
	case ConfigRejected:
		c.fetching = 0
		c.log(event.ConfigRefused, true, step.F("error", ev.Err), step.F("from", ev.From))
	case PeerHeard:
		c.peerHeard(ev)
	case FetchFailed:
		c.fetching = 0
	case PeerGreeted:
		c.greeted(ev.Member)
	case PeerReached:
		c.up[ev.Instance] = ev.Up
		c.updateDuty()
	case PeerStore:
		c.turnedAway[ev.Instance] = ev.Lost
		c.updateDuty()
	case MembersRead:
		c.membersRead(ev)
	case UpstreamReport:
		c.report(ev)
	case UpstreamLost:
		c.upstreamLost(ev)
	case UpstreamReminded:
		c.reminded(ev)
	case UpstreamStalled:
		c.upstreamStalled(ev)
	case MemberWritten:
		c.written = ev.Err == nil
	case StopRequested:
		c.stop()
	}
	return c.effects
}

func (c *Core) emit(effect step.Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(number event.Number, warn bool, fields ...step.Field) {
	c.emit(step.Log{Event: number, Warn: warn, Fields: fields})
}

// configRead puts a configuration in force if it is newer than the one that
// is. Versions only grow within one process.
func (c *Core) configRead(ev ConfigRead) {
	if ev.From != FromStore {
		// The peer that was asked has answered, with whatever version.
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

// greeted takes a daemon that connected to this one: it may be new, and the
// store may be away.
func (c *Core) greeted(m Member) {
	known := c.members[m.Instance]
	if known.Member == m || m.Instance == c.cfg.Self.Instance || m.Instance == "" || m.Address == "" || m.DataCentre == "" {
		return
	}
	c.members[m.Instance] = memberRow{m, known.version}
	c.greetings = true
}

// membersRead takes entries of the member table. An entry that cannot be read
// changes nothing.
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
	if ev.Whole {
		changed = c.dropUnseen(seen) || changed
		c.writeSelf()
	}
	if changed {
		c.publishMembers()
	}
}

// dropUnseen removes the entries that a whole reading does not hold.
func (c *Core) dropUnseen(seen map[string]bool) bool {
	dropped := false
	for key, known := range c.members {
		// One that is known from its greeting alone has not been written yet.
		if !seen[key] && known.Instance != "" && known.version > 0 {
			delete(c.members, key)
			dropped = true
		}
	}
	return dropped
}

// writeSelf writes the own entry unless the table holds it.
func (c *Core) writeSelf() {
	if c.stopping || c.members[c.cfg.Self.Instance].Member == c.cfg.Self {
		c.written = true
		return
	}
	c.written = true
	c.emit(WriteMember{Key: c.cfg.Self.Instance, Value: c.cfg.Self.encode()})
}

// stop begins a planned stop. The entry of a daemon whose upstream is gone is
// removed; that of one whose upstream lives stays for the next process.
func (c *Core) stop() {
	c.stopping = true
	c.log(event.DaemonStopping, false, step.F("upstream", c.upstream.State))
	if c.upstream.State == UpstreamGone {
		c.emit(RemoveMember{Key: c.cfg.Self.Instance})
	}
}

// tick looks at what only time changes.
func (c *Core) tick() {
	if !c.written && c.version > 0 && !c.stopping {
		c.writeSelf()
	}
	if c.lostUntil > 0 && c.now >= c.lostUntil {
		c.lostUntil = 0
		c.publishUpstream()
	}
	if c.greetings {
		c.publishMembers()
	}
	c.readWanted()
	silent := c.now - c.lastBeat
	if c.upstream.State == UpstreamReady && silent > silentBeats*c.cfg.Heartbeat {
		c.upstream.State = UpstreamSilent
		c.log(event.UpstreamSilent, true, step.F("upstream", c.upstream.ID), step.F("silent", silent))
		c.publishUpstream()
	}
}

// Member is an entry of the member table: how to reach a daemon, and the
// service of the upstream beside it.
type Member struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Address is host:port for other daemons.
	Address string `json:"address"`
	Service string `json:"service"`
}

func (m Member) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		// A struct of strings always has a JSON form.
		panic(fmt.Sprintf("control: encode member: %v", err))
	}
	return text
}

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
