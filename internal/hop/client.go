package hop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

const (
	// dialTimeout bounds connecting to another daemon.
	dialTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff between attempts
	// to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// falsePositiveWindow is the time after the end of a connection that was closed
	// as dead. If the peer accepts a new connection within it, closing the old one
	// was a false positive.
	falsePositiveWindow = 500 * time.Millisecond
)

// Errors of a request that got no answer.
var (
	// ErrNotSent means that the request did not leave this daemon.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnectionLost means that the connection was lost while the request
	// was in flight. The request may have run.
	ErrConnectionLost = errors.New("connection was lost while the request was in flight")
	// ErrPeerSilent means that nothing has arrived from the peer for the read
	// timeout. The request may have run. The connection stays open for silenceLimit.
	ErrPeerSilent = errors.New("peer is silent while the request is in flight")
	// ErrInstanceMismatch means that an instance other than Hooks.Instance
	// answers at the address.
	ErrInstanceMismatch = errors.New("another instance answers at the peer's address")
)

// Hooks connect a Client to the rest of the daemon. The functions must not
// block.
type Hooks struct {
	// Instance is the instance that is expected at the address.
	Instance string
	// Up is called when the handshake with the peer completes and when data arrives
	// from a silent peer.
	Up func()
	// Down is called with the error when an attempt to connect fails, when the peer
	// falls silent and when the connection is lost.
	Down func(error)
	// StateReceived is called with each state received from the peer. The state
	// may be nil.
	StateReceived func(*hopv1.State)
	// DrainRecordReceived is called at each handshake with the peer's drain record
	// of this daemon's upstream, or nil if the peer has none. A drain record names
	// an upstream incarnation that was draining or had deregistered; this daemon
	// may have been restarted since then.
	DrainRecordReceived func(*hopv1.Left)
	// DrainRecord returns this daemon's drain record of the peer's upstream, or
	// nil.
	DrainRecord func() *hopv1.Left
	// HelloState returns the state to send in the handshake, State that in pings.
	HelloState func() *hopv1.State
	State      func() *hopv1.State
	// AdaptiveTimeout is the read timeout shared by all clients of the daemon.
	AdaptiveTimeout *AdaptiveTimeout
	// Link is the machine's network link; nil for no limit.
	Link *shaping.Link
	// Now reads the monotonic clock that AdaptiveTimeout uses.
	Now func() time.Duration
	// PongReceived is called with the state in a Pong and the time at which the ping
	// that it answers was sent, as PingClock reads it. PingClock may be nil; then it
	// is not called.
	PongReceived func(state *hopv1.State, sent time.Duration)
	PingClock    func() time.Duration
}

// Client keeps a connection to one peer open and sends requests on it.
type Client struct {
	address string
	hello   *hopv1.Hello
	hooks   Hooks

	mu sync.Mutex
	// current is the open connection, and peerConn the same once its handshake is
	// complete; nil if there is none.
	current  *peerConn
	peerConn *peerConn
	// pending holds, by stream, the channel that awaits the reply. It is closed
	// when the connection is lost.
	pending    map[uint64]chan *hopv1.Frame
	lastStream uint64
	// silence is closed while the peer is silent, and replaced when data arrives.
	silence chan struct{}
	closed  bool
	stop    chan struct{}
	// wake makes monitor check immediately.
	wake chan struct{}
	// instanceMismatch is set when another instance answered the Hello.
	instanceMismatch atomic.Bool
	// suspect is set by Check until a ping is answered.
	suspect atomic.Bool
	// polling is set while monitor checks often.
	polling atomic.Bool
	// pingSentAt is when the unanswered ping was sent, in nanoseconds of
	// Hooks.Now, or 0.
	pingSentAt atomic.Int64
	// pings holds the times at which the unanswered pings were sent.
	pings pingTimes
	// pendingSince is when a request was last added to an empty pending, in
	// nanoseconds of Hooks.Now.
	pendingSince atomic.Int64
}

// NewClient returns a client that connects to address, host:port, in the
// background.
func NewClient(address string, hello *hopv1.Hello, hooks Hooks) *Client {
	c := &Client{
		address: address,
		hello:   hello,
		hooks:   hooks,
		pending: map[uint64]chan *hopv1.Frame{},
		silence: make(chan struct{}),
		stop:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
	go c.run()
	return c
}

// Close stops connecting and closes the connection, which fails all pending
// requests with ErrConnectionLost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.stop)
	if c.current != nil {
		c.current.close()
	}
}

// run connects, serves the connection until it ends, and repeats this until Close.
func (c *Client) run() {
	backoff := minBackoff
	var idleTime time.Duration
	lostAt := c.now()
	for {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err == nil {
			if idleTime > 0 && c.now()-lostAt < falsePositiveWindow {
				c.hooks.AdaptiveTimeout.RecordFalsePositive(c.now(), idleTime)
			}
			backoff = minBackoff
			idleTime, err = c.serve(conn)
			lostAt = c.now()
		}
		select {
		case <-c.stop:
			return
		default:
		}
		c.hooks.Down(err)
		select {
		case <-c.stop:
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) now() time.Duration { return c.hooks.Now() }

// serve runs the hop protocol on a connection until it ends. It returns the idle
// time if monitor reset the connection because the read timeout expired, or 0, and
// the error that ended the connection.
func (c *Client) serve(conn net.Conn) (time.Duration, error) {
	pc := newPeerConn(conn, c.hooks.Link)
	defer pc.close()
	if !c.use(pc) {
		return 0, errConnClosed
	}
	if err := c.send(pc, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: withState(c.hello, c.hooks.HelloState(), c.hooks.DrainRecord())}}); err != nil {
		return 0, err
	}
	c.pings.clear()
	c.endSilence()
	c.suspect.Store(false)
	c.polling.Store(false)
	monitorResult := make(chan time.Duration, 1)
	go func() { monitorResult <- c.monitor(pc) }()
	err := pc.read(func(frame *hopv1.Frame) { c.handleFrame(pc, frame) })
	c.failPending(pc)
	if c.instanceMismatch.Swap(false) {
		err = ErrInstanceMismatch
	}
	return <-monitorResult, err
}

// use makes pc the open connection. It returns false after Close.
func (c *Client) use(pc *peerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = pc
	return !c.closed
}

// send stamps a frame with the current time and queues it.
func (c *Client) send(pc *peerConn, frame *hopv1.Frame) error {
	frame.SentUs = uint64(c.now().Microseconds())
	return pc.send(frame)
}

// handleFrame handles one frame from the peer. Requests use the connection only
// after the peer's Hello.
func (c *Client) handleFrame(pc *peerConn, frame *hopv1.Frame) {
	c.hooks.AdaptiveTimeout.RecordReceive(c.now())
	c.dataArrived()
	if frame.GetHello() == nil && !c.established(pc) {
		// Another instance may have taken over the peer's address.
		return
	}
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Hello:
		if body.Hello.GetInstance() != c.hooks.Instance {
			c.instanceMismatch.Store(true)
			pc.reset()
			return
		}
		if !c.establish(pc) {
			return
		}
		c.hooks.StateReceived(body.Hello.GetState())
		c.hooks.DrainRecordReceived(body.Hello.GetLeft())
		c.hooks.Up()
	case *hopv1.Frame_Pong:
		c.hooks.StateReceived(body.Pong.GetState())
		c.pongReceived(body.Pong.GetState())
	case *hopv1.Frame_Ping:
		c.hooks.StateReceived(body.Ping.GetState())
	case *hopv1.Frame_Answer:
		c.hooks.StateReceived(body.Answer.GetState())
		c.deliver(frame)
	case *hopv1.Frame_Failure:
		c.hooks.StateReceived(body.Failure.GetState())
		c.deliver(frame)
	case *hopv1.Frame_ConfigAnswer, *hopv1.Frame_QuotaReply:
		c.deliver(frame)
	}
}

// establish makes requests use the connection. It returns false after Close.
func (c *Client) establish(pc *peerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.peerConn = pc
	return true
}

// deliver passes a reply to the request that awaits it, if that is still
// pending.
func (c *Client) deliver(frame *hopv1.Frame) {
	c.mu.Lock()
	result := c.pending[frame.Stream]
	delete(c.pending, frame.Stream)
	c.mu.Unlock()
	if result != nil {
		result <- frame
	}
}

// failPending fails all pending requests after the connection has ended.
func (c *Client) failPending(pc *peerConn) {
	c.mu.Lock()
	if c.peerConn == pc {
		c.peerConn = nil
	}
	pending := c.pending
	c.pending = map[uint64]chan *hopv1.Frame{}
	c.mu.Unlock()
	for _, result := range pending {
		close(result)
	}
}

// Do sends a request and returns the peer's Answer or Failure frame. Otherwise it
// returns an error that wraps ErrNotSent, ErrConnectionLost or ErrPeerSilent. If ctx
// ends first, it sends the peer a Cancel frame and returns ctx.Err().
//
// If the peer falls silent, giveUp is called once. If it returns true, Do cancels the
// request and returns ErrPeerSilent; otherwise it goes on waiting, because a peer that
// is only slow still answers.
func (c *Client) Do(ctx context.Context, request *hopv1.Request, giveUp func() bool) (*hopv1.Frame, error) {
	return c.roundTrip(ctx, &hopv1.Frame{Body: &hopv1.Frame_Request{Request: request}}, giveUp)
}

// FetchConfig returns the configuration in force at the peer. Its errors are
// those of Do, and one for a reply of another type.
func (c *Client) FetchConfig(ctx context.Context) (*hopv1.ConfigAnswer, error) {
	frame, err := c.roundTrip(ctx, &hopv1.Frame{Body: &hopv1.Frame_ConfigRequest{ConfigRequest: &hopv1.ConfigRequest{}}}, always)
	if err != nil {
		return nil, err
	}
	config := frame.GetConfigAnswer()
	if config == nil {
		return nil, fmt.Errorf("peer replied to a configuration request with %T", frame.Body)
	}
	return config, nil
}

func always() bool { return true }

// roundTrip sends a frame on a new stream and returns the reply. For giveUp, see Do.
func (c *Client) roundTrip(ctx context.Context, frame *hopv1.Frame, giveUp func() bool) (*hopv1.Frame, error) {
	result := make(chan *hopv1.Frame, 1)
	c.mu.Lock()
	pc, silence := c.peerConn, c.silence
	if pc == nil || isClosed(silence) {
		c.mu.Unlock()
		return nil, ErrNotSent
	}
	c.lastStream++
	frame.Stream = c.lastStream
	c.pending[frame.Stream] = result
	first := len(c.pending) == 1
	c.mu.Unlock()
	if first {
		c.pendingSince.Store(int64(c.now()))
		c.wakeMonitor()
	}
	if err := c.send(pc, frame); err != nil {
		c.removePending(frame.Stream)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	for {
		select {
		case reply, ok := <-result:
			if !ok {
				return nil, ErrConnectionLost
			}
			return reply, nil
		case <-silence:
			silence = nil
			if giveUp() {
				c.cancelRequest(pc, frame.Stream)
				return nil, ErrPeerSilent
			}
		case <-ctx.Done():
			c.cancelRequest(pc, frame.Stream)
			return nil, ctx.Err()
		}
	}
}

// cancelRequest stops waiting for the reply on a stream and tells the peer.
func (c *Client) cancelRequest(pc *peerConn, stream uint64) {
	c.removePending(stream)
	// If this fails, the connection ends, and with it the request.
	_ = c.send(pc, &hopv1.Frame{Stream: stream, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
}

func (c *Client) removePending(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, stream)
}
