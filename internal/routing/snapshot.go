// Package routing chooses the upstream for a call: an immutable snapshot of
// routes and upstreams, the choice among them by outstanding work, slow start,
// ejection and the retry budget.
package routing

import (
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
)

// Upstream is one upstream instance as the choice sees it.
type Upstream struct {
	Instance    string
	Incarnation uint64
	DataCentre  string
	// Address is host:port of the executing daemon's peer listener.
	Address string
	Slots   int
}

// Snapshot is one configuration with the upstreams known for it. It is never
// changed once published. Every route's service has an entry in Services, so
// no route points at a service the snapshot does not hold.
type Snapshot struct {
	Config manifest.ID
	Table  *manifest.Table
	// Services maps each service of the manifest to its upstreams that take
	// calls, in order of instance id; the slice may be empty.
	Services map[string][]Upstream
	// Self is the daemon's own record.
	Self membership.Record
	// Built is when the snapshot was made, on the process's monotonic clock.
	Built time.Duration
}

// Build makes a snapshot from a configuration and the member table.
func Build(id manifest.ID, table *manifest.Table, self membership.Record, members []membership.Record, now time.Duration) *Snapshot {
	services := make(map[string][]Upstream, len(table.Manifest().Services))
	for _, service := range table.Manifest().Services {
		services[service.Name] = nil
	}
	for _, record := range members {
		pool, known := services[record.Service]
		if !known || !record.TakesCalls() {
			continue
		}
		services[record.Service] = append(pool, upstreamOf(record))
	}
	return &Snapshot{Config: id, Table: table, Services: services, Self: self, Built: now}
}

func upstreamOf(record membership.Record) Upstream {
	return Upstream{
		Instance:    record.Instance,
		Incarnation: record.Incarnation,
		DataCentre:  record.DataCentre,
		Address:     record.Address,
		Slots:       record.Slots,
	}
}
