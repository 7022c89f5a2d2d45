package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/proxy"
	"godwitmount/internal/rollout"
	"godwitmount/internal/step"
)

const (
	// fetchTimeout bounds fetching the configuration from a peer.
	fetchTimeout = time.Second
	// writeTimeout bounds writing or removing this daemon's member entry.
	writeTimeout = 3 * time.Second
)

// perform performs one effect of the reducer. It does not block.
func (d *Daemon) perform(effect step.Effect) {
	switch e := effect.(type) {
	case step.Log:
		d.writeLog(e)
	case control.PublishTable:
		d.rollouts.post(rollout.ConfigServices{Names: serviceNames(e.Table)})
		d.proxy.SetTable(&proxy.Table{Table: e.Table, Version: e.Version, Packed: e.Packed})
		d.broadcastState()
		if e.Version == d.storeVersion.Load() {
			// Most peers learn of a version only from those that watch the store.
			d.peers.Announce()
		}
	case control.PublishMembers:
		d.peers.SetMembers(e.Members, e.Known)
		// After the members: with its own entry read, this daemon grants tokens.
		if d.peers.SetMesh(e.Remote, e.OwnEntryRead) && d.proxy.HasLimits() {
			d.broadcastState()
		}
		d.rollouts.post(rollout.MembersChanged{Members: rolloutMembers(e.Members), Others: rolloutMembers(e.Others), Complete: e.Complete})
	case control.SetUpstream:
		d.rollouts.post(rollout.UpstreamChanged{Service: e.Upstream.Service, Version: e.Upstream.Version})
		d.proxy.SetUpstream(e.Upstream)
		d.broadcastState()
	case control.WriteMember:
		d.callForMember(func() { d.writeMember(e) })
	case control.HoldAcknowledgement:
		d.acknowledgements.hold()
	case control.ReleaseAcknowledgement:
		d.acknowledgements.release()
	case control.RemoveMember:
		d.removed.Store(true)
		d.callForMember(func() { d.removeMember(e) })
	case control.SetStoreWatcher:
		setLatest(d.storeWatcher, e)
	case control.ReadConfig:
		setLatest(d.readOnce, struct{}{})
	case control.ReadMembers:
		setLatest(d.readMembers, struct{}{})
	case control.PublishStoreEra:
		d.publishStoreEra(e)
	case control.FetchConfig:
		go d.fetchConfig(e)
	}
}

// serviceNames returns the names of the services of a configuration.
func serviceNames(table *manifest.Table) map[string]bool {
	names := map[string]bool{}
	for _, service := range table.Manifest().Services {
		names[service.Name] = true
	}
	return names
}

// rolloutMembers returns the members as the reducer of rollouts takes them.
func rolloutMembers(members []control.Member) []rollout.Member {
	all := make([]rollout.Member, len(members))
	for i, m := range members {
		all[i] = rollout.Member{Instance: m.Instance, DataCentre: m.DataCentre, Service: m.Service}
	}
	return all
}

// writeLog writes a log line that the reducer requested.
func (d *Daemon) writeLog(line step.Log) {
	fields := make([]zap.Field, len(line.Fields))
	for i, f := range line.Fields {
		fields[i] = zap.String(f.Key, f.Value)
	}
	if line.Warn {
		d.log.Warn(line.Event, fields...)
		return
	}
	d.log.Event(line.Event, fields...)
}

// callForMember runs a store call for this daemon's member entry in the background,
// after the one before.
func (d *Daemon) callForMember(call func()) {
	d.memberCallsLeft.Add(1)
	go func() {
		defer d.memberCallsLeft.Done()
		d.memberCalls.Lock()
		defer d.memberCalls.Unlock()
		call()
	}()
}

// writeMember writes this daemon's member entry and posts the result. After a
// failure it first sleeps for minBackoff, because the reducer repeats the write
// at the next tick. It does nothing once the entry is to be removed.
func (d *Daemon) writeMember(e control.WriteMember) {
	if d.removed.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(d.background, writeTimeout)
	defer cancel()
	err := d.cfg.Platform.Store.Put(ctx, MembersTable, e.Key, e.Value)
	if err != nil {
		d.log.Warn(event.StoreLost, zap.String("table", MembersTable), zap.Error(err))
		sleep(d.background, minBackoff)
	}
	d.loop.post(control.MemberWritten{Err: err, Departure: e.Departure})
}

// publishStoreEra passes the store's era on to peers, counted unless it is the
// first one.
func (d *Daemon) publishStoreEra(e control.PublishStoreEra) {
	if e.Advanced {
		d.storeMetrics.eraChanges.Inc()
	}
	d.proxy.SetStoreEra(e.Era)
	d.broadcastState()
}

func (d *Daemon) removeMember(e control.RemoveMember) {
	ctx, cancel := context.WithTimeout(d.background, writeTimeout)
	defer cancel()
	if err := d.cfg.Platform.Store.Remove(ctx, MembersTable, e.Key); err != nil {
		d.log.Warn(event.StoreLost, zap.String("table", MembersTable), zap.Error(err))
	}
}

func (d *Daemon) fetchConfig(e control.FetchConfig) {
	ctx, cancel := context.WithTimeout(d.background, fetchTimeout)
	defer cancel()
	answer, err := d.peers.FetchConfig(ctx, e.Instance)
	if err != nil {
		d.log.Warn(event.PeerDown, zap.String("peer", e.Instance), zap.String("while", "fetching the peer's configuration"), zap.Error(err))
		d.loop.post(control.FetchFailed{Instance: e.Instance})
		return
	}
	d.readPacked(answer.GetPacked(), e.Instance)
}

// setLatest sends value to a channel of capacity 1 without blocking; it replaces
// a value that has not been received yet. The channel must have no other sender.
func setLatest[T any](channel chan T, value T) {
	select {
	case <-channel:
	default:
	}
	channel <- value
}
