package daemon

import (
	"context"
	"maps"
	"reflect"
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/rollout"
	"godwitmount/internal/status"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

const (
	// RolloutsTable is the store table in which the daemons keep the phases of rollouts,
	// by service.
	RolloutsTable = "godwitmount-rollouts"
	// reportInterval is the time between two looks at what the local upstream has done.
	reportInterval = 100 * time.Millisecond
	// applyTimeout bounds the wait until an event about a rollout is in force.
	applyTimeout = 300 * time.Millisecond
)

// RolloutRows holds what the daemon needs from the platform to follow rollouts.
type RolloutRows struct {
	// ParseRequest decodes a row of ConfigTable into a rollout request without its
	// position. It returns false for a row that is none.
	ParseRequest func(key string, value []byte) (rollout.Request, bool, error)
	// RequestKey returns the key of a service's request in ConfigTable.
	RequestKey func(service string) string
	// StatusTable and StatusKey name the row that tells the platform how far a service's
	// rollout is, and Status returns its value. ServiceOf returns the service of a key.
	StatusTable string
	StatusKey   func(service string) string
	ServiceOf   func(key string) string
	Status      func(phase rollout.Phase, to string) []byte
}

// rolloutControl drives the reducer of rollouts and performs its effects. A nil one does
// nothing: rollouts are disabled.
type rolloutControl struct {
	daemon *Daemon
	loop   *loop

	mu sync.Mutex
	// published is what the reducer last published, at publishedAt.
	published   rollout.Publish
	publishedAt time.Time
	// progress holds what each peer last reported of rollouts, and states what it last
	// reported of its upstream and the store, by instance.
	progress map[string][]rollout.Progress
	states   map[string]rollout.PeerState
}

func newRolloutControl(d *Daemon) *rolloutControl {
	s := d.cfg.Settings
	if s.ExposePerMille == 0 {
		return nil
	}
	r := &rolloutControl{daemon: d, progress: map[string][]rollout.Progress{}, states: map[string]rollout.PeerState{}}
	core := rollout.New(rollout.Config{Instance: s.Instance, DataCentre: s.DataCentre, Service: s.Service, Rollback: s.Rollback.Std()})
	r.loop = newLoop(core, r.perform, d.log)
	// A suspended machine is a pause, too.
	r.loop.clock = d.cfg.BootClock
	r.loop.start = d.cfg.BootClock()
	return r
}

// run drives the reducer until ctx ends.
func (r *rolloutControl) run(ctx context.Context) {
	if r == nil {
		return
	}
	go r.loop.run(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Until it is refreshed, the proxy gives the upstream no requests.
		r.daemon.proxy.RefreshRollouts()
		if report, active := r.daemon.proxy.RolloutReport(); active {
			r.loop.post(rollout.ReportReceived{Instance: r.daemon.cfg.Settings.Instance, Report: report})
		}
	}
}

// post queues an event for the reducer.
func (r *rolloutControl) post(ev step.Event) {
	if r != nil {
		r.loop.post(ev)
	}
}

// apply passes an event to the reducer and waits until its effects are in force, at most
// applyTimeout.
func (r *rolloutControl) apply(ev step.Event) {
	ctx, cancel := context.WithTimeout(r.daemon.background, applyTimeout)
	defer cancel()
	// An event that takes longer stays in the queue.
	_ = r.loop.do(ctx, ev)
}

// requestsRead applies the rows of ConfigTable that are rollout requests. Complete is
// set when rows is the complete table.
func (r *rolloutControl) requestsRead(rows []store.Row, complete bool) {
	if r == nil {
		return
	}
	ev := rollout.RequestsRead{}
	for _, row := range rows {
		if row.Removed {
			continue
		}
		request, isRequest, err := r.daemon.cfg.Platform.Rollouts.ParseRequest(row.Key, row.Value)
		if isRequest && row.Err != nil {
			err = row.Err
		}
		switch {
		case err != nil:
			ev.Rejected = append(ev.Rejected, rollout.RejectedRequest{Key: row.Key, Err: err})
		case isRequest:
			request.Position = row.Position
			ev.Requests = append(ev.Requests, request)
		}
	}
	if complete || len(ev.Requests)+len(ev.Rejected) > 0 {
		r.apply(ev)
	}
}

// peerState applies what a peer's state says about rollouts, its upstream and the store.
func (r *rolloutControl) peerState(instance string, state *hopv1.State) {
	if r == nil || state == nil || instance == "" {
		return
	}
	r.progressReceived(instance, state.GetRollouts())
	changed := rollout.PeerState{
		Instance: instance, Service: state.GetService(), Version: state.GetUpstreamVersion(), StoreUnavailable: state.GetStoreLost(),
	}
	r.mu.Lock()
	same := r.states[instance] == changed
	r.states[instance] = changed
	r.mu.Unlock()
	if !same {
		r.loop.post(changed)
	}
}

// progressReceived applies what a peer knows of rollouts, if that is new.
func (r *rolloutControl) progressReceived(instance string, rollouts []*hopv1.Rollout) {
	if len(rollouts) == 0 {
		return
	}
	progress := make([]rollout.Progress, len(rollouts))
	for i, raw := range rollouts {
		progress[i] = decodeProgress(raw)
	}
	r.mu.Lock()
	same := equalButForAge(r.progress[instance], progress)
	r.progress[instance] = progress
	r.mu.Unlock()
	if same {
		return
	}
	ev := rollout.ProgressReceived{Instance: instance, Progress: progress}
	if r.daemon.proxy.ActiveTable() != nil {
		r.loop.post(ev)
		return
	}
	// The upstream gets its first requests with the first configuration, which this peer
	// may be about to send.
	r.apply(ev)
}

// equalButForAge reports whether two lists are equal but for the ages.
func equalButForAge(a, b []rollout.Progress) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		earlier := a[i]
		earlier.Age = b[i].Age
		if !reflect.DeepEqual(earlier, b[i]) {
			return false
		}
	}
	return true
}

// reportReceived applies a peer's report.
func (r *rolloutControl) reportReceived(instance string, report *hopv1.RolloutReport) {
	if instance == "" {
		// There was no handshake.
		return
	}
	r.post(rollout.ReportReceived{Instance: instance, Report: decodeReport(report)})
}

// addTo adds the rollouts to a state: all of them or those in progress.
func (r *rolloutControl) addTo(state *hopv1.State, all bool) *hopv1.State {
	if r == nil {
		return state
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := time.Since(r.publishedAt)
	for _, v := range r.published.Views {
		if !v.Unresolved && (all || v.Phase.Active()) {
			p := v.Progress
			p.Age += elapsed
			state.Rollouts = append(state.Rollouts, encodeProgress(p))
		}
	}
	return state
}

// status returns what operators see.
func (r *rolloutControl) status() []status.Rollout {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []status.Rollout
	for i, v := range r.published.Views {
		s := r.published.Summaries[i]
		one := status.Rollout{
			Service: v.Service, To: v.To, From: v.From, Phase: v.Phase.String(), Reason: v.Reason,
			Share:     r.daemon.proxy.RolloutShare(v.Service),
			ElapsedMS: (s.Elapsed + time.Since(r.publishedAt)).Milliseconds(), PeriodMS: v.Period.Milliseconds(),
			Coordinator: s.Coordinator, Waiting: s.Waiting,
		}
		if s.Verdict.Answers > 0 {
			one.Answers, one.Failures, one.Score, one.Evidence = s.Verdict.Answers, s.Verdict.Failures, s.Verdict.Score, s.Verdict.Reason
		}
		all = append(all, one)
	}
	return all
}

// own returns the rollout of this daemon's service and its score, or false.
func (r *rolloutControl) own() (v rollout.View, score float64, found bool) {
	if r == nil {
		return rollout.View{}, 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, v := range r.published.Views {
		if v.Service == r.daemon.cfg.Settings.Service {
			return v, r.published.Summaries[i].Verdict.Score, true
		}
	}
	return rollout.View{}, 0, false
}

// perform performs one effect of the reducer. It does not block.
func (r *rolloutControl) perform(effect step.Effect) {
	d := r.daemon
	switch e := effect.(type) {
	case step.Log:
		d.writeLog(e)
	case rollout.Publish:
		r.publish(e)
	case rollout.SendReport:
		d.peers.SendReport(e.To, encodeReport(e.Report))
	case rollout.ReadRows:
		go r.readRows()
	case rollout.CheckPeers:
		d.peers.Check("")
	case rollout.ReadRequests:
		setLatest(d.readOnce, struct{}{})
	case rollout.Write:
		go r.write(e)
	}
}

// activeServices returns the services with a rollout in progress.
func activeServices(views []rollout.View) map[string]bool {
	active := map[string]bool{}
	for i := range views {
		if views[i].Phase.Active() {
			active[views[i].Service] = true
		}
	}
	return active
}

// publish puts what is known in force and notifies peers.
func (r *rolloutControl) publish(e rollout.Publish) {
	active := activeServices(e.Views)
	r.mu.Lock()
	changed := !maps.Equal(active, activeServices(r.published.Views))
	r.published, r.publishedAt = e, time.Now()
	r.mu.Unlock()
	d := r.daemon
	tookWork := d.proxy.State().TakesWork
	d.proxy.SetRollouts(e.Views)
	if e.NotifyPeers || d.proxy.State().TakesWork != tookWork {
		d.broadcastState()
	}
	if changed {
		d.loop.post(control.RolloutsChanged{Services: active})
	}
}
