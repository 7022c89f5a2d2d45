package daemon

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/confsync"
	"godwitmount/internal/control"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
)

// errForeignMesh refuses a peer of another mesh.
var errForeignMesh = errors.New("request is of another mesh")

// peerService answers the control calls of other daemons by handing each to
// the control loop and waiting for its reply.
type peerService struct {
	mesh  string
	loop  *loop
	fence func(attempt string) bool
}

// meshed is a request that names its mesh.
type meshed interface {
	GetMesh() string
}

// ask hands a request to the reducer as the event that build makes.
func ask[Req meshed, Resp proto.Message](ctx context.Context, s *peerService, req Req, build func(step.CallID) step.Event) (Resp, error) {
	var none Resp
	if req.GetMesh() != s.mesh {
		return none, connect.NewError(connect.CodePermissionDenied, errForeignMesh)
	}
	message, err := s.loop.call(ctx, build)
	if err != nil {
		return none, connect.NewError(connect.CodeUnavailable, err)
	}
	response, ok := message.(Resp)
	if !ok {
		return none, connect.NewError(connect.CodeInternal, errors.New("reply is of another type"))
	}
	return response, nil
}

func (s *peerService) FetchConfig(ctx context.Context, req *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	resp, err := ask[*peerv1.FetchConfigRequest, *peerv1.FetchConfigResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return confsync.FetchRequested{Call: id, Request: req.Msg}
	})
	return respond(resp, err)
}

func (s *peerService) RememberFloor(ctx context.Context, req *connect.Request[peerv1.RememberFloorRequest]) (*connect.Response[peerv1.RememberFloorResponse], error) {
	resp, err := ask[*peerv1.RememberFloorRequest, *peerv1.RememberFloorResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return confsync.FloorRequested{Call: id, Request: req.Msg}
	})
	return respond(resp, err)
}

func (s *peerService) ExchangeMembers(ctx context.Context, req *connect.Request[peerv1.ExchangeMembersRequest]) (*connect.Response[peerv1.ExchangeMembersResponse], error) {
	resp, err := ask[*peerv1.ExchangeMembersRequest, *peerv1.ExchangeMembersResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return membership.ExchangeRequested{Call: id, Request: req.Msg}
	})
	return respond(resp, err)
}

func (s *peerService) AcquireClaim(ctx context.Context, req *connect.Request[peerv1.AcquireClaimRequest]) (*connect.Response[peerv1.AcquireClaimResponse], error) {
	resp, err := ask[*peerv1.AcquireClaimRequest, *peerv1.AcquireClaimResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return claim.AcquireRequested{Call: id, Request: req.Msg}
	})
	return respond(resp, err)
}

func (s *peerService) FinishClaim(ctx context.Context, req *connect.Request[peerv1.FinishClaimRequest]) (*connect.Response[peerv1.FinishClaimResponse], error) {
	resp, err := ask[*peerv1.FinishClaimRequest, *peerv1.FinishClaimResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return claim.FinishRequested{Call: id, Request: req.Msg}
	})
	return respond(resp, err)
}

func (s *peerService) HandOverClaims(ctx context.Context, req *connect.Request[peerv1.HandOverClaimsRequest]) (*connect.Response[peerv1.HandOverClaimsResponse], error) {
	resp, err := ask[*peerv1.HandOverClaimsRequest, *peerv1.HandOverClaimsResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return claim.HandOverRequested{Call: id, Request: req.Msg}
	})
	return respond(resp, err)
}

// Fence is answered by the data path, which knows what it has started.
func (s *peerService) Fence(_ context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	if req.Msg.GetMesh() != s.mesh {
		return nil, connect.NewError(connect.CodePermissionDenied, errForeignMesh)
	}
	return connect.NewResponse(&peerv1.FenceResponse{NotRun: s.fence(req.Msg.GetAttempt())}), nil
}

// Status implements the operator's service.
func (s *peerService) Status(ctx context.Context, req *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	if req.Msg.GetMesh() == "" {
		req.Msg.Mesh = s.mesh
	}
	resp, err := ask[*peerv1.StatusRequest, *peerv1.StatusResponse](ctx, s, req.Msg, func(id step.CallID) step.Event {
		return control.StatusRequested{Call: id}
	})
	return respond(resp, err)
}

func respond[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(message), nil
}
