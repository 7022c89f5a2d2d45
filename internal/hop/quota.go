package hop

import (
	"context"
	"fmt"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// AskQuota sends a QuotaRequest and returns the reply. Its errors are those of Do, and
// one for a reply of another type. A peer of a release without quotas does not reply.
func (c *Client) AskQuota(ctx context.Context, request *hopv1.QuotaRequest) (*hopv1.QuotaReply, error) {
	frame, err := c.roundTrip(ctx, &hopv1.Frame{Body: &hopv1.Frame_QuotaRequest{QuotaRequest: request}}, giveUpAtOnce)
	if err != nil {
		return nil, err
	}
	reply := frame.GetQuotaReply()
	if reply == nil {
		return nil, fmt.Errorf("peer replied to a quota request with %T", frame.Body)
	}
	return reply, nil
}

// answerQuota replies to a QuotaRequest from a goroutine of its own, since the handler
// may have to ask another daemon first.
func (s *session) answerQuota(stream uint64, request *hopv1.QuotaRequest) {
	go func() {
		reply := s.quotaReply(request)
		// If this fails, the connection ends, and the peer does not wait any longer.
		_ = s.peerConn.send(&hopv1.Frame{Stream: stream, Body: &hopv1.Frame_QuotaReply{QuotaReply: reply}})
	}()
}

// quotaReply returns the handler's reply. If the handler panics, the reply declines: one
// message must not end the process.
func (s *session) quotaReply(request *hopv1.QuotaRequest) (reply *hopv1.QuotaReply) {
	defer func() {
		if cause := recover(); cause != nil {
			s.server.handler.Panicked(cause)
			reply = &hopv1.QuotaReply{Declined: true}
		}
	}()
	return s.server.handler.Quota(context.Background(), s.peer, request)
}
