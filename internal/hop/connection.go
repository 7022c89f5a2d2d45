package hop

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// clientConn is one connection of a Client.
type clientConn struct {
	*peerConn
	// session is the connection's id in the Hello, and resumable is set before the
	// handshake completes if the peer has repeated it there.
	session   uint64
	resumable bool
	// replaces is the connection beside which this one was opened, or nil, and openedAt
	// when that began.
	replaces *clientConn
	openedAt time.Duration
	// wanted is the number of requests that the Resume on this connection names as wanted.
	wanted int
	// next is the connection that has replaced this one; retired is closed then. The
	// Client's mu guards next.
	next    *clientConn
	retired chan struct{}
	// wake makes the connection's monitor check immediately; polling is set while that
	// checks often.
	wake    chan struct{}
	polling atomic.Bool
	// pingSentAt is when the unanswered ping was sent, in nanoseconds of Hooks.Now, or 0.
	pingSentAt atomic.Int64
	// pings holds the times at which the unanswered pings were sent.
	pings pingTimes
	// drained is set, under the Client's mu, once the peer has said that it stops and takes
	// no requests.
	drained atomic.Bool
	// resetAfter is the idle time in nanoseconds after which monitor reset the connection;
	// 0 if it ended otherwise.
	resetAfter atomic.Int64
	// mismatch is set when another instance answered the Hello.
	mismatch bool
	// ended is closed when the connection has ended with err.
	ended chan struct{}
	err   error
}

// receivedSince reports whether data has arrived since a time. Both times are readings of
// Hooks.Now.
func (c *clientConn) receivedSince(now, since time.Duration) bool { return c.idleTime() < now-since }

// begin makes an opened connection one of the client's and sends the Hello on it. It
// returns an error after Close.
func (c *Client) begin(opened net.Conn, replaces *clientConn, openedAt time.Duration) (*clientConn, error) {
	conn := &clientConn{
		peerConn: newPeerConn(opened, c.hooks.Link),
		session:  rand.Uint64() | 1, // 0 is none
		replaces: replaces,
		openedAt: openedAt,
		retired:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
		ended:    make(chan struct{}),
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.open[conn] = true
	}
	c.mu.Unlock()
	if closed {
		conn.close()
		return nil, errConnClosed
	}
	hello := withState(c.hello, c.hooks.HelloState(), c.hooks.DrainRecord(), c.hooks.Link)
	hello.Session = conn.session
	if err := c.send(conn, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: hello}}); err != nil {
		conn.close()
	}
	return conn, nil
}

// serve runs the hop protocol on a connection, and on those that replace it, until the
// last one ends. It returns the idle time if monitor reset that one because the read
// timeout expired, or 0, and the error that ended it.
func (c *Client) serve(opened net.Conn) (time.Duration, error) {
	conn, err := c.begin(opened, nil, c.now())
	if err != nil {
		return 0, err
	}
	c.endSilence()
	c.suspectSince.Store(0)
	go c.monitor(conn)
	c.read(conn)
	for next := c.successor(conn); next != nil; next = c.successor(conn) {
		conn = next
		<-conn.ended
	}
	return time.Duration(conn.resetAfter.Load()), conn.err
}

// successor returns the connection that has replaced one, or nil.
func (c *Client) successor(conn *clientConn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return conn.next
}

// read handles the frames of a connection until it ends.
func (c *Client) read(conn *clientConn) {
	conn.err = conn.peerConn.read(func(frame *hopv1.Frame) { c.handleFrame(conn, frame) })
	if conn.mismatch {
		conn.err = ErrInstanceMismatch
	}
	c.connectionEnded(conn)
}

// send stamps a frame with the current time and queues it.
func (c *Client) send(conn *clientConn, frame *hopv1.Frame) error {
	return c.sendTracked(conn, frame, nil)
}

// sendTracked is send. It sets sent, if that is not nil, before the last byte is queued.
func (c *Client) sendTracked(conn *clientConn, frame *hopv1.Frame, sent *atomic.Bool) error {
	frame.SentUs = uint64(c.now().Microseconds())
	return conn.sendTracked(frame, sent)
}

// handleFrame handles one frame from the peer. Requests use a connection only after the
// peer's Hello.
func (c *Client) handleFrame(conn *clientConn, frame *hopv1.Frame) {
	c.hooks.AdaptiveTimeout.RecordReceive(c.now())
	if hello := frame.GetHello(); hello != nil {
		c.handleHello(conn, hello)
		return
	}
	if c.established(conn) {
		c.dataArrived()
	} else if !isClosed(conn.retired) {
		// Another instance may have taken over the peer's address.
		return
	}
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Pong:
		c.hooks.StateReceived(body.Pong.GetState())
		if frame.Stream == 0 {
			c.pongReceived(conn, body.Pong.GetState())
		}
		c.deliver(frame)
	case *hopv1.Frame_Ping:
		c.hooks.StateReceived(body.Ping.GetState())
		c.confirmDrain(conn, body.Ping.GetState())
	case *hopv1.Frame_Answer:
		c.hooks.StateReceived(body.Answer.GetState())
		c.deliver(frame)
	case *hopv1.Frame_Failure:
		// The peer may have refused a request that was only announced.
		conn.parts.cancel(frame.Stream)
		c.hooks.StateReceived(body.Failure.GetState())
		c.deliver(frame)
	case *hopv1.Frame_ConfigAnswer, *hopv1.Frame_QuotaReply:
		c.deliver(frame)
	case *hopv1.Frame_PartAnnounce:
		c.handleAnnounce(conn, frame.Stream, body.PartAnnounce)
	case *hopv1.Frame_Resumed:
		c.handleResumed(conn, body.Resumed)
	}
}

// handleHello completes the handshake.
func (c *Client) handleHello(conn *clientConn, hello *hopv1.Hello) {
	if hello.GetInstance() != c.hooks.Instance {
		conn.mismatch = true
		conn.reset()
		return
	}
	if !c.establish(conn, hello.GetSession() == conn.session) {
		conn.close()
		return
	}
	if c.hooks.LinkKbpsReceived != nil {
		c.hooks.LinkKbpsReceived(hello.GetLinkKbps())
	}
	c.hooks.StateReceived(hello.GetState())
	c.hooks.DrainRecordReceived(hello.GetLeft())
	c.hooks.Up()
	c.confirmDrain(conn, hello.GetState())
}

// established reports whether the connection is the one for requests.
func (c *Client) established(conn *clientConn) bool { return c.conn.Load() == conn }

// establish makes requests use the connection and resumes those of earlier ones.
// Resumable says that the peer supports this. It returns false after Close, and if the
// connection does not replace the other one after all.
func (c *Client) establish(conn *clientConn, resumable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.established(conn) {
		return !c.closed
	}
	conn.resumable = resumable
	if conn.replaces != nil {
		if !resumable || !c.retire(conn) {
			return false
		}
	}
	c.conn.Store(conn)
	if len(c.unresolved) == 0 {
		return true
	}
	if resumable {
		c.sendResume(conn)
	} else {
		c.forgetUnresolved()
	}
	return true
}

// connectionEnded handles the end of a connection. If it was the one for requests, they
// are resumed on the next one, unless the peer has been silent for too long. Connections
// that it has replaced end with it, since serve waits for all of them. If it ended before
// its handshake, the requests are failed.
func (c *Client) connectionEnded(conn *clientConn) {
	defer close(conn.ended)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	switch {
	case isClosed(conn.retired):
	case c.established(conn):
		c.conn.Store(nil)
		c.resetRetired()
		if conn.resumable && c.hasWork() {
			c.unresolve(conn)
		}
		if !conn.resumable || conn.resetAfter.Load() > 0 || c.closed {
			c.failPending()
		}
	case conn.replaces != nil:
		c.replacing = false
	default:
		c.failPending()
	}
}
