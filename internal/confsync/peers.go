package confsync

import (
	"cmp"
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
	// byAddress finds a peer's data centre.
	byAddress map[string]string
}

func newPeerView(cfg Config) peerView {
	return peerView{cfg: cfg}
}

// polls reports whether this daemon is one of the polling daemons.
func (v *peerView) polls() bool { return v.rank < v.cfg.Pollers }

// size returns how many live daemons the own data centre has.
func (v *peerView) size() int { return len(v.own) + 1 }

// isRemote reports whether the address is of another data centre.
func (v *peerView) isRemote(address string) bool {
	dataCentre, known := v.byAddress[address]
	return known && dataCentre != v.cfg.DataCentre
}

func (v *peerView) update(members []membership.Record) {
	v.own = nil
	v.remote = map[string][]peer{}
	v.byAddress = make(map[string]string, len(members))
	for _, record := range members {
		if record.Instance == v.cfg.Instance {
			continue
		}
		v.byAddress[record.Address] = record.DataCentre
		if record.Liveness != membership.Alive || record.Leaving {
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

// ranked returns up to n peers in order of rendezvous weight for the key.
func ranked(peers []peer, key string, n int) []peer {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b peer) int {
		byWeight := cmp.Compare(weight(key, b.instance), weight(key, a.instance))
		return cmp.Or(byWeight, cmp.Compare(a.instance, b.instance))
	})
	return sorted[:min(n, len(sorted))]
}

func weight(key, instance string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instance)
}

// remoteCentres returns the other data centres with live peers, by name.
func (v *peerView) remoteCentres() []string {
	names := make([]string, 0, len(v.remote))
	for name := range v.remote {
		names = append(names, name)
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
	return ranked(v.remotePeers(), v.cfg.Instance, n)
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
	if !c.start.over {
		c.askStart()
	}
}
