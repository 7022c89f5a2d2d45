package control

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/confsync"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/routing"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

var errTimeout = errors.New("timeout")

// process is one instance across its restarts.
type process struct {
	n                         *network
	name, dataCentre, address string

	steptest.Process
	core *Core
	// life counts the starts.
	life    int
	started time.Duration

	snapshot *routing.Snapshot
	view     *claim.View
	entries  map[claim.Hash]quarantine.Entry
	// upstream is the local upstream's announcement; it outlives the process.
	upstream *membership.UpstreamAnnounced
	// highest is what the instance ever had in force.
	highest manifest.ID
}

// start begins a new life, of which nothing is kept.
func (p *process) start() {
	p.life++
	p.started = p.n.Now
	p.Restart(&p.n.Clock)
	p.FrozenUntil = 0
	p.snapshot, p.view, p.entries = nil, nil, nil
	p.core = New(p.config(), p.moment())
}

func (p *process) config() Config {
	incarnation := uint64(p.n.wall().UnixMilli())
	sync := confsync.DefaultConfig()
	sync.Mesh, sync.Instance, sync.DataCentre, sync.Incarnation = testMesh, p.name, p.dataCentre, incarnation
	sync.MakeDelta, sync.ApplyDelta = manifest.MakeDelta, manifest.ApplyDelta
	sync.Compile = func(body []byte) (*manifest.Table, error) {
		m, err := manifest.ParseCanonical(body)
		if err != nil {
			return nil, err
		}
		return manifest.Compile(m)
	}
	claims := claim.DefaultConfig(testMesh, p.dataCentre)
	claims.Horizon, claims.DetectionMargin = claimHorizon, detectionMargin
	return Config{
		Membership: membership.Config{
			Mesh: testMesh, Instance: p.name, Incarnation: incarnation, DataCentre: p.dataCentre, Address: p.address,
			Peers: []string{"192.0.2.1:7000", "192.0.2.2:7000", "192.0.2.4:7000"},
		},
		Sync:       sync,
		Claim:      claims,
		Quarantine: quarantine.DefaultConfig(p.name),
		Release:    "test",
	}
}

func (p *process) moment() step.Moment {
	return step.Moment{Now: p.n.Now - p.started, Wall: p.n.wall(), Random: p.n.draw()}
}

func (p *process) tick() {
	p.n.After(testTick, p.tick)
	if !p.Down && !p.Frozen() {
		p.step(step.Tick{})
	}
}

// announce makes the local upstream announce itself as ready again and again.
func (p *process) announce(service string) {
	first := p.upstream == nil
	p.upstream = &membership.UpstreamAnnounced{Service: service, Slots: 10, State: membership.UpstreamReady, TTL: announceTTL}
	if first {
		p.repeatAnnouncement()
	}
}

func (p *process) repeatAnnouncement() {
	p.WhenAwake(func() { p.step(*p.upstream) })
	p.n.After(announceInterval, p.repeatAnnouncement)
}

// drain makes the local upstream announce that it drains.
func (p *process) drain() {
	p.upstream.State = membership.UpstreamDraining
	p.WhenAwake(func() { p.step(*p.upstream) })
}

// freeze lets the process stand still.
func (p *process) freeze(gap time.Duration) {
	life := p.life
	p.Freeze(gap, func() bool {
		runs := p.life == life && !p.Down
		if runs {
			p.step(step.Paused{Gap: gap})
		}
		return runs
	})
}

// thisLife returns a function that hands events to the process as long as it
// is not restarted.
func (p *process) thisLife() func(step.Event) {
	life := p.life
	return func(ev step.Event) {
		p.WhenAwake(func() {
			if p.life == life {
				p.step(ev)
			}
		})
	}
}

func (p *process) step(ev step.Event) {
	if p.Down {
		return
	}
	for _, effect := range p.core.Step(p.moment(), ev) {
		p.perform(effect)
	}
}

func (p *process) perform(effect step.Effect) {
	switch e := effect.(type) {
	case step.Reply:
		if !p.Answer(e) {
			p.n.failf("%s answered call %d twice", p.name, e.Call)
		}
	case PublishSnapshot:
		p.publish(e.Snapshot)
	case PublishClaimView:
		p.view = e.View
	case quarantine.SetChanged:
		p.entries = e.Entries
	case membership.SendPacket:
		p.sendPacket(e)
	case membership.StartExchange:
		p.exchange(e)
	case confsync.FetchFromPeer:
		p.fetch(e)
	case confsync.AskFloor:
		p.askFloor(e)
	case claim.HandOver:
		p.handOver(e)
	default:
		p.askPlatform(effect)
	}
}

func (p *process) sendPacket(e membership.SendPacket) {
	to := p.n.byAddress(e.Address)
	if to == nil {
		return
	}
	datagram, err := membership.Encode(e.Packet)
	if err != nil {
		p.n.failf("%s sent a packet that does not encode: %v", p.name, err)
		return
	}
	from := p.address
	p.n.send(message{kind: packetKind(e.Packet), from: p.name, to: to.name, deliver: func() {
		packet, err := membership.Decode(datagram, testMesh)
		if err != nil {
			p.n.failf("%s sent a packet that does not decode: %v", p.name, err)
			return
		}
		to.WhenAwake(func() { to.step(membership.PacketReceived{From: from, Packet: packet}) })
	}})
}

func packetKind(packet *peerv1.Packet) string {
	switch packet.Body.(type) {
	case *peerv1.Packet_ConfigNotice:
		return "notice"
	case *peerv1.Packet_Urgent:
		return "urgent packet"
	}
	return "packet"
}

// callPeer calls another process; the event that ended makes of the answer goes
// to this one, if it was not restarted.
func callPeer[T proto.Message](p *process, address, kind string, request func(step.CallID) step.Event, ended func(T, error) step.Event) {
	tell := p.thisLife()
	p.n.call(p, address, kind, request, func(reply proto.Message) { tell(ended(answerOf[T](reply))) })
}

func (p *process) exchange(e membership.StartExchange) {
	callPeer(p, e.Address, "exchange", func(id step.CallID) step.Event {
		return membership.ExchangeRequested{Call: id, Request: proto.Clone(e.Request).(*peerv1.ExchangeMembersRequest)}
	}, func(response *peerv1.ExchangeMembersResponse, err error) step.Event {
		return membership.ExchangeAnswered{Address: e.Address, Response: response, Err: err}
	})
}

func (p *process) fetch(e confsync.FetchFromPeer) {
	callPeer(p, e.Address, "fetch", func(id step.CallID) step.Event {
		return confsync.FetchRequested{Call: id, Request: e.Request}
	}, func(response *peerv1.FetchConfigResponse, err error) step.Event {
		return confsync.PeerFetched{Attempt: e.Attempt, Address: e.Address, Response: response, Err: err}
	})
}

func (p *process) askFloor(e confsync.AskFloor) {
	callPeer(p, e.Address, "floor", func(id step.CallID) step.Event {
		return confsync.FloorRequested{Call: id, Request: e.Request}
	}, func(response *peerv1.RememberFloorResponse, err error) step.Event {
		return confsync.FloorRemembered{Attempt: e.Attempt, Address: e.Address, Response: response, Err: err}
	})
}

func (p *process) handOver(e claim.HandOver) {
	callPeer(p, e.To.Address, "hand-over", func(id step.CallID) step.Event {
		return claim.HandOverRequested{Call: id, Request: proto.Clone(e.Request).(*peerv1.HandOverClaimsRequest)}
	}, func(response *peerv1.HandOverClaimsResponse, err error) step.Event {
		return claim.HandedOver{ID: e.ID, Response: response, Err: err}
	})
}

// answerOf reads an answer; nil stands for a call whose time is over.
func answerOf[T proto.Message](reply proto.Message) (T, error) {
	if reply == nil {
		var none T
		return none, errTimeout
	}
	return proto.Clone(reply).(T), nil
}

// askPlatform carries out the effects that need the platform.
func (p *process) askPlatform(effect step.Effect) {
	store := p.n.store
	switch e := effect.(type) {
	case confsync.ReadHead:
		p.n.platformCall(p, "head", func(ctx context.Context) step.Event {
			read := publish.ReadHead
			if e.Confirm {
				read = publish.ConfirmHead
			}
			head, err := read(ctx, store)
			return confsync.HeadRead{Attempt: e.Attempt, ID: head.ID, Err: err}
		}, confsync.HeadRead{Attempt: e.Attempt, Err: platform.ErrUnavailable})
	case confsync.FetchObject:
		p.n.platformCall(p, "object", func(ctx context.Context) step.Event {
			body, err := publish.ReadBody(ctx, store, e.ID.Digest)
			return confsync.ObjectFetched{Attempt: e.Attempt, ID: e.ID, Body: body, Err: err}
		}, confsync.ObjectFetched{Attempt: e.Attempt, ID: e.ID, Err: platform.ErrUnavailable})
	case membership.ReadContacts:
		p.n.platformCall(p, "contacts", func(ctx context.Context) step.Event {
			rows, err := store.Scan(ctx, e.Prefix, "", e.Limit)
			return membership.ContactsRead{Rows: rows, Err: err}
		}, membership.ContactsRead{Err: platform.ErrUnavailable})
	case membership.WriteContact:
		p.n.platformCall(p, "contact write", func(ctx context.Context) step.Event {
			_, err := store.Transact(ctx, platform.Transaction{
				Preconditions: []platform.Precondition{e.Precondition},
				Writes:        []platform.Write{e.Write},
			})
			return membership.ContactWritten{Key: e.Write.Key, Err: err}
		}, membership.ContactWritten{Key: e.Write.Key, Err: platform.ErrUnknown})
	case claim.WriteClaims:
		p.n.platformCall(p, "claim write", func(ctx context.Context) step.Event {
			result, err := store.Transact(ctx, e.Transaction)
			return claim.TableWritten{Batch: e.Batch, Result: result, Err: err}
		}, claim.TableWritten{Batch: e.Batch, Err: platform.ErrUnknown})
	case claim.ReadClaim:
		p.n.platformCall(p, "claim read", func(ctx context.Context) step.Event {
			row, err := store.Read(ctx, e.Key)
			return claim.TableRead{Key: e.Key, Row: row, Err: err}
		}, claim.TableRead{Key: e.Key, Err: platform.ErrUnavailable})
	}
}
