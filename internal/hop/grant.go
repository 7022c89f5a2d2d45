package hop

import (
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

// This file is the receiving side of receiver-side pacing. The announcing side is in
// announce.go.

// partGranter grants the large frames that the peer announces on a connection as the
// machine's network link has room, and counts all others. All methods may be called from
// any goroutine.
type partGranter struct {
	inbound *shaping.Inbound
	// send queues a frame. It does not block.
	send func(*hopv1.Frame) error

	mu sync.Mutex
	// transfers holds, by stream, the announced frames of which not all has arrived.
	transfers map[uint64]*shaping.Transfer
	// closed is set by close: nothing more is granted.
	closed bool
}

func newPartGranter(inbound *shaping.Inbound, send func(*hopv1.Frame) error) *partGranter {
	return &partGranter{inbound: inbound, send: send, transfers: map[uint64]*shaping.Transfer{}}
}

// announce handles the announcement of a frame. It returns by how much a request would be
// late, if it is refused for that.
func (g *partGranter) announce(stream uint64, a shaping.Announcement) (excess time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.transfers[stream] != nil {
		return 0
	}
	if g.inbound == nil {
		// The peer should not have announced the frame; without a grant it would wait.
		g.grant(stream, a.Bytes)
		return 0
	}
	transfer, excess := g.inbound.Announce(a, func(bytes int) { g.grant(stream, bytes) })
	if transfer != nil {
		g.transfers[stream] = transfer
	}
	return excess
}

// grant sends a grant. If that fails, the connection has ended.
func (g *partGranter) grant(stream uint64, bytes int) {
	_ = g.send(&hopv1.Frame{Stream: stream, Body: &hopv1.Frame_PartGrant{PartGrant: &hopv1.PartGrant{Bytes: uint32(bytes)}}})
}

// received counts a frame of the given encoded size.
func (g *partGranter) received(frame *hopv1.Frame, size int) {
	if part := frame.GetPart(); part == nil || !g.partReceived(frame.Stream, part) {
		g.inbound.Consume(size)
	}
	if frame.GetCancel() != nil {
		g.end(frame.Stream)
	}
}

// partReceived counts a part of an announced frame. It returns false if the frame was not
// announced.
func (g *partGranter) partReceived(stream uint64, part *hopv1.Part) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	transfer := g.transfers[stream]
	if transfer == nil {
		return false
	}
	g.inbound.Arrived(transfer, len(part.Data))
	if part.Last {
		g.endTransfer(stream, transfer)
	}
	return true
}

// end ends an announced frame that will not arrive.
func (g *partGranter) end(stream uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if transfer := g.transfers[stream]; transfer != nil {
		g.endTransfer(stream, transfer)
	}
}

// endTransfer ends an announced frame. The caller holds mu.
func (g *partGranter) endTransfer(stream uint64, transfer *shaping.Transfer) {
	g.inbound.End(transfer)
	delete(g.transfers, stream)
}

// close releases what was granted on the connection. Announcements that still arrive there
// have no effect.
func (g *partGranter) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for stream, transfer := range g.transfers {
		g.endTransfer(stream, transfer)
	}
}

// announcedRequest is a request of which not all has arrived.
type announcedRequest struct {
	// at is when its announcement arrived, and delay how long that was queued in the
	// network.
	at, delay time.Duration
}

// handleAnnounce handles the announcement of a frame of the peer that opened the
// connection. A request that cannot arrive in time is refused.
func (s *session) handleAnnounce(stream uint64, announce *hopv1.PartAnnounce, delay time.Duration) {
	a := shaping.Announcement{Kind: shaping.ReplyFrame, Bytes: int(announce.GetBytes())}
	if announce.RemainingMs != nil {
		a.Kind = shaping.RequestFrame
		a.GoalLeft = milliseconds(subtractDelay(announce.GetGoalMs(), delay))
		a.DeadlineLeft = milliseconds(subtractDelay(announce.GetRemainingMs(), delay))
	}
	if excess := s.peerConn.grants.announce(stream, a); excess > 0 {
		s.refuse(stream, a.Bytes, excess)
		return
	}
	if a.Kind == shaping.RequestFrame {
		s.announced[stream] = announcedRequest{time.Since(s.epoch), delay}
	}
}

// refuse replies to an announced request with a failure. It counts as received, so that
// it is not run if its parts arrive after all.
func (s *session) refuse(stream uint64, bytes int, excess time.Duration) {
	s.server.sessionsMu.Lock()
	begins := s.ledger.begin(stream)
	s.server.sessionsMu.Unlock()
	if !begins {
		return
	}
	reply := s.server.handler.RefuseTransfer(s.peer, bytes, excess)
	reply.Stream = stream
	s.reply(reply)
}

// delayOf returns how much of the times in a frame has passed before it arrived. An
// announced request has also waited for its grants since its announcement.
func (s *session) delayOf(frame *hopv1.Frame) time.Duration {
	now := time.Since(s.epoch)
	if a, ok := s.announced[frame.Stream]; ok {
		delete(s.announced, frame.Stream)
		if frame.GetRequest() != nil {
			return a.delay + now - a.at
		}
	}
	return s.queueDelay.delay(now, time.Duration(frame.SentUs)*time.Microsecond)
}

// handleAnnounce handles the announcement of a reply.
func (c *Client) handleAnnounce(conn *clientConn, stream uint64, announce *hopv1.PartAnnounce) {
	a := shaping.Announcement{Kind: shaping.ReplyFrame, Bytes: int(announce.GetBytes())}
	c.mu.Lock()
	if p := c.pending[stream]; p != nil && p.frame.GetConfigRequest() != nil {
		a.Kind = shaping.ConfigurationFrame
	}
	c.mu.Unlock()
	conn.grants.announce(stream, a)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
