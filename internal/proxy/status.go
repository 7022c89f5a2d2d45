package proxy

import (
	"cmp"
	"slices"

	"godwitmount/internal/status"
)

// Status returns the daemon's status with the fields set that the data path
// provides: the upstream, its load and the configuration version.
func (p *Proxy) Status() status.Daemon {
	u, load := p.upstream.Load(), p.admissionController.Load()
	s := status.Daemon{Upstream: status.Upstream{
		ID: u.ID, Service: u.Service, State: u.State.String(),
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots,
	}}
	if t := p.table.Load(); t != nil {
		s.ConfigVersion = t.Version
	}
	return s
}

// Status returns the status of the peers that this daemon connects to, sorted by
// instance.
func (ps *Peers) Status() []status.Peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	all := make([]status.Peer, 0, len(ps.all))
	for _, p := range ps.all {
		peer := status.Peer{Instance: p.Instance, DataCentre: p.DataCentre, Reachable: p.up.Load(), Service: p.Service}
		if state := p.state.Load(); state != nil {
			peer.TakesWork = state.GetTakesWork()
			peer.Service = state.GetService()
			peer.ConfigVersion = state.GetConfigVersion()
			peer.StoreEra = state.GetStoreEra()
		}
		all = append(all, peer)
	}
	slices.SortFunc(all, func(a, b status.Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}
