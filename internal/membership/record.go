// Package membership keeps the table of all daemons of the mesh and their
// upstreams, without any list given in advance: single-writer records spread
// by gossip inside a data centre and by delegates between data centres.
package membership

import "godwitmount/internal/manifest"

// UpstreamState is what an upstream last announced to its own daemon.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamNone UpstreamState = iota
	UpstreamStarting
	UpstreamReady
	UpstreamDraining
	UpstreamGone
)

// String returns the state's name in logs and JSON.
func (s UpstreamState) String() string {
	names := [...]string{"none", "starting", "ready", "draining", "gone"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Liveness is what the mesh believes of an instance.
type Liveness uint8

// The degrees of liveness, weakest claim first.
const (
	Alive Liveness = iota + 1
	Suspect
	Dead
	Left
)

// String returns the liveness in logs and JSON.
func (l Liveness) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(l) >= len(names) {
		return "invalid"
	}
	return names[l]
}

// Record describes one daemon and its upstream. Only the instance itself
// changes its record, raising Sequence; others may only doubt its liveness.
type Record struct {
	Instance string
	// Incarnation is larger at each start of the process.
	Incarnation uint64
	// Sequence grows with each change within an incarnation.
	Sequence   uint64
	DataCentre string
	// Address is host:port of peer TCP and gossip UDP, an IP number.
	Address string
	// Service is the service of the local upstream, or empty.
	Service string
	// Slots is how many requests the upstream runs at once.
	Slots         int
	UpstreamState UpstreamState
	Liveness      Liveness
	// Leaving is set while the daemon itself is stopping.
	Leaving bool
}

// TakesCalls reports whether new calls may be given to the record's upstream.
func (r Record) TakesCalls() bool {
	if r.Liveness != Alive && r.Liveness != Suspect {
		return false
	}
	return !r.Leaving && r.UpstreamState == UpstreamReady && r.Service != ""
}

// Newer reports whether r replaces other in a member table.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.Liveness > other.Liveness
}

// Applied is what an instance was last heard to have in force.
type Applied struct {
	Instance    string
	Incarnation uint64
	Config      manifest.ID
}
