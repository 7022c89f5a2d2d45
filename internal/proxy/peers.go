package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/freshness"
	"godwitmount/internal/hop"
	"godwitmount/internal/shaping"
)

const (
	// failureBackoff is how long a peer gets no requests after its connection
	// failed one.
	failureBackoff = 150 * time.Millisecond
	// silenceCheckInterval is the shortest time between two checks of all connections.
	silenceCheckInterval = time.Second
)

// Peers holds the other daemons, the connections to them and their last reported
// states. All methods may be called from any goroutine.
type Peers struct {
	self control.Member
	// epoch is the zero of the monotonic clock that Peers uses.
	epoch time.Time
	// hello is the handshake message for new connections.
	hello    *hopv1.Hello
	listener Listener
	log      *asynclog.Logger
	draining atomic.Bool
	// nextSilenceCheck is the earliest time of the next check of all connections, in
	// nanoseconds since epoch.
	nextSilenceCheck atomic.Int64
	// resumed counts the requests in flight on lost connections by what became of them.
	resumed struct{ sentAgain, moved, lost atomic.Int64 }
	// readTimeout is the adaptive read timeout of all connections.
	readTimeout *hop.AdaptiveTimeout
	// link is the machine's network link; nil for no limit.
	link *shaping.Link
	// helloState and state return the states that this daemon reports to peers in
	// handshakes and in pings.
	helloState, state func() *hopv1.State
	// freshness is nil if this daemon needs no proof of its configuration.
	freshness *freshness.SharedTracker

	mu sync.RWMutex
	// all holds the peers that this daemon connects to, by instance.
	all map[string]*peer
	// retired holds the peers that this daemon no longer connects to, until the requests
	// in flight there have ended and the end of cancelled ones is confirmed.
	retired map[*peer]bool
	// total is the number of all other daemons, whether or not this daemon
	// connects to them.
	total int
	// remote holds the names of the other data centres.
	remote []string
	// ownEntryRead is set once this daemon's own entry of the member table has been read.
	// It is atomic because states are made while mu is held.
	ownEntryRead atomic.Bool
	// viewVersion changes whenever quotaView returns something else.
	viewVersion atomic.Uint64
}

// peer is another daemon that this daemon connects to.
type peer struct {
	control.Member
	client *hop.Client
	// up is set while the peer is reachable, retired once it is no longer used.
	up      atomic.Bool
	retired atomic.Bool
	// silent is set while the peer is unreachable without having closed the
	// connection.
	silent atomic.Bool
	state  atomic.Pointer[peerState]
	// outstanding is the number of this daemon's requests that the peer has not
	// answered.
	outstanding atomic.Int64
	// lastRTT is the network round-trip time that this daemon measured with its
	// last request to the peer, in nanoseconds; 0 means unknown.
	lastRTT atomic.Int64
	// grantsReplies is set if this daemon paces what it receives.
	grantsReplies bool
	// linkKbps is the rate of the peer's network link; 0 means unknown.
	linkKbps atomic.Uint32
	// drainingUpstream is the incarnation of the peer's upstream that was last
	// reported as draining. It is kept until the peer reports another one.
	drainingUpstream atomic.Pointer[hopv1.Left]
	// backoffUntil is the time until which the peer gets no requests, in
	// nanoseconds since the epoch of Peers.
	backoffUntil atomic.Int64
}

// peerState is the last state that a peer reported.
type peerState struct {
	*hopv1.State
	// at is when the state was received, since the epoch of Peers.
	at time.Duration
	// otherLoad is the load at that time without this daemon's requests.
	otherLoad float64
}

// storeUnavailable reports whether the store does not answer the peer.
func (s *peerState) storeUnavailable() bool { return s != nil && s.GetStoreLost() }

// stopping reports whether the peer has begun a planned stop.
func (s *peerState) stopping() bool { return s != nil && s.GetStopping() }

// membersUnread reports whether the peer has not read its own entry of the member table.
func (s *peerState) membersUnread() bool { return s != nil && s.GetMembersUnread() }

// Listener holds callbacks for what peers report. They must not block.
type Listener struct {
	// StateReceived is called with each state that a peer reports.
	StateReceived func(instance string, state *hopv1.State)
	// ReachabilityChanged is called when a peer becomes reachable or unreachable.
	ReachabilityChanged func(instance string, reachable bool)
	// StoreAvailabilityChanged is called when the store stops answering a peer
	// or answers it again.
	StoreAvailabilityChanged func(instance string, unavailable bool)
	// DrainRecordReceived is called at each handshake with the peer's record of
	// this daemon's draining upstream, or nil. This daemon may have been
	// restarted since the upstream began to drain.
	DrainRecordReceived func(*hopv1.Left)
}

// NewPeers returns an empty set of peers. Link is the machine's network link; nil for
// no limit.
func NewPeers(self control.Member, listener Listener, link *shaping.Link, log *asynclog.Logger) *Peers {
	return &Peers{
		self:        self,
		epoch:       time.Now(),
		hello:       Hello(self),
		listener:    listener,
		link:        link,
		log:         log,
		readTimeout: &hop.AdaptiveTimeout{},
		all:         map[string]*peer{},
		retired:     map[*peer]bool{},
	}
}

// Hello returns the handshake message that a daemon sends on a new connection.
func Hello(self control.Member) *hopv1.Hello {
	return &hopv1.Hello{Instance: self.Instance, DataCentre: self.DataCentre, Address: self.Address, Service: self.Service}
}

// now returns the monotonic time since epoch.
func (ps *Peers) now() time.Duration { return time.Since(ps.epoch) }

// SetState sets the functions that return this daemon's state for handshakes and for
// pings. It must be called before SetMembers.
func (ps *Peers) SetState(helloState, state func() *hopv1.State) {
	ps.helloState, ps.state = helloState, state
}

// StartDraining marks this daemon as draining: from then on its state reports
// that it accepts no requests.
func (ps *Peers) StartDraining() { ps.draining.Store(true) }

// Draining reports whether StartDraining was called.
func (ps *Peers) Draining() bool { return ps.draining.Load() }

// Count returns the number of other daemons, whether or not this daemon connects
// to them.
func (ps *Peers) Count() int {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.total
}

// UsablePeers returns the number of peers that are reachable and accept requests.
func (ps *Peers) UsablePeers() int {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	usable := 0
	for _, p := range ps.all {
		if state := p.state.Load(); state != nil && p.up.Load() && state.GetTakesWork() {
			usable++
		}
	}
	return usable
}

// SetMembers connects to new members and to those with a new address, and
// disconnects from peers that are not among the members once no request is in flight
// there. total is the number of all other daemons.
func (ps *Peers) SetMembers(members []control.Member, total int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	defer ps.viewVersion.Add(1)
	ps.total = total
	wanted := map[string]bool{}
	for _, m := range members {
		wanted[m.Instance] = true
		before := ps.all[m.Instance]
		if before != nil && before.Address == m.Address {
			continue
		}
		if before != nil {
			ps.retire(before)
		}
		ps.all[m.Instance] = ps.connect(m)
	}
	for instance, p := range ps.all {
		if !wanted[instance] {
			ps.retire(p)
			delete(ps.all, instance)
		}
	}
}

// connect returns a peer whose client keeps a connection to the member.
func (ps *Peers) connect(m control.Member) *peer {
	p := &peer{Member: m, grantsReplies: ps.link.Inbound() != nil}
	p.client = hop.NewClient(m.Address, ps.hello, hop.Hooks{
		Instance: m.Instance,
		Up: func() {
			if !p.up.Swap(true) && !p.retired.Load() {
				ps.viewVersion.Add(1)
				ps.listener.ReachabilityChanged(m.Instance, true)
				ps.log.Event(event.PeerUp, zap.String("peer", m.Instance))
			}
		},
		Down: func(err error) {
			wasUp := p.up.Swap(false)
			p.recordSilence(wasUp, err)
			if wasUp && !p.retired.Load() {
				ps.viewVersion.Add(1)
				ps.listener.ReachabilityChanged(m.Instance, false)
				ps.log.Event(event.PeerDown, zap.String("peer", m.Instance), zap.Error(err))
			}
			if errors.Is(err, hop.ErrPeerSilent) {
				ps.Check(m.Instance)
			}
		},
		Resumed:             func(result hop.Resumption, silent bool) { ps.requestsResumed(p, result, silent) },
		StateReceived:       func(state *hopv1.State) { ps.handleState(p, state) },
		DrainRecordReceived: ps.listener.DrainRecordReceived,
		DrainRecord:         p.drainingUpstream.Load,
		LinkKbpsReceived:    p.linkKbps.Store,
		HelloState:          ps.helloState,
		State:               ps.state,
		AdaptiveTimeout:     ps.readTimeout,
		Link:                ps.link,
		Now:                 ps.now,
		PingClock:           ps.pingClock(),
		PongReceived:        ps.pongReceived,
	})
	return p
}

// recordDraining remembers that the peer's upstream is draining, until the peer
// reports another incarnation. A state without an upstream changes nothing: the
// peer may have been restarted and not yet have a report of its upstream.
func (p *peer) recordDraining(state *hopv1.State) {
	switch {
	case state.GetLeaving():
		p.recordLeaving(state)
	case state.GetUpstream() != "" && state.GetBorn() != p.drainingUpstream.Load().GetBorn():
		p.drainingUpstream.Store(nil)
	}
}

// recordLeaving remembers that the peer's upstream is draining, given the state in an
// answer in which the upstream announced its end. The peer reports it a moment later,
// unless it is restarted before.
func (p *peer) recordLeaving(state *hopv1.State) {
	if state.GetUpstream() != "" {
		p.drainingUpstream.Store(&hopv1.Left{Upstream: state.GetUpstream(), Born: state.GetBorn()})
	}
}

// isDraining reports whether the upstream in a state of the peer is known to be
// draining. A peer that was restarted may not know it. Incarnations without a start time
// cannot be told apart, so that a record of one says nothing.
func (p *peer) isDraining(state *peerState) bool {
	record := p.drainingUpstream.Load()
	return record.GetBorn() != 0 && record.GetBorn() == state.GetBorn() && record.GetUpstream() == state.GetUpstream()
}

// DrainRecord returns the record of a peer's draining upstream, or nil if there
// is none.
func (ps *Peers) DrainRecord(instance string) *hopv1.Left {
	if p := ps.get(instance); p != nil {
		return p.drainingUpstream.Load()
	}
	return nil
}

// handleState stores the state that a peer reports and calls the listener. It
// ignores a nil state and a retired peer.
func (ps *Peers) handleState(p *peer, state *hopv1.State) {
	if state == nil || p.retired.Load() {
		return
	}
	if before := p.state.Load(); before.storeUnavailable() != state.GetStoreLost() {
		ps.listener.StoreAvailabilityChanged(p.Instance, state.GetStoreLost())
	}
	if before := p.state.Load(); before.stopping() != state.GetStopping() || before.membersUnread() != state.GetMembersUnread() {
		defer ps.viewVersion.Add(1)
	}
	load := float64(state.GetRunning() + state.GetWaiting())
	otherLoad := max(load-float64(p.outstanding.Load()), 0)
	p.recordDraining(state)
	p.state.Store(&peerState{State: state, at: ps.now(), otherLoad: otherLoad})
	ps.listener.StateReceived(p.Instance, state)
}

// StateReceived handles a state that a peer reports on a connection that the peer
// opened. It ignores daemons that this daemon does not connect to.
func (ps *Peers) StateReceived(instance string, state *hopv1.State) {
	if p := ps.get(instance); p != nil {
		ps.handleState(p, state)
	}
}

// SendReport sends a rollout report to peers. It is lost where one is not reachable.
func (ps *Peers) SendReport(instances []string, report *hopv1.RolloutReport) {
	for _, instance := range instances {
		if p := ps.get(instance); p != nil {
			p.client.SendReport(report)
		}
	}
}

// get returns the peer with the instance, or nil.
func (ps *Peers) get(instance string) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.all[instance]
}

// FetchConfig requests a peer's configuration. It returns hop.ErrNotSent if this
// daemon does not connect to the peer; other errors are those of
// hop.Client.FetchConfig.
func (ps *Peers) FetchConfig(ctx context.Context, instance string) (*hopv1.ConfigAnswer, error) {
	p := ps.get(instance)
	if p == nil {
		return nil, hop.ErrNotSent
	}
	return p.client.FetchConfig(ctx)
}

// send sends a request to the peer and waits for its answer. It measures the
// network round-trip time, which is the time until the answer without the time
// at the peer, and reports the last measured one to the peer in the request. It does not
// measure while the connection is replaced, nor by frames that wait for their grants.
// Silent and the errors are those of hop.Client.Do.
func (p *peer) send(ctx context.Context, request *hopv1.Request, silent func() <-chan struct{}) (*hopv1.Frame, error) {
	p.outstanding.Add(1)
	defer p.outstanding.Add(-1)
	request.LineDelayUs = uint32(time.Duration(p.lastRTT.Load()).Microseconds())
	sent, resumptions := time.Now(), p.client.Resumptions()
	frame, err := p.client.Do(ctx, request, silent)
	if err != nil {
		return nil, err
	}
	if p.client.Resumptions() != resumptions || p.waitsForGrants(request, frame) {
		return frame, nil
	}
	spent := max(frame.GetAnswer().GetSpentUs(), frame.GetFailure().GetSpentUs())
	p.lastRTT.Store(int64(max(time.Since(sent)-microseconds(spent), 0)))
	return frame, nil
}

// backOff stops new requests to the peer for failureBackoff.
func (p *peer) backOff(now time.Duration) { p.backoffUntil.Store(int64(now + failureBackoff)) }
