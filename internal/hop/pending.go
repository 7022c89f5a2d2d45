package hop

import (
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// pendingRequest is a request, or another frame, that awaits its reply.
type pendingRequest struct {
	frame *hopv1.Frame
	// sentAt is when the frame was last sent. Only the goroutine that sends it uses it.
	sentAt time.Duration
	// reply receives the reply, or nil if it is lost.
	reply chan *hopv1.Frame
	// again receives a value when the frame is to be sent on the current connection.
	again chan struct{}
	// sent is set before the last byte of the frame is queued on a connection, and cleared
	// when the peer reports that it has not received the frame. While it is not set, a
	// request has not run.
	sent atomic.Bool
}

// isRequest reports whether it is a request for the peer's upstream.
func (p *pendingRequest) isRequest() bool { return p.frame.GetRequest() != nil }

// repeatable reports whether it can be sent twice.
func (p *pendingRequest) repeatable() bool {
	return !p.isRequest() && p.frame.GetQuotaRequest() == nil
}

// lostError returns the error of a request whose reply is lost.
func (p *pendingRequest) lostError() error {
	if !p.sent.Load() {
		return ErrNotSent
	}
	return ErrConnectionLost
}

// requestSend makes the goroutine that waits for the reply send the frame again.
func (p *pendingRequest) requestSend() {
	select {
	case p.again <- struct{}{}:
	default:
	}
}

// register adds a frame to the pending requests, on a new stream. It returns nil if there
// is no connection on which to send it. The channel is closed when the peer falls silent.
func (c *Client) register(frame *hopv1.Frame) (*pendingRequest, *clientConn, <-chan struct{}) {
	p := &pendingRequest{frame: frame, sentAt: c.now(), reply: make(chan *hopv1.Frame, 1), again: make(chan struct{}, 1)}
	c.mu.Lock()
	conn, silence := c.conn.Load(), c.silence
	if conn == nil || c.closed || isClosed(silence) || conn.drained.Load() && p.isRequest() {
		c.mu.Unlock()
		return nil, nil, nil
	}
	first := !c.hasWork()
	c.lastStream++
	frame.Stream = c.lastStream
	c.pending[frame.Stream] = p
	c.mu.Unlock()
	if first {
		c.pendingSince.Store(int64(c.now()))
		c.wakeMonitor()
	}
	return p, conn, silence
}

// sendAgain sends a request that the peer has not received on the current connection. If
// there is none, the request waits for the next one.
func (c *Client) sendAgain(p *pendingRequest) {
	now := c.now()
	if request := p.frame.GetRequest(); request != nil {
		request.RemainingMs = subtractDelay(request.RemainingMs, now-p.sentAt)
		request.GoalMs = subtractDelay(request.GoalMs, now-p.sentAt)
		request.Patient = request.GoalMs == 0
	}
	p.sentAt = now
	if conn := c.conn.Load(); conn != nil {
		// If this fails, the connection ends, and the request is resumed on the next one.
		_ = c.sendTracked(conn, p.frame, &p.sent)
	}
}

// deliver passes a reply to the request that awaits it, if that is still
// pending.
func (c *Client) deliver(frame *hopv1.Frame) {
	c.mu.Lock()
	p := c.pending[frame.Stream]
	delete(c.pending, frame.Stream)
	delete(c.cancelled, frame.Stream)
	c.mu.Unlock()
	if p != nil {
		p.reply <- frame
	}
}

// failPending fails all pending requests. The caller holds mu.
func (c *Client) failPending() {
	for stream, p := range c.pending {
		c.fail(stream, p)
	}
}

// fail ends a pending request whose reply is lost. The caller holds mu.
func (c *Client) fail(stream uint64, p *pendingRequest) {
	delete(c.pending, stream)
	p.reply <- nil
}

// cancelRequest stops waiting for the reply on a stream and sends a Cancel. Until the
// peer confirms the end, the connection counts as busy, so that its silence is noticed:
// the next Resume then cancels the request.
func (c *Client) cancelRequest(stream uint64) {
	c.mu.Lock()
	conn := c.conn.Load()
	p := c.pending[stream]
	delete(c.pending, stream)
	c.stopParts(stream)
	// The peer does not confirm the end of a request that it has not received.
	if p != nil && p.isRequest() && p.sent.Load() && conn != nil && conn.resumable {
		c.cancelled[stream] = true
	}
	c.mu.Unlock()
	if p != nil {
		c.sendCancel(stream)
	}
}

// stopParts ends the sending of a frame on all connections, also on one that was replaced
// when the sending began. After that pendingRequest.sent does not change. The caller holds
// mu.
func (c *Client) stopParts(stream uint64) {
	for conn := range c.open {
		conn.parts.cancel(stream)
	}
}

// withdraw cancels a request of which not all was sent. It returns false if there is none
// left to withdraw: all of it was sent, or its reply has arrived.
func (c *Client) withdraw(p *pendingRequest) bool {
	c.mu.Lock()
	c.stopParts(p.frame.Stream)
	pending := c.pending[p.frame.Stream] == p
	c.mu.Unlock()
	if !pending || p.sent.Load() {
		return false
	}
	c.cancelRequest(p.frame.Stream)
	return true
}

// sendCancel sends a Cancel: no caller waits for the reply on the stream any more.
func (c *Client) sendCancel(stream uint64) {
	if conn := c.conn.Load(); conn != nil {
		// If this fails, the connection ends, and with it the request.
		_ = c.send(conn, &hopv1.Frame{Stream: stream, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
	}
}

// Unconfirmed returns the number of cancelled requests whose end the peer has not
// confirmed.
func (c *Client) Unconfirmed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cancelled)
}

func (c *Client) removePending(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, stream)
}

// hasWork reports whether anything is expected from the peer. The caller holds mu.
func (c *Client) hasWork() bool {
	return len(c.pending)+len(c.cancelled)+len(c.unresolved) > 0
}

// busy is hasWork for a caller that does not hold mu.
func (c *Client) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasWork()
}
