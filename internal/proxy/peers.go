package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/hop"
	"godwitmount/internal/logbook"
	"godwitmount/internal/routing"
)

const (
	// unknownHold stands for the hold time of an upstream that has told none.
	unknownHold = 100 * time.Millisecond
	// failurePause is how long a peer is left alone after it broke a request.
	failurePause = 150 * time.Millisecond
)

// Peers are the other daemons and what is known of them. All methods may be
// called from any goroutine.
type Peers struct {
	self control.Member
	// epoch is the zero of the steady clock that ages are reckoned by.
	epoch    time.Time
	hello    *hopv1.Hello
	listener Listener
	log      *logbook.Book
	leaving  atomic.Bool
	patience *hop.Patience
	// state returns the own state to tell peers.
	state func() *hopv1.State

	mu  sync.RWMutex
	all map[string]*peer
	// known is the number of all other daemons, connected or not.
	known int
}

// peer is one other daemon.
type peer struct {
	control.Member
	client *hop.Client
	up     atomic.Bool
	state  atomic.Pointer[peerState]
	// own counts the own requests that are under way there.
	own atomic.Int64
	// lineDelay is what the way there and back took for the last request, in
	// nanoseconds; 0 is unknown.
	lineDelay atomic.Int64
	// left is the peer's upstream that said it leaves, until another one is
	// there.
	left atomic.Pointer[hopv1.Left]
	// avoidUntil is until when the peer is left alone, in nanoseconds since the
	// epoch of the peers.
	avoidUntil atomic.Int64
}

// peerState is what a peer said of itself, and when.
type peerState struct {
	*hopv1.State
	// at is the time since the epoch of the peers.
	at time.Duration
	// others is the load there at that time without the own requests.
	others float64
}

// lostStore tells whether the store does not answer the peer.
func (s *peerState) lostStore() bool { return s != nil && s.GetStoreLost() }

// Listener is told what peers say. Its functions must not block.
type Listener struct {
	// Heard is told of each state that a peer sends.
	Heard func(instance string, state *hopv1.State)
	// Reached is told whether a peer can be reached.
	Reached func(instance string, up bool)
	// Store is told whether the store does not answer a peer.
	Store func(instance string, lost bool)
	// Reminded is told what a peer remembers of the own upstream; it may be nil.
	Reminded func(*hopv1.Left)
}

// NewPeers returns no peers.
func NewPeers(self control.Member, listener Listener, log *logbook.Book) *Peers {
	return &Peers{
		self:     self,
		epoch:    time.Now(),
		hello:    Hello(self),
		listener: listener,
		log:      log,
		patience: &hop.Patience{},
		all:      map[string]*peer{},
	}
}

// Hello is what a daemon says of itself on a new connection.
func Hello(self control.Member) *hopv1.Hello {
	return &hopv1.Hello{Instance: self.Instance, DataCentre: self.DataCentre, Address: self.Address, Service: self.Service}
}

// now is the steady time since the peers were made.
func (ps *Peers) now() time.Duration { return time.Since(ps.epoch) }

// SetState names the function that returns the own state.
func (ps *Peers) SetState(state func() *hopv1.State) { ps.state = state }

// Leave makes the daemon tell its peers that it takes no more requests.
func (ps *Peers) Leave() { ps.leaving.Store(true) }

// Leaving tells whether Leave was called.
func (ps *Peers) Leaving() bool { return ps.leaving.Load() }

// Known returns how many other daemons there are.
func (ps *Peers) Known() int {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.known
}

// Usable returns how many peers can be reached and take requests.
func (ps *Peers) Usable() int {
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

// Set connects to the members that are new and leaves those that are gone; known
// is the number of all other daemons.
func (ps *Peers) Set(members []control.Member, known int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.known = known
	wanted := map[string]bool{}
	for _, m := range members {
		wanted[m.Instance] = true
		before := ps.all[m.Instance]
		if before != nil && before.Address == m.Address {
			continue
		}
		if before != nil {
			before.client.Close()
		}
		ps.all[m.Instance] = ps.connect(m)
	}
	for instance, p := range ps.all {
		if !wanted[instance] {
			p.client.Close()
			delete(ps.all, instance)
		}
	}
}

func (ps *Peers) connect(m control.Member) *peer {
	p := &peer{Member: m}
	p.client = hop.NewClient(m.Address, ps.hello, hop.Hooks{
		Instance: m.Instance,
		Up: func() {
			if !p.up.Swap(true) {
				ps.listener.Reached(m.Instance, true)
				ps.log.Event(event.PeerUp, zap.String("peer", m.Instance))
			}
		},
		Down: func(err error) {
			if p.up.Swap(false) {
				ps.listener.Reached(m.Instance, false)
				ps.log.Event(event.PeerDown, zap.String("peer", m.Instance), zap.Error(err))
			}
		},
		Heard:    func(state *hopv1.State) { ps.take(p, state) },
		Reminded: ps.listener.Reminded,
		Left:     p.left.Load,
		State:    ps.state,
		Patience: ps.patience,
		Now:      ps.now,
	})
	return p
}

// noteLeaving remembers for a peer that its upstream leaves. A peer that has
// been restarted knows of no upstream at first.
func (p *peer) noteLeaving(state *hopv1.State) {
	switch {
	case state.GetLeaving():
		p.left.Store(&hopv1.Left{Upstream: state.GetUpstream(), Born: state.GetBorn()})
	case state.GetUpstream() != "" && state.GetBorn() != p.left.Load().GetBorn():
		p.left.Store(nil)
	}
}

// Left returns what is remembered of a peer's upstream, or nil.
func (ps *Peers) Left(instance string) *hopv1.Left {
	if p := ps.get(instance); p != nil {
		return p.left.Load()
	}
	return nil
}

func (ps *Peers) take(p *peer, state *hopv1.State) {
	if state == nil {
		return
	}
	if before := p.state.Load(); before.lostStore() != state.GetStoreLost() {
		ps.listener.Store(p.Instance, state.GetStoreLost())
	}
	load := float64(state.GetRunning() + state.GetWaiting())
	others := max(load-float64(p.own.Load()), 0)
	p.noteLeaving(state)
	p.state.Store(&peerState{State: state, at: ps.now(), others: others})
	ps.listener.Heard(p.Instance, state)
}

// Heard takes the state of a peer that connected to this daemon.
func (ps *Peers) Heard(instance string, state *hopv1.State) {
	if p := ps.get(instance); p != nil {
		ps.take(p, state)
	}
}

func (ps *Peers) get(instance string) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.all[instance]
}

// FetchConfig asks a peer for its configuration.
func (ps *Peers) FetchConfig(ctx context.Context, instance string) (*hopv1.ConfigAnswer, error) {
	p := ps.get(instance)
	if p == nil {
		return nil, hop.ErrNotSent
	}
	return p.client.FetchConfig(ctx)
}

// candidates appends the peers whose upstream runs the service.
func (ps *Peers) candidates(all []routing.Candidate, service string) []routing.Candidate {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	now := ps.now()
	for _, p := range ps.all {
		state := p.state.Load()
		if state == nil || state.GetService() != service {
			continue
		}
		all = append(all, p.candidate(state, now, p.DataCentre == ps.self.DataCentre))
	}
	return all
}

func (p *peer) candidate(state *peerState, now time.Duration, near bool) routing.Candidate {
	hold := microseconds(state.GetServiceTimeUs())
	if hold == 0 {
		hold = unknownHold
	}
	return routing.Candidate{
		Instance: p.Instance,
		Near:     near,
		Takes:    p.up.Load() && state.GetTakesWork() && int64(now) >= p.avoidUntil.Load(),
		Own:      float64(p.own.Load()),
		Others:   state.others,
		Age:      now - state.at,
		Slots:    int(state.GetSlots()),
		Hold:     hold,
		Line:     microseconds(state.GetLineDelayUs()),
		Silent:   p.client.Unanswered(),
	}
}

// send gives a request to a peer and waits for its answer.
func (p *peer) send(ctx context.Context, request *hopv1.Request) (*hopv1.Frame, error) {
	p.own.Add(1)
	defer p.own.Add(-1)
	request.LineDelayUs = uint32(time.Duration(p.lineDelay.Load()).Microseconds())
	sent := time.Now()
	frame, err := p.client.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	spent := max(frame.GetAnswer().GetSpentUs(), frame.GetFailure().GetSpentUs())
	p.lineDelay.Store(int64(max(time.Since(sent)-microseconds(spent), 0)))
	return frame, nil
}

// avoid leaves a peer alone for a while.
func (p *peer) avoid(now time.Duration) { p.avoidUntil.Store(int64(now + failurePause)) }
