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
)

const (
	// dialTimeout bounds the opening of a connection to another daemon.
	dialTimeout = 300 * time.Millisecond
	// minRedial and maxRedial bound the pause before the next attempt.
	minRedial = 50 * time.Millisecond
	maxRedial = 800 * time.Millisecond
	// quickRedial is the time within which a peer must be reached again after a
	// silence for that to count as a false alarm.
	quickRedial = 500 * time.Millisecond
)

// Errors of a request that got no answer.
var (
	// ErrNotSent means that the request has not left this daemon.
	ErrNotSent = errors.New("request was not sent")
	// ErrLost means that the connection was lost while the request was under
	// way; it may have run.
	ErrLost = errors.New("connection was lost while the request was under way")
	// ErrOtherPeer means that another daemon has the address now.
	ErrOtherPeer = errors.New("another daemon answers at the address")
)

// Hooks tell what a client hears of its peer. They must not block.
type Hooks struct {
	// Instance is the daemon that is expected at the address.
	Instance string
	// Up and Down tell that the peer can and cannot be reached.
	Up   func()
	Down func(error)
	// Heard is called with each state that the peer sends.
	Heard func(*hopv1.State)
	// Reminded takes what the peer remembers of the own upstream.
	Reminded func(*hopv1.Left)
	// Left returns what is remembered of the peer's upstream, or nil.
	Left func() *hopv1.Left
	// State returns the own state to send.
	State func() *hopv1.State
	// Patience is that of the daemon, and Now the steady clock it goes by.
	Patience *Patience
	Now      func() time.Duration
}

// Client keeps a connection to one peer and sends requests on it.
type Client struct {
	address string
	hello   *hopv1.Hello
	hooks   Hooks

	mu      sync.Mutex
	link    *link
	waiting map[uint64]chan *hopv1.Frame
	next    uint64
	closed  bool
	stop    chan struct{}
	// began tells the watch that a request waits where none did.
	began chan struct{}
	// other is set when another daemon has answered.
	other atomic.Bool
	// watching is set while the watch looks often.
	watching atomic.Bool
	// asked is when a sign was asked for that has not come, or 0.
	asked atomic.Int64
	// waitedSince is when the first of the requests that wait was sent, in
	// nanoseconds on the clock of the hooks.
	waitedSince atomic.Int64
}

// NewClient returns a client that begins to connect at once.
func NewClient(address string, hello *hopv1.Hello, hooks Hooks) *Client {
	c := &Client{
		address: address,
		hello:   hello,
		hooks:   hooks,
		waiting: map[uint64]chan *hopv1.Frame{},
		stop:    make(chan struct{}),
		began:   make(chan struct{}, 1),
	}
	go c.run()
	return c
}

// Close gives up all requests and the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.stop)
	if c.link != nil {
		c.link.close()
	}
}

// run connects, reads and connects again until Close.
func (c *Client) run() {
	pause := minRedial
	var silence time.Duration
	lost := c.now()
	for {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err == nil {
			if silence > 0 && c.now()-lost < quickRedial {
				c.hooks.Patience.FalseAlarm(c.now(), silence)
			}
			pause = minRedial
			silence, err = c.serve(conn)
			lost = c.now()
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
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedial)
	}
}

func (c *Client) now() time.Duration { return c.hooks.Now() }

// serve uses one connection until it ends. It returns the silence for which the
// connection was given up, if that was why.
func (c *Client) serve(conn net.Conn) (time.Duration, error) {
	l := newLink(conn)
	defer l.close()
	if err := c.send(l, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: withState(c.hello, c.hooks.State(), c.hooks.Left())}}); err != nil {
		return 0, err
	}
	c.watching.Store(false)
	given := make(chan time.Duration, 1)
	go func() { given <- c.watch(l) }()
	err := l.read(func(frame *hopv1.Frame) { c.take(l, frame) })
	c.drop(l)
	if c.other.Swap(false) {
		err = ErrOtherPeer
	}
	return <-given, err
}

// send queues a frame with the time.
func (c *Client) send(l *link, frame *hopv1.Frame) error {
	frame.SentUs = uint64(c.now().Microseconds())
	return l.send(frame)
}

// take handles one frame of the peer. The peer's hello makes the connection
// usable.
func (c *Client) take(l *link, frame *hopv1.Frame) {
	c.hooks.Patience.Heard(c.now())
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Hello:
		if body.Hello.GetInstance() != c.hooks.Instance {
			c.other.Store(true)
			l.reset()
			return
		}
		c.mu.Lock()
		c.link = l
		c.mu.Unlock()
		c.hooks.Heard(body.Hello.GetState())
		c.hooks.Reminded(body.Hello.GetLeft())
		c.hooks.Up()
	case *hopv1.Frame_Pong:
		c.hooks.Heard(body.Pong.GetState())
	case *hopv1.Frame_Ping:
		c.hooks.Heard(body.Ping.GetState())
	case *hopv1.Frame_Answer:
		c.hooks.Heard(body.Answer.GetState())
		c.deliver(frame)
	case *hopv1.Frame_Failure:
		c.hooks.Heard(body.Failure.GetState())
		c.deliver(frame)
	case *hopv1.Frame_ConfigAnswer:
		c.deliver(frame)
	}
}

func (c *Client) deliver(frame *hopv1.Frame) {
	c.mu.Lock()
	answer := c.waiting[frame.Stream]
	delete(c.waiting, frame.Stream)
	c.mu.Unlock()
	if answer != nil {
		answer <- frame
	}
}

// drop fails everything that waits on a connection that has ended.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	if c.link == l {
		c.link = nil
	}
	waiting := c.waiting
	c.waiting = map[uint64]chan *hopv1.Frame{}
	c.mu.Unlock()
	for _, answer := range waiting {
		close(answer)
	}
}

// Do sends a request and waits for its answer or failure. When ctx ends the
// peer is told to give up.
func (c *Client) Do(ctx context.Context, request *hopv1.Request) (*hopv1.Frame, error) {
	return c.ask(ctx, &hopv1.Frame{Body: &hopv1.Frame_Request{Request: request}})
}

// FetchConfig asks for the peer's configuration.
func (c *Client) FetchConfig(ctx context.Context) (*hopv1.ConfigAnswer, error) {
	frame, err := c.ask(ctx, &hopv1.Frame{Body: &hopv1.Frame_ConfigRequest{ConfigRequest: &hopv1.ConfigRequest{}}})
	if err != nil {
		return nil, err
	}
	answer := frame.GetConfigAnswer()
	if answer == nil {
		return nil, fmt.Errorf("peer answered a configuration request with %T", frame.Body)
	}
	return answer, nil
}

func (c *Client) ask(ctx context.Context, frame *hopv1.Frame) (*hopv1.Frame, error) {
	answer := make(chan *hopv1.Frame, 1)
	c.mu.Lock()
	l := c.link
	if l == nil {
		c.mu.Unlock()
		return nil, ErrNotSent
	}
	c.next++
	frame.Stream = c.next
	c.waiting[frame.Stream] = answer
	first := len(c.waiting) == 1
	c.mu.Unlock()
	if first {
		c.waitedSince.Store(int64(c.now()))
		c.wakeWatch()
	}
	if err := c.send(l, frame); err != nil {
		c.forget(frame.Stream)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	select {
	case reply, ok := <-answer:
		if !ok {
			return nil, ErrLost
		}
		return reply, nil
	case <-ctx.Done():
		c.forget(frame.Stream)
		_ = c.send(l, &hopv1.Frame{Stream: frame.Stream, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
		return nil, ctx.Err()
	}
}

func (c *Client) forget(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, stream)
}
