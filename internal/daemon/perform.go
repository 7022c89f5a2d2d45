package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/gen/godwitmount/peer/v1/peerv1connect"
	"godwitmount/internal/claim"
	"godwitmount/internal/confsync"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/membership"
	"godwitmount/internal/platform"
	"godwitmount/internal/proxy"
	"godwitmount/internal/publish"
	"godwitmount/internal/step"
)

const (
	// peerCallTimeout bounds a control call to a peer.
	peerCallTimeout = 3 * time.Second
	// platformCallTimeout bounds a request to the platform.
	platformCallTimeout = 5 * time.Second
)

// perform carries out one effect. It runs on the control goroutine, so all
// that may block goes to a goroutine of its own, whose result comes back as an
// event.
func (d *Daemon) perform(effect step.Effect) {
	switch e := effect.(type) {
	case step.Log:
		d.writeLog(e)
	case step.Reply:
		d.loop.reply(e)
	case control.PublishSnapshot:
		d.publishSnapshot(e)
	case control.PublishClaimView:
		d.claims.SetView(e.View)
	case control.MembersKnown:
		d.traffic.setMembers(e.Records)
	case control.LocalUpstream:
		d.setUpstream(e)
	case control.ConfigInForce:
		d.metrics.inForce(e.ID)
	case control.ConfigRefused:
		d.metrics.refused(e.Code)
	case membership.SendPacket:
		d.sendPacket(e)
	case membership.StartExchange:
		go d.exchange(e)
	case membership.ReadContacts:
		go d.readContacts(e)
	case membership.WriteContact:
		go d.writeContact(e)
	default:
		d.performMore(effect)
	}
}

// performMore carries out the effects of configuration, claims and quarantine.
func (d *Daemon) performMore(effect step.Effect) {
	switch e := effect.(type) {
	case confsync.ReadHead:
		go d.readHead(e)
	case confsync.FetchFromPeer:
		go d.fetchFromPeer(e)
	case confsync.FetchObject:
		go d.fetchObject(e)
	case confsync.AskFloor:
		go d.askFloor(e)
	case claim.WriteClaims:
		go d.writeClaims(e)
	case claim.ReadClaim:
		go d.readClaim(e)
	case claim.HandOver:
		go d.handOver(e)
	default:
		d.performQuarantine(effect)
	}
}

// sendPacket queues a datagram; one that cannot be sent counts as lost.
func (d *Daemon) sendPacket(e membership.SendPacket) {
	if err := d.gossip.Send(e); err != nil {
		event.PacketDropped.Warn(d.log, zap.String("to", e.Address), zap.Error(err))
		return
	}
	d.traffic.countSent(e.Address, proto.Size(e.Packet))
}

func (d *Daemon) writeLog(e step.Log) {
	fields := make([]zap.Field, 0, len(e.Fields))
	for _, field := range e.Fields {
		fields = append(fields, zap.String(field.Key, field.Value))
	}
	if e.Warn {
		e.Event.Warn(d.log, fields...)
		return
	}
	e.Event.Info(d.log, fields...)
}

// publishSnapshot swaps routes and upstreams for all calls that begin later.
func (d *Daemon) publishSnapshot(e control.PublishSnapshot) {
	before := d.snapshot.Swap(e.Snapshot)
	if before == nil {
		event.DaemonReady.Info(d.log, zap.Stringer("config", e.Snapshot.Config))
	}
}

func (d *Daemon) setUpstream(e control.LocalUpstream) {
	address := ""
	if known := d.upstreamAddress.Load(); known != nil {
		address = *known
	}
	d.proxy.SetUpstream(proxy.Upstream{Service: e.Service, Address: address, Slots: e.Slots, State: e.State})
}

// peerCall runs one call to the peer at address within the time allowed.
func peerCall[Req, Resp any](d *Daemon, address string, req *Req, method func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	ctx, cancel := context.WithTimeout(d.background, peerCallTimeout)
	defer cancel()
	return peerCallContext(ctx, d, address, req, method)
}

func peerCallContext[Req, Resp any](ctx context.Context, d *Daemon, address string, req *Req, method func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	response, err := method(d.peers.to(address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (d *Daemon) exchange(e membership.StartExchange) {
	response, err := peerCall(d, e.Address, e.Request, peerv1connect.PeerServiceClient.ExchangeMembers)
	d.loop.post(membership.ExchangeAnswered{Address: e.Address, Response: response, Err: err})
}

func (d *Daemon) fetchFromPeer(e confsync.FetchFromPeer) {
	response, err := peerCall(d, e.Address, e.Request, peerv1connect.PeerServiceClient.FetchConfig)
	d.loop.post(confsync.PeerFetched{Attempt: e.Attempt, Address: e.Address, Response: response, Err: err})
}

func (d *Daemon) askFloor(e confsync.AskFloor) {
	response, err := peerCall(d, e.Address, e.Request, peerv1connect.PeerServiceClient.RememberFloor)
	d.loop.post(confsync.FloorRemembered{Attempt: e.Attempt, Address: e.Address, Response: response, Err: err})
}

func (d *Daemon) handOver(e claim.HandOver) {
	response, err := peerCall(d, e.To.Address, e.Request, peerv1connect.PeerServiceClient.HandOverClaims)
	d.loop.post(claim.HandedOver{ID: e.ID, Response: response, Err: err})
}

// fencePeer asks the daemon at address never to start an attempt.
func (d *Daemon) fencePeer(ctx context.Context, address, attempt string) (bool, error) {
	request := &peerv1.FenceRequest{Mesh: d.cfg.Settings.Mesh, Attempt: attempt}
	response, err := peerCallContext(ctx, d, address, request, peerv1connect.PeerServiceClient.Fence)
	return response.GetNotRun(), err
}

// platformContext bounds one request to the platform.
func (d *Daemon) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(d.background, platformCallTimeout)
}

func (d *Daemon) readHead(e confsync.ReadHead) {
	ctx, cancel := d.platformContext()
	defer cancel()
	read := publish.ReadHead
	if e.Confirm {
		read = publish.ConfirmHead
	}
	head, err := read(ctx, d.store)
	d.loop.post(confsync.HeadRead{Attempt: e.Attempt, ID: head.ID, Err: err})
}

func (d *Daemon) fetchObject(e confsync.FetchObject) {
	ctx, cancel := d.platformContext()
	defer cancel()
	body, err := publish.ReadBody(ctx, d.store, e.ID.Digest)
	d.loop.post(confsync.ObjectFetched{Attempt: e.Attempt, ID: e.ID, Body: body, Err: err})
}

func (d *Daemon) readContacts(e membership.ReadContacts) {
	ctx, cancel := d.platformContext()
	defer cancel()
	rows, err := d.store.Scan(ctx, e.Prefix, "", e.Limit)
	d.loop.post(membership.ContactsRead{Rows: rows, Err: err})
}

func (d *Daemon) writeContact(e membership.WriteContact) {
	ctx, cancel := d.platformContext()
	defer cancel()
	_, err := d.store.Transact(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{e.Precondition},
		Writes:        []platform.Write{e.Write},
	})
	d.loop.post(membership.ContactWritten{Key: e.Write.Key, Err: err})
}

func (d *Daemon) writeClaims(e claim.WriteClaims) {
	ctx, cancel := d.platformContext()
	defer cancel()
	result, err := d.store.Transact(ctx, e.Transaction)
	d.loop.post(claim.TableWritten{Batch: e.Batch, Result: result, Err: err})
}

func (d *Daemon) readClaim(e claim.ReadClaim) {
	ctx, cancel := d.platformContext()
	defer cancel()
	row, err := d.store.Read(ctx, e.Key)
	d.loop.post(claim.TableRead{Key: e.Key, Row: row, Err: err})
}

// claimCaller carries claim requests to their holder; the daemon's own holder
// is asked without the network.
type claimCaller struct {
	daemon *Daemon
}

// Acquire implements claim.Caller.
func (c claimCaller) Acquire(ctx context.Context, to claim.Endpoint, req *peerv1.AcquireClaimRequest) (*peerv1.AcquireClaimResponse, error) {
	if to.Instance != c.daemon.instance {
		return peerCallContext(ctx, c.daemon, to.Address, req, peerv1connect.PeerServiceClient.AcquireClaim)
	}
	return ask[*peerv1.AcquireClaimRequest, *peerv1.AcquireClaimResponse](ctx, c.daemon.service, req, func(id step.CallID) step.Event {
		return claim.AcquireRequested{Call: id, Request: req}
	})
}

// Finish implements claim.Caller.
func (c claimCaller) Finish(ctx context.Context, to claim.Endpoint, req *peerv1.FinishClaimRequest) (*peerv1.FinishClaimResponse, error) {
	if to.Instance != c.daemon.instance {
		return peerCallContext(ctx, c.daemon, to.Address, req, peerv1connect.PeerServiceClient.FinishClaim)
	}
	return ask[*peerv1.FinishClaimRequest, *peerv1.FinishClaimResponse](ctx, c.daemon.service, req, func(id step.CallID) step.Event {
		return claim.FinishRequested{Call: id, Request: req}
	})
}
