package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// Balancer keeps what is known of upstreams across snapshots and chooses among
// those of the newest one. Choosing takes no lock unless the snapshot changed.
type Balancer struct {
	cfg  EjectionConfig
	view atomic.Pointer[view]

	mu    sync.Mutex
	stats map[statsKey]*Stats
}

// statsKey names one life of one instance.
type statsKey struct {
	instance    string
	incarnation uint64
}

// view is a snapshot joined with the counters of its upstreams.
type view struct {
	snapshot *Snapshot
	services map[string][]Group
}

// NewBalancer returns a Balancer that knows no upstream.
func NewBalancer(cfg EjectionConfig) *Balancer {
	return &Balancer{cfg: cfg, stats: map[statsKey]*Stats{}}
}

// Choose picks an upstream of the service in the snapshot.
func (b *Balancer) Choose(snapshot *Snapshot, service string, ask Ask) Decision {
	return Choose(b.viewOf(snapshot, ask.Now).services[service], ask)
}

// Groups returns the candidates of a service by data centre.
func (b *Balancer) Groups(snapshot *Snapshot, service string, now time.Duration) []Group {
	return b.viewOf(snapshot, now).services[service]
}

func (b *Balancer) viewOf(snapshot *Snapshot, now time.Duration) *view {
	if v := b.view.Load(); v != nil && v.snapshot == snapshot {
		return v
	}
	return b.rebuild(snapshot, now)
}

// rebuild joins a snapshot with the counters, keeps those of upstreams that
// stay, and forgets those that left and have nothing outstanding.
func (b *Balancer) rebuild(snapshot *Snapshot, now time.Duration) *view {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.view.Load()
	if old != nil && old.snapshot == snapshot {
		return old
	}
	listed := old.listed()
	fresh := &view{snapshot: snapshot, services: make(map[string][]Group, len(snapshot.Services))}
	keep := map[statsKey]bool{}
	for _, service := range snapshot.Table.Manifest().Services {
		var groups []Group
		for _, upstream := range snapshot.Services[service.Name] {
			key := statsKey{upstream.Instance, upstream.Incarnation}
			keep[key] = true
			candidate := Candidate{
				Upstream:  upstream,
				Stats:     b.statsOf(key, listed[key], now),
				SlowStart: service.SlowStart.Std(),
			}
			groups = addTo(groups, candidate)
		}
		fresh.services[service.Name] = groups
	}
	b.forget(keep)
	b.view.Store(fresh)
	return fresh
}

// statsOf returns the counters of an upstream; one that was not listed a
// moment ago starts slowly again.
func (b *Balancer) statsOf(key statsKey, listed bool, now time.Duration) *Stats {
	stats, known := b.stats[key]
	if !known {
		stats = &Stats{}
		stats.loadAt.Store(int64(-loadFade))
		b.stats[key] = stats
	}
	if !listed {
		stats.since.Store(int64(now))
	}
	return stats
}

func (b *Balancer) forget(keep map[statsKey]bool) {
	for key, stats := range b.stats {
		if !keep[key] && stats.Outstanding() == 0 {
			delete(b.stats, key)
		}
	}
}

func (v *view) listed() map[statsKey]bool {
	listed := map[statsKey]bool{}
	if v == nil {
		return listed
	}
	for _, groups := range v.services {
		for _, group := range groups {
			for _, c := range group.Candidates {
				listed[statsKey{c.Instance, c.Incarnation}] = true
			}
		}
	}
	return listed
}

func addTo(groups []Group, c Candidate) []Group {
	for i := range groups {
		if groups[i].DataCentre == c.DataCentre {
			groups[i].Candidates = append(groups[i].Candidates, c)
			return groups
		}
	}
	return append(groups, Group{DataCentre: c.DataCentre, Candidates: []Candidate{c}})
}

// Failed counts a failure of an upstream and returns for how long it is
// ejected by it, or 0.
func (b *Balancer) Failed(snapshot *Snapshot, service string, c *Candidate, now time.Duration, random uint64) time.Duration {
	room := b.roomToEject(b.Groups(snapshot, service, now), now)
	c.Stats.mu.Lock()
	defer c.Stats.mu.Unlock()
	c.failing.Store(true)
	length := c.eject.failed(b.cfg, now, room, random)
	if length > 0 {
		c.ejectedUntil.Store(int64(now + length))
	}
	return length
}

// Succeeded ends a row of failures; it reports whether the upstream thereby
// returned from an ejection. Without failures before, it takes no lock.
func (b *Balancer) Succeeded(c *Candidate, now time.Duration) bool {
	if !c.failing.Load() {
		return false
	}
	c.Stats.mu.Lock()
	defer c.Stats.mu.Unlock()
	returned := c.eject.succeeded(now)
	if now >= time.Duration(c.ejectedUntil.Load()) {
		c.failing.Store(false)
	}
	return returned
}

// roomToEject tells whether one more upstream of the groups may be ejected.
func (b *Balancer) roomToEject(groups []Group, now time.Duration) bool {
	total, ejected := 0, 0
	for _, group := range groups {
		for _, c := range group.Candidates {
			total++
			if now < time.Duration(c.ejectedUntil.Load()) {
				ejected++
			}
		}
	}
	return float64(ejected+1) <= b.cfg.MaxShare*float64(total)
}
