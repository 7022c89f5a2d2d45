package hop

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/shaping"
)

// Handler handles the frames of peers that connect to this daemon. Its methods
// may be called from any goroutine.
type Handler interface {
	// Execute runs a request at the local upstream and returns an Answer or
	// Failure frame. Ctx ends when the peer cancels the request or its
	// connection ends.
	Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame
	// Config returns the configuration in force.
	Config() *hopv1.ConfigAnswer
	// Quota replies to a peer's request for tokens of a customer.
	Quota(ctx context.Context, instance string, request *hopv1.QuotaRequest) *hopv1.QuotaReply
	// State returns the state to send to peers.
	State() *hopv1.State
	// DrainRecord returns this daemon's drain record of the peer instance's
	// upstream, or nil.
	DrainRecord(instance string) *hopv1.Left
	// Disconnected is called when a connection on which a peer said Hello has ended,
	// with the number of its requests that still ran.
	Disconnected(instance string, running int, cause error)
	// Panicked is called with the cause when Execute has panicked.
	Panicked(cause any)
	// HelloReceived is called with the Hello of a peer that connected.
	HelloReceived(hello *hopv1.Hello)
	// StateReceived is called with the state that a peer sent in a Ping. The state
	// may be nil.
	StateReceived(instance string, state *hopv1.State)
}

// Server serves the connections that peers open.
type Server struct {
	hello   *hopv1.Hello
	handler Handler
	link    *shaping.Link

	mu    sync.Mutex
	conns map[*peerConn]bool
}

// NewServer returns a server that replies to each peer's Hello with hello and
// the current state. Link is the machine's network link; nil for no limit.
func NewServer(hello *hopv1.Hello, handler Handler, link *shaping.Link) *Server {
	return &Server{hello: hello, handler: handler, link: link, conns: map[*peerConn]bool{}}
}

// Serve accepts connections until the listener fails or is closed, and returns
// the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

// Broadcast sends state in a Ping to all connected peers.
func (s *Server) Broadcast(state *hopv1.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc := range s.conns {
		_ = pc.send(&hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: state}}})
	}
}

// Close closes all connections. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc := range s.conns {
		pc.close()
	}
}

// session is one connection that a peer opened.
type session struct {
	server   *Server
	peerConn *peerConn
	// ctx ends with the connection.
	ctx context.Context
	// peer is the peer's instance from its Hello.
	peer string
	// epoch is the origin of the arrival times given to queueDelay.
	epoch      time.Time
	queueDelay queueDelay

	mu sync.Mutex
	// running holds, by stream, the function that cancels the request.
	running map[uint64]context.CancelFunc
}

func (s *Server) serve(conn net.Conn) {
	pc := newPeerConn(conn, s.link)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.mu.Lock()
	s.conns[pc] = true
	s.mu.Unlock()
	defer s.removeConn(pc)
	session := &session{server: s, peerConn: pc, ctx: ctx, epoch: time.Now(), running: map[uint64]context.CancelFunc{}}
	time.AfterFunc(vanishedAfter, session.watchQuiet)
	// The error is only reported: the peer connects again.
	err := pc.read(session.handleFrame)
	if session.peer != "" {
		s.handler.Disconnected(session.peer, session.runningCount(), err)
	}
}

func (s *Server) removeConn(pc *peerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, pc)
}

func (s *session) handleFrame(frame *hopv1.Frame) {
	handler := s.server.handler
	delay := s.queueDelay.delay(time.Since(s.epoch), time.Duration(frame.SentUs)*time.Microsecond)
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Hello:
		s.peer = body.Hello.GetInstance()
		hello := withState(s.server.hello, handler.State(), handler.DrainRecord(s.peer))
		_ = s.peerConn.send(&hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: hello}})
		handler.HelloReceived(body.Hello)
	case *hopv1.Frame_Ping:
		_ = s.peerConn.send(&hopv1.Frame{Body: &hopv1.Frame_Pong{Pong: &hopv1.Pong{State: handler.State()}}})
		handler.StateReceived(s.peer, body.Ping.GetState())
	case *hopv1.Frame_Request:
		// The sender computed the time left until the deadline and the latency goal
		// when it sent the frame. The queueing delay has used up part of it.
		body.Request.RemainingMs = subtractDelay(body.Request.RemainingMs, delay)
		body.Request.GoalMs = subtractDelay(body.Request.GoalMs, delay)
		s.start(frame.Stream, body.Request)
	case *hopv1.Frame_QuotaRequest:
		s.answerQuota(frame.Stream, body.QuotaRequest)
	case *hopv1.Frame_Cancel:
		s.cancel(frame.Stream)
	case *hopv1.Frame_ConfigRequest:
		config := handler.Config()
		_ = s.peerConn.send(&hopv1.Frame{Stream: frame.Stream, Body: &hopv1.Frame_ConfigAnswer{ConfigAnswer: config}})
	}
}

// start runs a request in a goroutine and sends the reply on its stream.
func (s *session) start(stream uint64, request *hopv1.Request) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.running[stream] = cancel
	s.mu.Unlock()
	go func() {
		defer s.cancel(stream)
		reply := s.execute(ctx, request)
		reply.Stream = stream
		if errors.Is(s.peerConn.send(reply), errFrameTooLarge) {
			_ = s.peerConn.send(&hopv1.Frame{Stream: stream, Body: brokenAnswer()})
		}
	}()
}

// execute runs a request. If that panics, the reply says that the request may have
// run: one request must not end the process and with it all others.
func (s *session) execute(ctx context.Context, request *hopv1.Request) (reply *hopv1.Frame) {
	defer func() {
		if cause := recover(); cause != nil {
			s.server.handler.Panicked(cause)
			reply = &hopv1.Frame{Body: brokenAnswer()}
		}
	}()
	return s.server.handler.Execute(ctx, request)
}

// brokenAnswer returns the failure of a request that may have run and has no answer
// that can be sent.
func brokenAnswer() *hopv1.Frame_Failure {
	return &hopv1.Frame_Failure{Failure: &hopv1.Failure{Code: uint32(code.CallAnswerBroken)}}
}

// runningCount returns the number of requests that run for the peer.
func (s *session) runningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// cancel cancels the request of a stream, if it still runs.
func (s *session) cancel(stream uint64) {
	s.mu.Lock()
	cancel := s.running[stream]
	delete(s.running, stream)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
