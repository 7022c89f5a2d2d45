package confsync

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitmount/internal/event"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
)

// peer is another live daemon.
type peer struct {
	instance   string
	address    string
	dataCentre string
}

// peerView is the member table as this package uses it.
type peerView struct {
	cfg Config
	// own holds the peers of the own data centre and remote those of each
	// other one, by instance.
	own    []peer
	remote map[string][]peer
	// rank is this daemon's place among the live daemons of its data centre.
	rank int
}

func newPeerView(cfg Config) peerView {
	return peerView{cfg: cfg, remote: map[string][]peer{}}
}

// polls reports whether this daemon is one of the polling daemons.
func (v *peerView) polls() bool { return v.rank < v.cfg.Pollers }

// size returns how many live daemons the own data centre has.
func (v *peerView) size() int { return len(v.own) + 1 }

// isRemote reports whether the address is of a live peer of another data
// centre.
func (v *peerView) isRemote(address string) bool {
	at := func(p peer) bool { return p.address == address }
	for _, peers := range v.remote {
		if slices.ContainsFunc(peers, at) {
			return true
		}
	}
	return false
}

// update takes the live peers from the member table; it reuses the lists.
func (v *peerView) update(members []membership.Record) {
	v.own = v.own[:0]
	for dataCentre, peers := range v.remote {
		v.remote[dataCentre] = peers[:0]
	}
	for i := range members {
		record := &members[i]
		if record.Instance == v.cfg.Instance || record.Liveness != membership.Alive || record.Leaving {
			continue
		}
		p := peer{instance: record.Instance, address: record.Address, dataCentre: record.DataCentre}
		if p.dataCentre == v.cfg.DataCentre {
			v.own = append(v.own, p)
			continue
		}
		v.remote[p.dataCentre] = append(v.remote[p.dataCentre], p)
	}
	v.rank = v.ownRank()
}

// ownRank counts the peers with a higher rendezvous weight.
func (v *peerView) ownRank() int {
	self := weight("", v.cfg.Instance)
	rank := 0
	for _, p := range v.own {
		if weight("", p.instance) > self {
			rank++
		}
	}
	return rank
}

// ranking collects the n peers with the highest rendezvous weights for a key.
type ranking struct {
	key     string
	n       int
	top     []peer
	weights []uint64
}

// add takes each peer of a list that ranks among the first n so far.
func (r *ranking) add(peers []peer) {
	for _, p := range peers {
		w := weight(r.key, p.instance)
		at := len(r.top)
		for at > 0 && r.before(w, p, at-1) {
			at--
		}
		if at >= r.n {
			continue
		}
		r.top = slices.Insert(r.top, at, p)
		r.weights = slices.Insert(r.weights, at, w)
		r.top = r.top[:min(r.n, len(r.top))]
		r.weights = r.weights[:len(r.top)]
	}
}

func (r *ranking) before(w uint64, p peer, i int) bool {
	if w != r.weights[i] {
		return w > r.weights[i]
	}
	return p.instance < r.top[i].instance
}

// ranked returns up to n of the peers in order of rendezvous weight.
func ranked(peers []peer, key string, n int) []peer {
	r := ranking{key: key, n: n}
	r.add(peers)
	return r.top
}

func weight(key, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}

// remoteCentres returns the other data centres with live peers, by name.
func (v *peerView) remoteCentres() []string {
	names := make([]string, 0, len(v.remote))
	for name, peers := range v.remote {
		if len(peers) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// remotePeers returns the live peers of all other data centres.
func (v *peerView) remotePeers() []peer {
	var peers []peer
	for _, name := range v.remoteCentres() {
		peers = append(peers, v.remote[name]...)
	}
	return peers
}

// floorPeers returns up to n peers that remember this instance's floor. The
// same ones are found after a restart, as far as they still live.
func (v *peerView) floorPeers(n int) []peer {
	if len(v.own) > 0 {
		return ranked(v.own, v.cfg.Instance, n)
	}
	return v.rankedRemote(n)
}

// rankedRemote returns up to n peers of other data centres in order of
// rendezvous weight for this instance.
func (v *peerView) rankedRemote(n int) []peer {
	r := ranking{key: v.cfg.Instance, n: n}
	for _, peers := range v.remote {
		r.add(peers)
	}
	return r.top
}

func addresses(peers []peer) []string {
	list := make([]string, len(peers))
	for i, p := range peers {
		list[i] = p.address
	}
	return list
}

func (c *Core) membersChanged(ev MembersChanged) {
	polled := c.peers.polls()
	c.peers.update(ev.Members)
	if polled != c.peers.polls() {
		c.emit(step.Log{Event: event.ConfigPollerChanged, Fields: []step.Field{
			step.F("polling", c.peers.polls()),
			step.F("rank", c.peers.rank),
			step.F("live_daemons", c.peers.size()),
		}})
		c.poll.due = min(c.poll.due, c.now+c.jitter(c.pollMean()))
	}
	if !c.start.over || c.applied == nil {
		c.askStart()
	}
}
