package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// missingGrace is how long a member stays known that a complete read of the
// member table did not return and that cannot be reached. It may have written its
// entry again by then.
const missingGrace = 10 * time.Second

// ownEntryInterval is the time between two reads of the member table that are requested
// because this daemon has written its entry and not read it.
const ownEntryInterval = time.Second

// Member is an entry of the member table: the address of a daemon and the
// service of its local upstream.
type Member struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Address is the host:port at which other daemons connect.
	Address string `json:"address"`
	Service string `json:"service"`
}

// entry is the JSON form of a row of the member table.
type entry struct {
	Member
	Departure *Departure `json:"departure,omitempty"`
}

// encodeEntry returns the value of a row of the member table.
func encodeEntry(m Member, departure Departure) []byte {
	e := entry{Member: m}
	if departure != (Departure{}) {
		e.Departure = &departure
	}
	text, err := json.Marshal(e)
	if err != nil {
		// Marshalling strings and numbers cannot fail.
		panic(fmt.Sprintf("control: encode member: %v", err))
	}
	return text
}

// decodeEntry decodes a row of the member table. It returns an error unless
// the instance equals the row's key and the address and data centre are set.
func decodeEntry(key string, value []byte) (Member, Departure, error) {
	var e entry
	decoder := json.NewDecoder(bytes.NewReader(value))
	if err := decoder.Decode(&e); err != nil {
		return Member{}, Departure{}, fmt.Errorf("decode member: %w", err)
	}
	if e.Instance != key || e.Address == "" || e.DataCentre == "" {
		return Member{}, Departure{}, fmt.Errorf("decode member: instance %q, address %q, data centre %q", e.Instance, e.Address, e.DataCentre)
	}
	if e.Departure == nil {
		return e.Member, Departure{}, nil
	}
	return e.Member, *e.Departure, nil
}

// memberRow is what is known of one entry of the member table. The Member is zero
// if the entry was removed.
type memberRow struct {
	Member
	departure Departure
	// position is that of the entry's last known change, or of the complete read
	// that did not return it; zero if the daemon is known only from a handshake.
	position store.Position
	// writtenVersion is the store version of the last entry that was read. It is
	// kept after the entry was removed.
	writtenVersion uint64
	// missing is set while the last complete read did not return the entry;
	// unreachableSince is when the member was first found unreachable since then.
	missing          bool
	unreachableSince time.Duration
}

// removed reports whether the entry is known to have been removed.
func (r *memberRow) removed() bool { return r.Instance == "" && r.position != store.Position{} }

// restoredBy reports whether row is the removed entry itself, which the store has
// again because it came back from an older copy. Whatever was written since has a
// larger version than all of that copy.
func (r *memberRow) restoredBy(row store.Row) bool {
	return r.removed() && row.Position.Era > r.position.Era && row.Position.Version <= r.writtenVersion
}

// peerHandshake adds or updates a daemon that connected to this one. New
// daemons become known this way even while the store is unavailable. A handshake
// without instance, address or data centre is ignored.
func (c *Core) peerHandshake(m Member) {
	known := c.members[m.Instance]
	if known.Member == m || m.Instance == c.cfg.Self.Instance || m.Instance == "" || m.Address == "" || m.DataCentre == "" {
		return
	}
	known.Member, known.missing = m, false
	c.members[m.Instance] = known
	c.publishPending = true
}

// membersRead applies rows of the member table. Rows that are not newer than
// the known ones are ignored; a row that cannot be decoded is logged and leaves
// the known entry unchanged.
func (c *Core) membersRead(ev MembersRead) {
	changed, first, ownRemoved := false, false, false
	seen := map[string]bool{}
	for _, row := range ev.Rows {
		seen[row.Key] = true
		changed = c.memberRead(row) || changed
		ownRemoved = ownRemoved || row.Removed && row.Key == c.cfg.Self.Instance
	}
	if ev.Complete {
		first = !c.membersComplete
		c.membersComplete = true
		c.proveUpstream()
		c.markMissing(seen, ev)
		c.era.membersReadIn(ev.Position.Era)
		c.writeSelf()
	}
	switch {
	case changed:
		c.publishMembers()
	case first:
		c.publish()
	}
	if own := c.members[c.cfg.Self.Instance]; ownRemoved && own.removed() && !ev.Complete {
		// The previous process removed it, and the store has performed that only now.
		c.writeSelf()
	}
}

// memberRead applies one row of the member table and reports whether it changed
// the member. A row that cannot be read leaves the known one.
func (c *Core) memberRead(row store.Row) bool {
	known := c.members[row.Key]
	if row.Err != nil || !row.Position.After(known.position) {
		return false
	}
	if row.Removed {
		c.forget(row.Key, row.Position)
		return known.Instance != ""
	}
	if known.restoredBy(row) {
		known.position = row.Position
		c.members[row.Key] = known
		c.log(event.MemberRestored, false, step.F("key", row.Key), step.F("version", row.Position.Version))
		return false
	}
	member, departure, err := decodeEntry(row.Key, row.Value)
	if err != nil {
		c.log(event.MemberUnreadable, true, step.F("key", row.Key), step.F("error", err))
		return false
	}
	c.members[row.Key] = memberRow{Member: member, departure: departure, position: row.Position, writtenVersion: row.Position.Version}
	// An entry with another address or data centre is that of an earlier process. Whoever
	// has read it cannot connect to this one.
	if member == c.cfg.Self {
		c.ownEntryRead, c.ownEntryDue = true, false
	}
	if row.Key == c.cfg.Self.Instance {
		c.ownDepartureRead(departure)
	}
	return member != known.Member
}

// markMissing marks the entries that a complete read of the member table did not return.
// A member that answers is still used: the store may have lost its entry. A member known
// only from its handshake may not have written one yet, and the entry of another may be a
// row whose key cannot be read. This daemon's own entry is forgotten, so that it is written
// again.
func (c *Core) markMissing(seen map[string]bool, read MembersRead) {
	for key, known := range c.members {
		unwritten := known.position == store.Position{}
		if seen[key] || known.Instance == "" || unwritten {
			continue
		}
		if key == c.cfg.Self.Instance {
			delete(c.members, key)
			continue
		}
		if read.Unnamed {
			continue
		}
		known.position = read.Position
		if !known.missing {
			known.missing, known.unreachableSince = true, c.now
		}
		c.members[key] = known
	}
}

// dropMissing drops the missing members that have been unreachable for
// missingGrace.
func (c *Core) dropMissing() {
	for key, known := range c.members {
		if known.missing && !c.reachable[key] && c.now-known.unreachableSince >= missingGrace {
			c.forget(key, known.position)
			c.publishPending = true
		}
	}
}

// forget drops the member of an entry that is removed as of a position. What is
// left of it shows whether the entry is the same when it comes back.
func (c *Core) forget(key string, at store.Position) {
	c.members[key] = memberRow{position: at, writtenVersion: c.members[key].writtenVersion}
	delete(c.reachable, key)
	delete(c.storeUnavailable, key)
	delete(c.sources, key)
}

// peerReachability applies that a peer has become reachable or unreachable.
func (c *Core) peerReachability(ev PeerReachability) {
	setMembership(c.reachable, ev.Instance, ev.Reachable)
	if !ev.Reachable {
		delete(c.sources, ev.Instance)
	}
	if known := c.members[ev.Instance]; known.missing && !ev.Reachable {
		known.unreachableSince = c.now
		c.members[ev.Instance] = known
	}
	c.updateStoreWatcher()
}

// setMembership adds key to a set or removes it.
func setMembership(set map[string]bool, key string, member bool) {
	if member {
		set[key] = true
		return
	}
	delete(set, key)
}

// memberWritten applies the result of writing this daemon's entry. Once it is written, it
// is to be read, unless a read has returned it before the result of the write.
func (c *Core) memberWritten(ev MemberWritten) {
	c.selfWritten = ev.Err == nil
	switch {
	case c.selfWritten:
		c.departureRecorded(ev.Departure)
	case c.departurePending():
		// Only the answer of the store may have been lost.
		c.emit(ReadMembers{})
	}
	if c.selfWritten && c.members[c.cfg.Self.Instance].Member != c.cfg.Self {
		c.ownEntryDue = true
		c.ownEntryReadAt = c.now
		c.readOwnEntryWhenDue()
	}
}

// readOwnEntryWhenDue requests a read of the member table if this daemon has written its
// entry and not read it since, and customers have limits. Until the first such read it
// grants no tokens, and the regular reads may come much later. After a further write the
// read finds daemons that have written theirs at the same time.
func (c *Core) readOwnEntryWhenDue() {
	if !c.ownEntryDue || !c.limited || c.stopping || c.now < c.ownEntryReadAt {
		return
	}
	c.ownEntryReadAt = c.now + ownEntryInterval
	c.emit(ReadMembers{})
}

// writeSelf writes this daemon's entry unless the member table already holds it
// or the daemon is stopping. A departure is written also then.
func (c *Core) writeSelf() {
	own := c.members[c.cfg.Self.Instance]
	departure := c.departures.latest
	isWritten := own.Member == c.cfg.Self && own.departure == departure
	c.selfWritten = true
	if isWritten || c.stopping && !c.departurePending() {
		return
	}
	c.emit(WriteMember{Key: c.cfg.Self.Instance, Value: encodeEntry(c.cfg.Self, departure), Departure: departure})
}
