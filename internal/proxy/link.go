package proxy

import (
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/event"
	"godwitmount/internal/routing"
	"godwitmount/internal/shaping"
)

// LinkBacklog returns how long this machine's network link needs for the large
// frames that wait to be sent on it.
func (ps *Peers) LinkBacklog() time.Duration { return ps.link.Backlog() }

// reportedLinkBacklog returns the larger of the backlogs in the two directions of this
// machine's network link.
func (ps *Peers) reportedLinkBacklog() time.Duration {
	return max(ps.LinkBacklog(), ps.inboundBacklog())
}

// inboundBacklog returns how long this machine's network link needs for the large frames
// that peers have announced.
func (ps *Peers) inboundBacklog() time.Duration { return ps.link.Inbound().Backlog() }

// recordReceived counts bytes that this machine has received from other machines on
// connections other than those between daemons.
func (ps *Peers) recordReceived(bytes int) { ps.link.Inbound().Consume(bytes) }

// waitsForGrants reports whether a request or its reply is sent in parts that wait for the
// grants of the peer or of this daemon.
func (p *peer) waitsForGrants(request *hopv1.Request, reply *hopv1.Frame) bool {
	return len(request.Body) >= shaping.PartBytes && shaping.IsPaced(p.linkKbps.Load()) ||
		len(reply.GetAnswer().GetBody()) >= shaping.PartBytes && p.grantsReplies
}

// RefuseTransfer returns the failure of a large request of a peer that was refused before
// its transfer: this machine's network link would receive it too late by excess.
func (p *Proxy) RefuseTransfer(instance string, bytes int, excess time.Duration) *hopv1.Frame {
	retry := max(excess, time.Millisecond) // 0 would mean unknown.
	p.metrics.recordRefusal(code.CallShed)
	p.deps.Log.Request(event.CallExecuted, asynclog.Failed, zap.String("peer", instance), zap.Int("bytes", bytes),
		zap.String("result", code.CallShed.String()), zap.Duration("retry_after", retry))
	return failureFrame(code.CallShed, true, retry, p.State())
}

// linkBusyFor returns how much longer than until the request's deadline, or its goal
// if that is not past, large answers occupy this machine's network link before one of
// the request could be sent; 0 if it could be sent in time or is small.
func (p *Proxy) linkBusyFor(request *hopv1.Request) time.Duration {
	if p.routes.size(request.Route) < routing.LargeRequestBytes {
		return 0
	}
	left := request.GoalMs
	if left == 0 {
		left = request.RemainingMs
	}
	return max(p.deps.Peers.LinkBacklog()-milliseconds(left), 0)
}
